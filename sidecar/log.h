// Lines for the people on call, on standard error where no other stream is given.
//
// A line is an event name and its fields: `upstream_ejected upstream=s-5be2 failures=5 duration_ms=1000`. The
// names and what to do about each are listed in docs/operations.md.
#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

#include "sidecar/clock.h"
#include "sidecar/log_events.h"

namespace lb::sidecar {

// One event and its fields, in the order in which they were added.
class LogEvent {
 public:
  // `name`: lower case, words joined by underscores.
  explicit LogEvent(std::string_view name) : text_(name) {}

  // A value with spaces, quotes, equals signs or control characters, or without any character, is quoted.
  LogEvent& With(std::string_view key, std::string_view value) {
    text_ += ' ';
    text_ += key;
    text_ += '=';
    text_ += NeedsQuotes(value) ? Quoted(value) : std::string(value);
    return *this;
  }
  template <std::integral Number>
  LogEvent& With(std::string_view key, Number value) {
    return With(key, std::to_string(value));
  }

  const std::string& text() const { return text_; }

 private:
  static bool IsPlain(char c) { return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127; }

  static bool NeedsQuotes(std::string_view value) {
    for (const char c : value) {
      if (!IsPlain(c)) return true;
    }
    return value.empty();
  }

  // Control characters become spaces: a line stays one line.
  static std::string Quoted(std::string_view value) {
    std::string quoted = "\"";
    for (const char c : value) {
      if (c == '"' || c == '\\') quoted += '\\';
      quoted += c >= 0 && c < ' ' ? ' ' : c;
    }
    return quoted + '"';
  }

  std::string text_;
};

// Bounded, whatever happens: a fault that repeats must not fill the disk. Past a burst of lines only a few a
// second go out, and the next one says how many did not.
class Logger {
 public:
  // `out` has to outlive the logger.
  explicit Logger(std::string name, std::ostream* out = &std::cerr) : name_(std::move(name)), out_(*out) {}

  void Write(const LogEvent& event) { Line(event.text()); }

  // A line that is not an event, cut after kLongest characters.
  void Line(const std::string& text) {
    const TimePoint now = Now();
    const double passed = std::chrono::duration<double>(now - refilled_).count();
    allowed_ = std::min(kBurst, allowed_ + passed * kPerSecond);
    refilled_ = now;
    if (allowed_ < 1) {
      ++dropped_;
      return;
    }
    allowed_ -= 1;
    if (dropped_ > 0) {
      out_ << name_ << ": " << LogEvent(log_events::kLogLinesDropped).With("count", dropped_).text() << '\n';
      dropped_ = 0;
    }
    out_ << name_ << ": " << text.substr(0, kLongest) << std::endl;
  }

 private:
  static constexpr double kBurst = 100;         // lines
  static constexpr double kPerSecond = 5;       // lines
  static constexpr std::size_t kLongest = 500;  // characters

  const std::string name_;
  std::ostream& out_;
  double allowed_ = kBurst;
  TimePoint refilled_ = Now();
  std::uint64_t dropped_ = 0;
};

}  // namespace lb::sidecar
