// A body on its way from one connection to another, of which only a piece is held.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/clock.h"

namespace lb::sidecar {

// One side puts pieces in while there is room, the other takes them out. Each hears of the other by its hook,
// from the event loop and never from within a call, and takes its hook away before it goes.
class BodyPipe : public std::enable_shared_from_this<BodyPipe> {
 public:
  using Hook = std::function<void()>;

  // `length`: of the whole body, where it is known.
  BodyPipe(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length)
      : io_(io), capacity_(capacity), length_(length) {}

  boost::optional<std::uint64_t> length() const { return length_; }

  // ---- Of the side that puts ----

  Hook on_room;  // there is room again, or the other side has left
  bool HasRoom() const { return held_.size() < capacity_; }
  void Put(const char* bytes, std::size_t size) {
    held_.append(bytes, size);
    Tell(&BodyPipe::on_data);
  }
  // When more of it was last known to be still to be sent; asked while it is not known to be sent whole.
  std::function<TimePoint()> coming_at;
  // Its last byte was sent at `at`, or soon after; the rest of it may still have to be read. The first call
  // counts.
  void Sent(TimePoint at) {
    if (sent_at_) return;
    sent_at_ = at;
    Tell(&BodyPipe::on_sent);
  }
  void Finish() {
    finished_ = true;
    Tell(&BodyPipe::on_data);
  }
  // It will never be whole.
  void Break() {
    broken_ = !finished_;
    Tell(&BodyPipe::on_data);
  }
  bool left() const { return left_; }

  // ---- Of the side that takes ----

  Hook on_data;  // there is more, or the end of it
  // For whoever counts the time: called when all of it has been sent, also where that was before.
  void WhenSent(Hook hook) {
    on_sent = std::move(hook);
    if (sent_at_) Tell(&BodyPipe::on_sent);
  }
  std::optional<TimePoint> sent_at() const { return sent_at_; }
  // The last byte was not sent before this time.
  TimePoint LastByteNotBefore() const { return sent_at_ ? *sent_at_ : coming_at ? coming_at() : Now(); }
  std::string Take() {
    touched_ = touched_ || !held_.empty();
    Tell(&BodyPipe::on_room);
    return std::exchange(held_, {});
  }
  bool ended() const { return finished_ && held_.empty(); }
  bool broken() const { return broken_; }
  bool finished() const { return finished_; }
  // Something was taken: the whole of it can't be had again.
  bool touched() const { return touched_; }
  void Leave() {
    left_ = true;
    Tell(&BodyPipe::on_room);
  }

 private:
  void Tell(Hook BodyPipe::*hook) {
    if (!((*this).*hook)) return;
    boost::asio::post(io_, [self = shared_from_this(), hook] {
      // The one who hears may take the hook away while it runs.
      if (const Hook told = (*self).*hook) told();
    });
  }

  boost::asio::io_context& io_;
  Hook on_sent;
  std::optional<TimePoint> sent_at_;
  const std::size_t capacity_;
  const boost::optional<std::uint64_t> length_;
  std::string held_;
  bool finished_ = false;
  bool broken_ = false;
  bool left_ = false;
  bool touched_ = false;
};

using Body = std::shared_ptr<BodyPipe>;

}  // namespace lb::sidecar
