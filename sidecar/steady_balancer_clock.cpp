#include "sidecar/steady_balancer_clock.h"

#include <boost/system/error_code.hpp>
#include <utility>

namespace lb::sidecar {

SteadyBalancerClock::SteadyBalancerClock(boost::asio::io_context& io, std::function<void()> on_due)
    : on_due_(std::move(on_due)), timer_(io) {}

void SteadyBalancerClock::ArmTimer(TimePoint next) {
  if (next == armed_for_) return;
  armed_for_ = next;
  if (next == TimePoint::max()) return;
  timer_.expires_at(ToSteady(next));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    armed_for_ = TimePoint::max();
    on_due_();
  });
}

}  // namespace lb::sidecar
