// A body that is streamed from one connection to another. Holds at most about its capacity: a slow reader
// must not make the sidecar buffer the whole body.
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

// The writer puts pieces in while there is capacity, the reader takes them out. Each is notified of the other
// by its hook, from the event loop and never from within a call, and clears its hook before it is destroyed.
class BodyStream : public std::enable_shared_from_this<BodyStream> {
 public:
  using Hook = std::function<void()>;

  // `capacity`: bytes held before the writer has to wait. `length`: of the whole body, where it is known
  // ahead.
  BodyStream(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length)
      : io_(io), capacity_(capacity), length_(length) {}

  boost::optional<std::uint64_t> length() const { return length_; }

  // ---- The writer's side ----

  Hook on_capacity;  // there is capacity again, or the reader has left
  bool HasCapacity() const { return held_.size() < capacity_; }
  void Write(const char* bytes, std::size_t size) {
    held_.append(bytes, size);
    PostHook(&BodyStream::on_data);
  }
  // When more of the body was last known to be still incoming; asked while it is not known to be sent whole.
  std::function<TimePoint()> last_seen_incoming;
  // The peer sent the last byte at `at`, or soon after; the rest may still have to be read from the socket.
  // The first call counts.
  void MarkSent(TimePoint at) {
    if (sent_at_) return;
    sent_at_ = at;
    PostHook(&BodyStream::on_sent_);
  }
  void Finish() {
    finished_ = true;
    PostHook(&BodyStream::on_data);
  }
  // The body will never be complete.
  void AbortByWriter() {
    broken_ = !finished_;
    PostHook(&BodyStream::on_data);
  }
  bool left() const { return left_; }

  // ---- The reader's side ----

  Hook on_data;  // there is more, or the end of it
  // `hook` is called when all of the body has been sent, also where that was before: a response time runs
  // from there.
  void NotifyWhenSent(Hook hook) {
    on_sent_ = std::move(hook);
    if (sent_at_) PostHook(&BodyStream::on_sent_);
  }
  std::optional<TimePoint> sent_at() const { return sent_at_; }
  // The peer did not send the last byte before this time.
  TimePoint LastByteNotBefore() const {
    return sent_at_ ? *sent_at_ : last_seen_incoming ? last_seen_incoming() : Now();
  }
  std::string Read() {
    consumed_ = consumed_ || !held_.empty();
    PostHook(&BodyStream::on_capacity);
    return std::exchange(held_, {});
  }
  bool ended() const { return finished_ && held_.empty(); }
  bool broken() const { return broken_; }
  bool finished() const { return finished_; }
  // Something was read: the body can't be sent to another upstream.
  bool consumed() const { return consumed_; }
  void AbandonByReader() {
    left_ = true;
    PostHook(&BodyStream::on_capacity);
  }

 private:
  void PostHook(Hook BodyStream::*hook) {
    if (!((*this).*hook)) return;
    boost::asio::post(io_, [self = shared_from_this(), hook] {
      // The hook may be cleared while it runs, so a copy is called.
      const Hook called = (*self).*hook;
      if (called) called();
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
