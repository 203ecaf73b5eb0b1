// A message body that is streamed from one connection to another. Its capacity limits how much is buffered,
// so that a slow reader does not make the sidecar buffer the whole body.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "sidecar/clock.h"
#include "sidecar/held_bytes.h"

namespace lb::sidecar {

// The writer adds pieces while there is capacity, and the reader removes them. Hooks notify each side of the
// other's actions; they run from the event loop, never from within a call. Each side must clear its hook
// before it is destroyed.
class BodyStream : public std::enable_shared_from_this<BodyStream> {
 public:
  using Hook = std::function<void()>;

  // `capacity`: number of buffered bytes from which the writer must wait. `length`: bytes of the whole body,
  // if known in advance. `held`: the first bytes of the body, if some have arrived. The stream charges the
  // same budget as they do; as `capacity` bounds its bytes, it goes on while the budget is exhausted.
  BodyStream(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length,
             HeldBytes held = {})
      : io_(io), capacity_(capacity), length_(length), buffered_(std::move(held)) {}

  boost::optional<std::uint64_t> length() const { return length_; }

  // ---- The writer's side ----

  Hook on_capacity;  // called when the reader has read or abandoned the stream
  bool HasCapacity() const { return buffered_.size() < capacity_; }
  void Write(const char* bytes, std::size_t size) {
    buffered_.Append(bytes, size);
    PostHook(&BodyStream::on_data);
  }
  // Returns a lower bound of the time at which the peer sends, or sent, the last byte. Called until
  // MarkSent().
  std::function<TimePoint()> earliest_last_byte;
  // Records that the peer sent the last byte of the body at `at` or later. Called once, before Finish().
  void MarkSent(TimePoint at) {
    sent_at_ = at;
    PostHook(&BodyStream::on_sent_);
  }
  void Finish() {
    finished_ = true;
    PostHook(&BodyStream::on_data);
  }
  // Ends the body as incomplete, unless it is finished.
  void AbortByWriter() {
    aborted_ = !finished_;
    PostHook(&BodyStream::on_data);
  }
  bool abandoned_by_reader() const { return abandoned_; }

  // ---- The reader's side ----

  Hook on_data;  // called when data has arrived or the body has ended
  // Calls `hook` when the last byte has been received, also if that was before: the time limit of the
  // response runs from sent_at().
  void NotifyWhenSent(Hook hook) {
    on_sent_ = std::move(hook);
    if (sent_at_) PostHook(&BodyStream::on_sent_);
  }
  std::optional<TimePoint> sent_at() const { return sent_at_; }
  // A lower bound of the time at which the peer sends, or sent, the last byte. While the stream has no
  // capacity, bytes wait unread, and the last one may be among them.
  TimePoint EarliestLastByte() const {
    return sent_at_ ? *sent_at_ : earliest_last_byte ? earliest_last_byte() : Now();
  }
  HeldBytes Read() {
    consumed_ = consumed_ || !buffered_.empty();
    PostHook(&BodyStream::on_capacity);
    HeldBytes read = std::move(buffered_);
    return read;
  }
  // Whether bytes wait to be read.
  bool HasData() const { return !buffered_.empty(); }
  bool fully_read() const { return finished_ && buffered_.empty(); }
  bool aborted() const { return aborted_; }
  bool finished() const { return finished_; }
  // Some of the body has been read, so it can't be sent to another upstream.
  bool consumed() const { return consumed_; }
  void AbandonByReader() {
    abandoned_ = true;
    PostHook(&BodyStream::on_capacity);
  }

 private:
  void PostHook(Hook BodyStream::*hook) {
    if (!((*this).*hook)) return;
    boost::asio::post(io_, [self = shared_from_this(), hook] {
      // A hook may clear itself while it runs, so a copy is called.
      const Hook called = (*self).*hook;
      if (called) called();
    });
  }

  boost::asio::io_context& io_;
  Hook on_sent_;
  std::optional<TimePoint> sent_at_;
  const std::size_t capacity_;
  const boost::optional<std::uint64_t> length_;
  HeldBytes buffered_;
  bool finished_ = false;
  bool aborted_ = false;
  bool abandoned_ = false;
  bool consumed_ = false;
};

using Body = std::shared_ptr<BodyStream>;

}  // namespace lb::sidecar
