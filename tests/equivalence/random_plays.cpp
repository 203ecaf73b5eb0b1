// Compares the decisions of the decision module in 4,000 random plays with recorded decisions. Each play has
// one hash over all its actions, without the text of log lines. `random_plays record FILE` writes the hashes
// to FILE. `random_plays compare FILE` repeats the plays, prints each play whose hash differs and then exits
// with status 1.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "tests/random_play.h"

namespace {

using lb::testing::OptionsOf;
using lb::testing::RandomPlay;

constexpr std::size_t kPlays = 4000;

// Runs plays 0 to `count` - 1 on all cores and returns their hashes.
std::vector<std::uint64_t> PlayAll(std::size_t count) {
  std::vector<std::uint64_t> hashes(count);
  const std::size_t workers = std::max(1U, std::thread::hardware_concurrency());
  std::vector<std::thread> threads;
  for (std::size_t worker = 0; worker < workers; ++worker) {
    threads.emplace_back([&hashes, worker, workers] {
      for (std::size_t number = worker; number < hashes.size(); number += workers) {
        RandomPlay play(OptionsOf(number), number);
        play.Run();
        hashes[number] = play.decisions();
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return hashes;
}

int Record(const std::string& path) {
  std::ofstream out(path);
  for (const std::uint64_t hash : PlayAll(kPlays)) {
    out << std::hex << std::setw(16) << std::setfill('0') << hash << '\n';
  }
  return out.flush() ? EXIT_SUCCESS : EXIT_FAILURE;
}

int Compare(const std::string& path) {
  std::ifstream in(path);
  std::vector<std::uint64_t> recorded;
  for (std::uint64_t hash = 0; in >> std::hex >> hash;) recorded.push_back(hash);
  if (recorded.size() != kPlays) {
    std::cerr << path << ": " << recorded.size() << " hashes where " << kPlays << " are expected\n";
    return EXIT_FAILURE;
  }
  const std::vector<std::uint64_t> played = PlayAll(kPlays);
  std::size_t equal = 0;
  for (std::size_t number = 0; number < kPlays; ++number) {
    if (played[number] == recorded[number]) {
      ++equal;
    } else {
      std::cout << "play " << number << " differs\n";
    }
  }
  std::cout << equal << " of " << kPlays << " random plays give the recorded actions\n";
  return equal == kPlays ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 2 && arguments[0] == "record") return Record(arguments[1]);
  if (arguments.size() == 2 && arguments[0] == "compare") return Compare(arguments[1]);
  std::cerr << "usage: random_plays record|compare FILE\n";
  return 2;
}
