// The implementation of BalancerClock that the sidecar uses: the machine's steady clock and one timer on the
// sidecar's io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

class SteadyBalancerClock : public BalancerClock {
 public:
  // `on_due` is called on the io_context's thread when the time passed to ArmTimer() is reached, unless
  // ArmTimer() has set another time before.
  SteadyBalancerClock(boost::asio::io_context& io, std::function<void()> on_due);

  TimePoint Now() const override { return sidecar::Now(); }
  void ArmTimer(TimePoint next) override;

 private:
  const std::function<void()> on_due_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();  // max(): the timer is not armed
};

}  // namespace lb::sidecar
