// Checks that all log events are defined in sidecar/log_events.h and used through its constants, and that
// docs/operations.md lists exactly these events.
#include "sidecar/log_events.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

namespace fs = std::filesystem;

std::string Read(const fs::path& path) {
  std::ifstream in(path);
  EXPECT_TRUE(in) << path;
  return {std::istreambuf_iterator<char>(in), {}};
}

std::set<std::string> Matches(const std::string& text, const std::string& pattern) {
  const std::regex regex(pattern);
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end; ++it) found.insert((*it)[1]);
  return found;
}

// All event names in the header, which are its string literals; the pattern does not match the includes.
std::set<std::string> NamesInHeader() {
  return Matches(Read(fs::path(SOURCE_ROOT) / "sidecar/log_events.h"), "\"([a-z_]+)\"");
}

// The event names in the first column of the table in docs/operations.md.
std::set<std::string> NamesInOperationsPage() {
  std::string page = Read(fs::path(SOURCE_ROOT) / "docs/operations.md");
  page = page.substr(page.find("| event |"));
  page = page.substr(0, page.find("\n\n"));
  std::set<std::string> names;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    names.merge(Matches(line.substr(0, line.find('|', 1)), "`([a-z_]+)`"));
  }
  return names;
}

std::vector<fs::path> Sources() {
  std::vector<fs::path> sources;
  for (const auto& entry : fs::directory_iterator(fs::path(SOURCE_ROOT) / "sidecar")) {
    if (entry.path().extension() == ".cpp" || entry.path().extension() == ".h")
      sources.push_back(entry.path());
  }
  return sources;
}

TEST(LogEvents, AreListedInTheOperationsPage) {
  ASSERT_GT(NamesInHeader().size(), 10U);

  EXPECT_EQ(NamesInOperationsPage(), NamesInHeader());
}

TEST(LogEvents, AreWrittenThroughTheirConstants) {
  for (const auto& source : Sources()) {
    const std::string name = source.filename();
    if (name == "log.h") continue;  // defines LogEvent and Line()
    const std::string text = Read(source);

    EXPECT_TRUE(Matches(text, "LogEvent\\(\\s*(\")").empty()) << name;
    if (name == "sidecar.cpp") continue;  // writes the balancer's log lines, which are plain text
    EXPECT_TRUE(Matches(text, "(log_?|log\\(\\))\\.Line\\(").empty()) << name;
  }
}

TEST(LogEvents, AreAllWritten) {
  std::string text;
  for (const auto& source : Sources()) {
    if (source.filename() != "log_events.h") text += Read(source);
  }
  const std::string header = Read(fs::path(SOURCE_ROOT) / "sidecar/log_events.h");

  for (const auto& constant : Matches(header, "string_view (k[A-Za-z]+) =")) {
    EXPECT_NE(text.find("log_events::" + constant), std::string::npos) << constant;
  }
}

}  // namespace
}  // namespace lb::sidecar
