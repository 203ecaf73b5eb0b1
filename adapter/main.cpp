// lb-simulator-adapter: plays the simulator's wire on standard input and output, one reply a line.
#include <iostream>
#include <string>

#include "adapter/wire.h"
#include "settings/json_fields.h"

int main() {
  std::ios::sync_with_stdio(false);
  lb::adapter::Host host;
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      std::cout << host.Reply(line) << '\n' << std::flush;
    } catch (const lb::FieldError& e) {
      std::cerr << "lb-simulator-adapter: " << e.what() << std::endl;
      return 1;
    }
  }
  return 0;
}
