#include "sidecar/request_body.h"

#include <chrono>

namespace lb::sidecar {
namespace {

// What is known of the buffers is taken to hold for this long, as each look at them is a system call.
constexpr Duration kObservationInterval = std::chrono::milliseconds(10);
// If the receive buffer was empty, it takes at least this many bytes before the client's have to wait in its
// send buffer.
constexpr std::uint64_t kMinWindow = std::uint64_t{32} * 1024;

}  // namespace

void RequestBody::Append(boost::beast::string_view bytes, boost::optional<std::uint64_t> length) {
  if (stream_) return stream_->Write(bytes.data(), bytes.size());
  if (held_.empty() && length) ReserveForBody(held_, *length);
  held_.Append(bytes.data(), bytes.size());
}

Body RequestBody::StartStream(boost::asio::io_context& io, std::size_t capacity,
                              boost::optional<std::uint64_t> length, TimePoint last_byte_at,
                              const std::weak_ptr<void>& owner) {
  stream_ = std::make_shared<BodyStream>(io, capacity, length, std::move(held_));
  send_time_.emplace(last_byte_at, MaxTcpSendBuffer());
  observed_at_ = last_byte_at;
  RecordPause();
  stream_->earliest_last_byte = [this, owner] {
    const auto alive = owner.lock();
    return alive && stream_ ? EarliestLastByte() : Now();
  };
  stream_->on_capacity = [this, owner] {
    const auto alive = owner.lock();
    if (alive && stream_) owner_.on_capacity();
  };
  return stream_;
}

// The smallest offset that the body's last byte may have in the connection. While there is capacity, all
// bytes read were parsed as far as possible without finding the end.
std::uint64_t RequestBody::MinLastByteOffset(const ReceiveProgress& progress) const {
  const std::uint64_t parsed = progress.read - progress.unparsed;
  if (progress.body_left) return parsed + *progress.body_left;
  return (waits_for_capacity_ ? parsed : progress.read) + 1;
}

ReceiveProgress RequestBody::ObserveProgress() {
  const ReceiveProgress progress = owner_.receive_progress();
  observed_at_ = Now();
  send_time_->Observe(progress.read, progress.unread, observed_at_);
  are_buffers_empty_ = progress.unread == 0;
  if (are_buffers_empty_) empty_at_ = progress.read;
  return progress;
}

TimePoint RequestBody::EarliestLastByte() {
  const ReceiveProgress progress = ObserveProgress();
  return send_time_->EarliestSend(MinLastByteOffset(progress));
}

void RequestBody::RecordPause() {
  are_buffers_empty_ = false;
  empty_at_.reset();
}

void RequestBody::BeginRead() {
  if (stream_ && Now() - observed_at_ >= kObservationInterval) ObserveProgress();
}

// A read that takes all there is does not show that the client's send buffer is empty, too: that fills the
// receive buffer again only after the read, if it had to wait for room there.
void RequestBody::EndRead(std::uint64_t read_before, std::size_t size, bool emptied_buffer) {
  if (!stream_) return;
  const TimePoint now = Now();
  if (are_buffers_empty_) send_time_->Observe(read_before, 0, now);
  const std::uint64_t read = read_before + size;
  are_buffers_empty_ = emptied_buffer && empty_at_ && read - *empty_at_ <= kMinWindow;
  if (!are_buffers_empty_) return;
  empty_at_ = read;
  observed_at_ = now;
}

void RequestBody::Detach() {
  stream_->on_capacity = nullptr;
  stream_->earliest_last_byte = nullptr;
  send_time_.reset();
}

void RequestBody::Finish() {
  const ReceiveProgress progress = owner_.receive_progress();
  const std::uint64_t last_byte = progress.read - progress.unparsed;
  stream_->MarkSent(send_time_->EarliestSend(last_byte));
  Detach();
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
