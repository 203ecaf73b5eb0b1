// lb-simulator-adapter: reads batches of simulator events from standard input, one per line, and writes one
// line of reply for each to standard output. If a line is invalid, writes one line to standard error and
// exits with code 1.
#include <exception>
#include <iostream>
#include <string>

#include "adapter/host.h"

namespace {

constexpr const char* kProgram = "lb-simulator-adapter: ";

void ServeLines() {
  lb::adapter::Host host;
  std::string line;
  while (std::getline(std::cin, line)) std::cout << host.Reply(line) << '\n' << std::flush;
}

}  // namespace

int main() {
  try {
    std::ios::sync_with_stdio(false);
    ServeLines();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << kProgram << error.what() << std::endl;
    return 1;
  }
}
