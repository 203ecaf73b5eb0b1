#include "sidecar/request_body.h"

namespace lb::sidecar {

void RequestBody::Append(boost::beast::string_view bytes, boost::optional<std::uint64_t> length) {
  if (stream_) return stream_->Write(bytes.data(), bytes.size());
  if (held_.empty() && length) ReserveForBody(held_, *length);
  held_.Append(bytes.data(), bytes.size());
}

Body RequestBody::StartStream(boost::asio::io_context& io, std::size_t capacity,
                              boost::optional<std::uint64_t> length, TimePoint last_byte_at,
                              const std::weak_ptr<void>& owner) {
  stream_ = std::make_shared<BodyStream>(io, capacity, length, std::move(held_));
  last_seen_incoming_ = last_byte_at;
  stream_->last_seen_incoming = [this, owner] {
    const auto alive = owner.lock();
    return alive && stream_ ? LastSeenIncoming() : Now();
  };
  stream_->on_capacity = [this, owner] {
    const auto alive = owner.lock();
    if (alive && stream_) owner_.on_capacity();
  };
  return stream_;
}

TimePoint RequestBody::LastSeenIncoming() {
  if (owner_.is_more_incoming()) last_seen_incoming_ = Now();
  return last_seen_incoming_;
}

void RequestBody::RecordLastByteTime(bool is_end_known) {
  if (!stream_ || stream_->sent_at()) return;
  if (stream_->HasCapacity() || owner_.is_more_incoming()) {
    last_seen_incoming_ = Now();
  } else if (is_end_known) {
    stream_->MarkSent(last_seen_incoming_);
  }
}

void RequestBody::Detach() {
  stream_->on_capacity = nullptr;
  stream_->last_seen_incoming = nullptr;
}

void RequestBody::Finish() {
  Detach();
  stream_->MarkSent(Now());
  const Body finished = std::move(stream_);
  stream_ = nullptr;
  finished->Finish();
}

void RequestBody::Abort() {
  if (!stream_) return;
  Detach();
  const Body aborted = std::move(stream_);
  stream_ = nullptr;
  aborted->AbortByWriter();
}

}  // namespace lb::sidecar
