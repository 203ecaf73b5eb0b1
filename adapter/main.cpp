// lb-simulator-adapter: plays the simulator's wire on standard input and output, one reply a line. Exit code
// 1 and one line on standard error where a line cannot be used.
#include <exception>
#include <iostream>
#include <string>

#include "adapter/host.h"

namespace {

constexpr const char* kProgram = "lb-simulator-adapter: ";

void PlayLines() {
  lb::adapter::Host host;
  std::string line;
  while (std::getline(std::cin, line)) std::cout << host.Reply(line) << '\n' << std::flush;
}

}  // namespace

int main() {
  try {
    std::ios::sync_with_stdio(false);
    PlayLines();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << kProgram << error.what() << std::endl;
    return 1;
  }
}
