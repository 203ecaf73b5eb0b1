// The body of one response on its way from an upstream's connection to the sender of the request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sidecar/body_stream.h"

namespace lb::sidecar {

// Collects the body, so that another upstream can still answer where this one breaks off; from
// StartStreaming() on passes each part on and keeps nothing. Bounded by its owner, which starts to stream or
// gives up once more than kMaxBufferedBody is collected.
class ResponseBody {
 public:
  // What the next read may fill, of PartSize() bytes; valid until the next call or Clear().
  char* PreparePart();
  static std::size_t PartSize();
  // Takes the first `size` bytes of that.
  void TakePart(std::size_t size);

  std::size_t collected() const { return collected_.size(); }
  std::string TakeCollected();

  // Starts to stream, with what has been collected. `on_capacity` is called from the event loop when the
  // stream has capacity again or its reader has gone, until the body ends.
  Body StartStreaming(boost::asio::io_context& io, std::size_t capacity,
                      boost::optional<std::uint64_t> length, BodyStream::Hook on_capacity);
  bool is_streaming() const { return stream_ != nullptr; }
  bool HasCapacity() const { return !stream_ || stream_->HasCapacity(); }
  bool IsAbandonedByReader() const { return stream_ && stream_->left(); }
  // The body is complete: the stream, if there is one, ends.
  void Finish();
  // It will never be complete.
  void Abort();

  // Ready for the next response; frees what this one needed. Not while streaming.
  void Clear();

 private:
  std::string part_;
  std::string collected_;
  Body stream_;  // null until StartStreaming() and from Finish() or Abort() on
};

}  // namespace lb::sidecar
