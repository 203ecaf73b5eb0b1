// The log for operators, written to standard error unless another stream is given.
//
// A line consists of an event name and its fields: `upstream_ejected upstream=s-5be2 failures=5
// duration_ms=1000`. docs/operations.md lists the event names and how to react to each.
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
  // `name`: in lower case, words joined by underscores.
  explicit LogEvent(std::string_view name) : text_(name) {}

  // Adds a field. The value is quoted if it is empty or contains spaces, quotes, equals signs, backslashes or
  // control characters.
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

  // Replaces control characters by spaces, so that an event never spans several lines.
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

// Writes log lines at a limited rate, so that a recurring fault cannot fill the disk. Up to kBurstLines lines
// are written at once; beyond that, kLinesPerSecond lines a second. The next line that is written after lines
// were dropped is preceded by a line with their number.
class Logger {
 public:
  // Each line starts with `name`. `out` has to outlive the logger.
  explicit Logger(std::string name, std::ostream* out = &std::cerr) : name_(std::move(name)), out_(*out) {}

  void Write(const LogEvent& event) { Line(event.text()); }

  // Writes a line that is not a LogEvent, truncated to kMaxLineLength characters.
  void Line(const std::string& text) {
    const TimePoint now = Now();
    const double elapsed_s = std::chrono::duration<double>(now - last_refill_).count();
    allowed_lines_ = std::min(kBurstLines, allowed_lines_ + elapsed_s * kLinesPerSecond);
    last_refill_ = now;
    if (allowed_lines_ < 1) {
      ++dropped_lines_;
      return;
    }
    allowed_lines_ -= 1;
    if (dropped_lines_ > 0) {
      out_ << name_ << ": " << LogEvent(log_events::kLogLinesDropped).With("count", dropped_lines_).text()
           << '\n';
      dropped_lines_ = 0;
    }
    out_ << name_ << ": " << text.substr(0, kMaxLineLength) << std::endl;
  }

 private:
  static constexpr double kBurstLines = 100;
  static constexpr double kLinesPerSecond = 5;
  static constexpr std::size_t kMaxLineLength = 500;  // characters, without the name

  const std::string name_;
  std::ostream& out_;
  double allowed_lines_ = kBurstLines;  // that can be written now
  TimePoint last_refill_ = Now();
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace lb::sidecar
