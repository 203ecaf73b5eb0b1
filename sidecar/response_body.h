// The body of one response, between the upstream's connection that reads it and the receiver of the response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sidecar/body_stream.h"

namespace lb::sidecar {

// Collects the body, so that another upstream can still answer if this response breaks off. After
// StartStreaming(), writes each part to the stream and keeps no copy. The owner bounds the size: it starts to
// stream, or fails the exchange, when more than kMaxBufferedBody has been collected.
class ResponseBody {
 public:
  // Returns a buffer of PartSize() bytes for the next read, valid until the next call or Clear().
  char* PreparePart();
  static std::size_t PartSize();
  // Adds the first `size` bytes of that buffer to the body.
  void TakePart(std::size_t size);

  std::size_t collected() const { return collected_.size(); }
  std::string TakeCollected();

  // Starts to stream, beginning with the collected bytes. Until the body ends, `on_capacity` is called from
  // the event loop when the stream has capacity again or its reader has abandoned it. `capacity` and
  // `length`: see BodyStream.
  Body StartStreaming(boost::asio::io_context& io, std::size_t capacity,
                      boost::optional<std::uint64_t> length, BodyStream::Hook on_capacity);
  bool is_streaming() const { return stream_ != nullptr; }
  bool HasCapacity() const { return !stream_ || stream_->HasCapacity(); }
  bool IsAbandonedByReader() const { return stream_ && stream_->abandoned_by_reader(); }
  // The body is complete. Finishes the stream, if there is one.
  void Finish();
  // The body will never be complete. Aborts the stream, if there is one.
  void Abort();

  // Prepares for the next response and frees memory. Must not be called while streaming.
  void Clear();

 private:
  std::string part_;
  std::string collected_;
  Body stream_;  // null before StartStreaming() and after Finish() or Abort()
};

}  // namespace lb::sidecar
