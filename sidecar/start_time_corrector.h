// Corrects the start times of listed upstreams where this machine's wall clock was wrong when the process
// began.
//
// Discovery tells start times by wall clock. The sidecar runs on the monotonic clock and reads the wall clock
// once, at its start; if that clock was stepped (docs/findings/clock.md), every start time is off by the same
// amount, and a cold upstream may look warm. This class compares start times with what the process knows for
// certain: when it heard each list. While the two agree within seconds, nothing is changed.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "balancer/balancer.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

// Used on the event loop's thread only.
class StartTimeCorrector {
 public:
  // The largest difference between two right clocks. A start further in the future shows that this machine's
  // clock is behind.
  static constexpr Duration kMaxClockSkew = std::chrono::seconds(5);
  // The longest time from a start to the list that names it, while discovery is heard.
  static constexpr Duration kMaxListingDelay = std::chrono::seconds(30);
  // A first list whose newest start is older belongs to a fleet where nothing restarts, or this machine's
  // clock is ahead.
  static constexpr Duration kQuietFleetAge = std::chrono::minutes(5);

  // `slow_start_duration`: the time after its start in which an upstream is cold.
  explicit StartTimeCorrector(Duration slow_start_duration) : slow_start_duration_(slow_start_duration) {}

  // Corrects the start times in a list that was received at `now`. An upstream keeps the corrected time it
  // was first given, so that it does not seem to restart, unless it turns out to be younger than was thought
  // and is still cold. Returns true if the clock was just found to be ahead: upstreams that did not change
  // may be younger than was thought, and the caller should ask for the whole list.
  [[nodiscard]] bool Correct(lb::MembershipUpdate& update, TimePoint now);

  // Call when the lists come from another discovery service from now on: what its first list names for the
  // first time has not just started.
  void ForgetService() { last_list_at_.reset(); }

  // The most that the wall clock can be ahead, negative where it is behind; nothing while it is trusted.
  std::optional<Duration> ahead() const { return is_trusted_ ? std::nullopt : std::optional(max_ahead_); }

 private:
  using StartTime = std::optional<TimePoint>;  // absent: long ago

  struct KnownUpstream {
    StartTime reported;   // by the wall clock
    StartTime corrected;  // as it was handed on
    bool is_listed = true;
  };

  enum class FreshStart { kNone, kAppeared, kRestarted };

  FreshStart FindFreshStart(const lb::UpstreamInfo& upstream, TimePoint now) const;
  bool IsAmongNewest(const lb::UpstreamInfo& upstream, TimePoint now) const;
  bool MayBeAhead(const lb::MembershipUpdate& update, TimePoint now) const;
  bool HasRestarted(const lb::MembershipUpdate& update, TimePoint now) const;
  void LimitMaxAhead(const lb::MembershipUpdate& update, TimePoint now);
  void CorrectUpstream(lb::UpstreamInfo& upstream, TimePoint now);
  void MarkUnlisted(const lb::MembershipUpdate& whole_list);
  void ForgetUnlisted();

  const Duration slow_start_duration_;
  std::unordered_map<std::string, KnownUpstream> known_;  // by id
  std::optional<TimePoint> last_list_at_;                 // discovery's last list, changed or not
  Duration max_ahead_ = Duration::max();
  std::size_t forget_above_ = 0;  // entries of `known_`, at least
  bool is_trusted_ = true;
  bool has_list_from_discovery_ = false;
  bool may_be_ahead_ = false;  // by the list that is being corrected
};

}  // namespace lb::sidecar
