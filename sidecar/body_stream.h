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
class BodyStream : public std::enable_shared_from_this<BodyStream> {
 public:
  using Hook = std::function<void()>;

  // `length`: of the whole body, where it is known.
  BodyStream(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length)
      : io_(io), capacity_(capacity), length_(length) {}

  boost::optional<std::uint64_t> length() const { return length_; }

  // ---- Of the side that puts ----

  Hook on_capacity;  // there is room again, or the other side has left
  bool HasCapacity() const { return held_.size() < capacity_; }
  void Write(const char* bytes, std::size_t size) {
    held_.append(bytes, size);
    Tell(&BodyStream::on_data);
  }
  // When more of it was last known to be still to be sent; asked while it is not known to be sent whole.
  std::function<TimePoint()> last_seen_incoming;
  // Its last byte was sent at `at`, or soon after; the rest of it may still have to be read. The first call
  // counts.
  void MarkSent(TimePoint at) {
    if (sent_at_) return;
    sent_at_ = at;
    Tell(&BodyStream::on_sent_);
  }
  void Finish() {
    finished_ = true;
    Tell(&BodyStream::on_data);
  }
  // It will never be whole.
  void AbortByWriter() {
    broken_ = !finished_;
    Tell(&BodyStream::on_data);
  }
  bool left() const { return left_; }

  // ---- Of the side that takes ----

  Hook on_data;  // there is more, or the end of it
  // For whoever counts the time: called when all of it has been sent, also where that was before.
  void NotifyWhenSent(Hook hook) {
    on_sent_ = std::move(hook);
    if (sent_at_) Tell(&BodyStream::on_sent_);
  }
  std::optional<TimePoint> sent_at() const { return sent_at_; }
  // The last byte was not sent before this time.
  TimePoint LastByteNotBefore() const {
    return sent_at_ ? *sent_at_ : last_seen_incoming ? last_seen_incoming() : Now();
  }
  std::string Read() {
    consumed_ = consumed_ || !held_.empty();
    Tell(&BodyStream::on_capacity);
    return std::exchange(held_, {});
  }
  bool ended() const { return finished_ && held_.empty(); }
  bool broken() const { return broken_; }
  bool finished() const { return finished_; }
  // Something was taken: the whole of it can't be had again.
  bool consumed() const { return consumed_; }
  void AbandonByReader() {
    left_ = true;
    Tell(&BodyStream::on_capacity);
  }

 private:
  void Tell(Hook BodyStream::*hook) {
    if (!((*this).*hook)) return;
    boost::asio::post(io_, [self = shared_from_this(), hook] {
      // The one who hears may take the hook away while it runs.
      if (const Hook told = (*self).*hook) told();
    });
  }

  boost::asio::io_context& io_;
  Hook on_sent_;
  std::optional<TimePoint> sent_at_;
  const std::size_t capacity_;
  const boost::optional<std::uint64_t> length_;
  std::string held_;
  bool finished_ = false;
  bool broken_ = false;
  bool left_ = false;
  bool consumed_ = false;
};

using Body = std::shared_ptr<BodyStream>;

}  // namespace lb::sidecar
