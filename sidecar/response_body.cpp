#include "sidecar/response_body.h"

#include <memory>
#include <utility>

#include "sidecar/http.h"

namespace lb::sidecar {

std::size_t ResponseBody::PartSize() { return kBodyPieceSize; }

char* ResponseBody::PreparePart() {
  part_.resize(PartSize());
  return part_.data();
}

void ResponseBody::TakePart(std::size_t size) {
  if (stream_) {
    stream_->Write(part_.data(), size);
  } else {
    collected_.append(part_, 0, size);
  }
}

std::string ResponseBody::TakeCollected() {
  std::string collected = std::move(collected_);
  collected_.clear();
  return collected;
}

Body ResponseBody::StartStreaming(boost::asio::io_context& io, std::size_t capacity,
                                  boost::optional<std::uint64_t> length, BodyStream::Hook on_capacity) {
  stream_ = std::make_shared<BodyStream>(io, capacity, length);
  stream_->on_capacity = std::move(on_capacity);
  if (!collected_.empty()) stream_->Write(collected_.data(), collected_.size());
  collected_ = {};
  return stream_;
}

void ResponseBody::Finish() {
  if (!stream_) return;
  stream_->on_capacity = nullptr;
  stream_->Finish();
  stream_ = nullptr;
}

void ResponseBody::Abort() {
  if (!stream_) return;
  stream_->on_capacity = nullptr;
  stream_->AbortByWriter();
  stream_ = nullptr;
}

void ResponseBody::Clear() {
  part_ = {};
  collected_ = {};
}

}  // namespace lb::sidecar
