// Counts the open sockets of clients and upstreams, and checks the counts against the deployment's limit on
// descriptors.
#pragma once

#include <cstddef>

namespace lb::sidecar {

// Not thread-safe: used on the event loop's thread only.
class Descriptors {
 public:
  // The number of descriptors reserved for what is always open: standard streams, event loop, timer, signals,
  // listening socket, and the connection to discovery together with its successor; includes a few spare ones.
  static constexpr std::size_t kReservedDescriptors = 16;

  // `limit`: the number of descriptors that the process may have. `fixed`: how many of them are reserved.
  explicit Descriptors(std::size_t limit, std::size_t fixed = kReservedDescriptors)
      : limit_(limit), fixed_(fixed) {}

  enum class Side { kClient, kUpstream };

  // Counts one descriptor of the side for as long as the slot exists. Held while the socket is open.
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

  // Whether one more socket of that side keeps within the limit. Each side has half of the descriptors for
  // itself: clients that connect and stay must neither take the descriptors that are needed to serve them nor
  // make the pools close connections that the next request needs. A request takes one descriptor on each
  // side, and a hedged request one more.
  bool HasCapacity(Side side) const {
    const std::size_t limit = Limit();
    return side == Side::kClient ? clients_ < limit / 2 : upstreams_ < limit - limit / 2;
  }

  // `shared` is true while another process of the same sidecar runs (hot restart). Each process then keeps to
  // half of the limit.
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
