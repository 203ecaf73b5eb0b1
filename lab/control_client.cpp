#include "control_client.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>

namespace aspendyke::lab {
namespace {

constexpr std::uint64_t kFirstChange = 2;  // revision 1 is the list at the start

bool Concerns(std::size_t changed, std::optional<std::size_t> service) {
  return !service || *service == changed;
}

}  // namespace

void PropagationLog::Changed(std::uint64_t revision, std::size_t service, TimePoint at) {
  if (revision != newest() + 1)
    throw std::logic_error("revision " + std::to_string(revision) + " out of turn");
  changes_.push_back({service, at});
}

void PropagationLog::Told(std::uint64_t from, std::uint64_t to, std::optional<std::size_t> service,
                          TimePoint now) {
  const std::uint64_t last = std::min(to, newest());
  for (std::uint64_t revision = std::max(from + 1, kFirstChange); revision <= last; ++revision) {
    const Change& change = changes_[revision - kFirstChange];
    if (!Concerns(change.service, service)) continue;
    const double delay_ms = std::chrono::duration<double, std::milli>(now - change.at).count();
    if (change.at >= counted_from_) delays_ms_.Add(delay_ms);
    recent_ms_.Add(delay_ms);
  }
}

std::size_t PropagationLog::Missing(std::uint64_t told, std::optional<std::size_t> service,
                                    TimePoint until) const {
  std::size_t missing = 0;
  for (std::uint64_t revision = std::max(told + 1, kFirstChange); revision <= newest(); ++revision) {
    const Change& change = changes_[revision - kFirstChange];
    if (Concerns(change.service, service) && change.at <= until) ++missing;
  }
  return missing;
}

void PropagationLog::CountFrom(TimePoint from) {
  counted_from_ = from;
  delays_ms_ = {};
}

Distribution PropagationLog::TakeRecentDelays() { return std::exchange(recent_ms_, Distribution()); }

ControlClient::ControlClient(boost::asio::io_context& io, const ControlClientOptions& options,
                             const mothrack::UnixClock& clock, PropagationLog& propagation,
                             OnUpdate on_update)
    : propagation_(propagation),
      service_(options.service),
      on_update_(std::move(on_update)),
      told_(propagation.newest()),
      log_("hollow", &silent_),
      discovery_(
          io, options.discovery, options.on_request, options.drain_grace, clock, log_, options.seed,
          [this](mothrack::MembershipList list) { Take(list); },
          [this] {
            on_update_({kestrellb::MembershipUpdate::Kind::kFailed, {}});
          }) {}

void ControlClient::Ask() { discovery_.Ask(); }

std::size_t ControlClient::Missing(TimePoint until) const {
  return propagation_.Missing(told_, service_, until);
}

void ControlClient::Take(const mothrack::MembershipList& list) {
  revision_ = list.revision;
  on_update_(list.update);
  propagation_.Told(told_, revision_, service_, mothrack::Now());
  told_ = std::max(told_, revision_);
}

}  // namespace aspendyke::lab
