// Counts the open sockets of clients and upstreams against the deployment's limit on descriptors.
#pragma once

#include <cstddef>

namespace lb::sidecar {

// Used on the event loop's thread only.
class Descriptors {
 public:
  // Descriptors that are always open: standard streams, event loop, timer, signals, listening socket,
  // discovery and its next connection, with some left over.
  static constexpr std::size_t kFixed = 16;

  // `limit`: of the process, in descriptors. `fixed`: how many of them are always open.
  explicit Descriptors(std::size_t limit, std::size_t fixed = kFixed) : limit_(limit), fixed_(fixed) {}

  enum class Side { kClient, kUpstream };

  // One descriptor's place in the count; held as long as its socket is open.
  class Slot {
   public:
    Slot(Descriptors& owner, Side side) : used_(side == Side::kClient ? owner.clients_ : owner.upstreams_) {
      ++used_;
    }
    ~Slot() { --used_; }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    std::size_t& used_;
  };

  // Whether one more socket of that side keeps to the limit. Each side has half for itself: clients that
  // connect and stay must not take the descriptors to serve them with, nor make the pools close the
  // connections that the next request needs. A request takes one descriptor on either side, and a hedged
  // request one more.
  bool HasCapacity(Side side) const {
    const std::size_t limit = Limit();
    return side == Side::kClient ? clients_ < limit / 2 : upstreams_ < limit - limit / 2;
  }

  // True while another process of the same sidecar runs (hot restart): each keeps to half of the limit.
  void SetShared(bool shared) { is_shared_ = shared; }

 private:
  std::size_t Limit() const {
    const std::size_t own = is_shared_ ? limit_ / 2 : limit_;
    return own > fixed_ ? own - fixed_ : 1;
  }

  std::size_t limit_;
  std::size_t fixed_;
  bool is_shared_ = false;
  std::size_t clients_ = 0;
  std::size_t upstreams_ = 0;
};

}  // namespace lb::sidecar
