#include "sidecar/response_body.h"

#include <memory>
#include <utility>

namespace lb::sidecar {

std::size_t ResponseBody::PartSize() { return kBodyPieceSize; }

char* ResponseBody::PreparePart() {
  part_.resize(PartSize());
  return part_.data();
}

void ResponseBody::TakePart(std::size_t size) {
  received_ += size;
  if (stream_) {
    stream_->Write(part_.data(), size);
  } else {
    collected_.Append(part_.data(), size);
  }
}

Body ResponseBody::StartStreaming(boost::asio::io_context& io, std::size_t capacity,
                                  boost::optional<std::uint64_t> length, BodyStream::Hook on_capacity) {
  stream_ = std::make_shared<BodyStream>(io, capacity, length, std::move(collected_));
  stream_->on_capacity = std::move(on_capacity);
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
  collected_.Clear();
  received_ = 0;
}

}  // namespace lb::sidecar
