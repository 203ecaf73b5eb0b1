// The body of a client's request while it comes: held whole up to kMaxBufferedBody, so that it can be sent to
// a further upstream, and streamed to the upstream beyond that.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"

namespace lb::sidecar {

class RequestBody {
 public:
  struct Owner {
    // Is more of the body still to come than has reached this machine? False where that can't be told.
    std::function<bool()> is_more_incoming;
    // The stream can take more, or its reader has left.
    std::function<void()> on_capacity;
  };

  explicit RequestBody(Owner owner) : owner_(std::move(owner)) {}

  // ---- Held ----

  void Append(boost::beast::string_view bytes);
  bool IsTooLargeToHold() const { return !stream_ && held_.size() > kMaxBufferedBody; }
  std::string TakeHeld() { return std::move(held_); }
  // Gives its memory back: most connections are idle most of the time.
  void DiscardHeld();

  // ---- Streamed, until the last byte has come ----

  // Begins with what is held, which stays until DiscardHeld(). `last_byte_at`: the last byte so far has come
  // then. Calls Owner's functions only while `owner` lives.
  Body StartStream(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length,
                   TimePoint last_byte_at, const std::weak_ptr<void>& owner);
  bool IsStreaming() const { return stream_ != nullptr; }
  bool HasCapacity() const { return stream_->HasCapacity(); }
  // Bytes that have come wait for capacity: the upstream is slow, not the client.
  void WaitForCapacity() { waits_for_capacity_ = true; }
  bool IsWaitingForCapacity() const { return waits_for_capacity_; }
  void EndWaitForCapacity() { waits_for_capacity_ = false; }
  bool IsKnownToBeSent() const { return stream_->sent_at().has_value(); }
  // Notes when the client sent its last byte, also where that byte waits for capacity: its response time runs
  // from there. `is_end_known`: the end of the body can be told without parsing it.
  void RecordLastByteTime(bool is_end_known);
  void Finish();
  // The rest will not come, or is no longer wanted.
  void Abort();

 private:
  TimePoint LastSeenIncoming();
  void Detach();

  const Owner owner_;
  std::string held_;
  Body stream_;
  TimePoint last_seen_incoming_;
  bool waits_for_capacity_ = false;
};

}  // namespace lb::sidecar
