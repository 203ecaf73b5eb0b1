// Judges start times that other machines read from their wall clock against what this process knows for
// certain, as its own wall clock may have been stepped before it started (docs/findings/clock.md). While the
// two agree within seconds nothing is changed.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "balancer/balancer.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

class WallClock {
 public:
  // A start in the future by more than this is this machine's clock being behind.
  static constexpr Duration kMostAhead = std::chrono::seconds(5);
  // A start is listed so long after it at the latest, beside the time for which discovery was not heard.
  static constexpr Duration kMostUnlisted = std::chrono::seconds(30);

  // A first list whose newest start is older is a quiet fleet's, or its clock is ahead.
  static constexpr Duration kLongQuiet = std::chrono::minutes(5);

  // `cold_time`: an upstream that started longer ago is as good as any.
  explicit WallClock(Duration slow_start_duration) : cold_time_(slow_start_duration) {}

  // Corrects the start times of a list that was heard at `now`. A start that was judged before stays as it
  // was, so that no upstream seems to have started anew; but one that turns out to be younger than was
  // thought, and cold, is told as such. True: there may be such ones, and the whole list is needed.
  bool Judge(lb::MembershipUpdate& update, TimePoint now);

  // The lists come from another service from now on: what it names for the first time is not new for that.
  void ForgetService() { heard_.reset(); }

  // By how much the wall clock is ahead at most; behind where negative. Nothing while it is trusted.
  std::optional<Duration> ahead() const { return trusted_ ? std::nullopt : std::optional(most_ahead_); }

 private:
  using Listed = lb::UpstreamInfo;
  using Started = std::optional<TimePoint>;

  struct Known {
    Started told;    // as the wall clock has it; absent: long ago
    Started judged;  // as it was handed on
    bool listed = true;
  };

  enum class Evidence { kNone, kAppeared, kRestarted };
  Evidence FreshStart(const Listed& upstream, TimePoint now) const;
  bool IsAmongNewest(const Listed& upstream, TimePoint now) const;
  bool MayBeAhead(const lb::MembershipUpdate& update, TimePoint now) const;
  void JudgeOne(Listed& upstream, TimePoint now);
  void ListOnly(const lb::MembershipUpdate& update);
  void ForgetLeft();

  const Duration cold_time_;
  std::unordered_map<std::string, Known> known_;
  std::optional<TimePoint> heard_;  // discovery's last list, changed or not
  Duration most_ahead_ = Duration::max();
  std::size_t forget_at_ = 0;  // so many known ones
  bool trusted_ = true;
  bool told_ = false;          // discovery has told a list
  bool may_be_ahead_ = false;  // of the list that is judged
};

}  // namespace lb::sidecar
