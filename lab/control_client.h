// The control side of a hollow sidecar on the real clock: the program's own discovery client, and the record
// of when each sidecar was told of each change.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <vector>

#include "kestrellb/balancer.h"
#include "metrics.h"
#include "node/clock.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/log.h"

namespace aspendyke::lab {

using kestrellb::TimePoint;

// When the registry changed, and how long each sidecar took to hear of it. Not thread-safe: it belongs to the
// thread of the control clients.
class PropagationLog {
 public:
  // The registry made this revision at `at`. Revisions come without gaps, from 2 on.
  void Changed(std::uint64_t revision, std::size_t service, TimePoint at);
  // The newest revision noted.
  std::uint64_t newest() const { return changes_.size() + 1; }

  // A sidecar that had been told all up to `from` has now been told all up to `to`. `service`: what its list
  // is restricted to. A revision whose change is not noted yet is passed over.
  void Told(std::uint64_t from, std::uint64_t to, std::optional<std::size_t> service, TimePoint now);
  // How many changes up to `until` a sidecar has missed that was told all up to `told`.
  std::size_t Missing(std::uint64_t told, std::optional<std::size_t> service, TimePoint until) const;

  // Delays of changes before `from` do not count for delays_ms().
  void CountFrom(TimePoint from);
  // Milliseconds from each counted change to its being told, for each sidecar.
  const Distribution& delays_ms() const { return delays_ms_; }
  // The same of all changes, since the last call of this function.
  Distribution TakeRecentDelays();

 private:
  struct Change {
    std::size_t service = 0;
    TimePoint at;
  };
  std::vector<Change> changes_;  // of revision 2 on
  TimePoint counted_from_ = TimePoint::min();
  Distribution delays_ms_;
  Distribution recent_ms_;
};

struct ControlClientOptions {
  mothrack::Endpoint discovery;
  bool on_request = false;             // membership is told on request only: see Ask()
  std::optional<std::size_t> service;  // what the list is restricted to
  kestrellb::Duration drain_grace = kestrellb::Rules().drain_grace;
  std::uint64_t seed = 1;
};

// Many of them share one io_context, whose thread calls all members.
class ControlClient {
 public:
  using OnUpdate = std::function<void(const kestrellb::MembershipUpdate&)>;

  // `on_update` is handed each list, and on request each failure as an update of kind kFailed. The references
  // have to outlive the client.
  ControlClient(boost::asio::io_context& io, const ControlClientOptions& options,
                const mothrack::UnixClock& clock, PropagationLog& propagation, OnUpdate on_update);

  // Asks for the list and watches it. On request: once at the start, and after each failure again.
  void Ask();
  // The list's revision, 0 before the first.
  std::uint64_t revision() const { return revision_; }
  // Changes up to `until` that it should have heard of and has not.
  std::size_t Missing(TimePoint until) const;

 private:
  void Take(const mothrack::MembershipList& list);

  PropagationLog& propagation_;
  const std::optional<std::size_t> service_;
  const OnUpdate on_update_;
  std::uint64_t revision_ = 0;
  std::uint64_t told_;  // the last revision counted as told
  std::ostream silent_{nullptr};
  mothrack::Logger log_;
  mothrack::Discovery discovery_;
};

}  // namespace aspendyke::lab
