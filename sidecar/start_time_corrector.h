// Corrects the start times of listed upstreams if this machine's wall clock was wrong when the process
// started.
//
// Discovery reports start times as wall-clock times. The sidecar runs on the monotonic clock and reads the
// wall clock once, at its start. If the wall clock was stepped before (docs/findings/clock.md), every start
// time is wrong by the same amount, and a cold upstream may look warm. This class compares the start times
// with the monotonic times at which the process received the lists. While the two agree within a few seconds,
// the start times are not changed.
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
  // The largest difference between two correct clocks. A start time further in the future shows that this
  // machine's clock is behind.
  static constexpr Duration kMaxClockSkew = std::chrono::seconds(5);
  // The longest time from the start of an upstream to the list that contains it, while discovery is
  // reachable.
  static constexpr Duration kMaxListingDelay = std::chrono::seconds(30);
  // If the newest start in the first list is older than this, either no upstream restarted lately or this
  // machine's clock is ahead.
  static constexpr Duration kQuietFleetAge = std::chrono::minutes(5);

  // `slow_start_duration` is the time after its start during which an upstream is cold.
  explicit StartTimeCorrector(Duration slow_start_duration) : slow_start_duration_(slow_start_duration) {}

  // Corrects the start times in a list that was received at `now`. An upstream keeps its first corrected
  // start time, because a change would look like a restart, unless it proves to be younger than assumed and
  // is still cold. Returns true if this list showed that the clock is ahead: upstreams that are not in the
  // update may be younger than assumed, and the caller should request the whole list.
  [[nodiscard]] bool Correct(lb::MembershipUpdate& update, TimePoint now);

  // Call before the lists come from another discovery service: an upstream that is new in its first list has
  // not necessarily just started.
  void ForgetService() { last_list_at_.reset(); }

  // The upper bound on how far the wall clock is ahead, negative if it is behind; absent while the clock is
  // trusted.
  std::optional<Duration> max_ahead() const { return is_trusted_ ? std::nullopt : std::optional(max_ahead_); }

 private:
  using StartTime = std::optional<TimePoint>;  // absent: started long ago

  struct KnownUpstream {
    StartTime reported;   // by the wall clock, as in the list
    StartTime corrected;  // as passed to the balancer
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
  std::optional<TimePoint> last_list_at_;  // when discovery's last list was received, changed or not
  Duration max_ahead_ = Duration::max();
  std::size_t forget_above_ = 0;  // size of `known_` after the last ForgetUnlisted(), doubled
  bool is_trusted_ = true;
  bool has_list_from_discovery_ = false;
  bool may_be_ahead_ = false;  // as found for the list that is being corrected
};

}  // namespace lb::sidecar
