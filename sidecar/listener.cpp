#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sidecar/listener.h"
#include "sidecar/socket_io.h"
#include "sidecar/socket_reader.h"
#include "sidecar/write_stream.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kSweep = milliseconds(250);
constexpr auto kDrainSweep = milliseconds(10);
// A connection has so long, from its start, for its first whole request; a later request from its first byte
// on; an answer to be taken. Not renewed by what trickles: the deployment wants silent and stalled clients
// gone within 3 s of connecting.
constexpr Duration kStalled = milliseconds(2500);
// Usual clients connect when they have a request: one that has said nothing by now, or not finished its
// request by then, goes before those.
constexpr Duration kSilent = seconds(1);
constexpr Duration kSlow = seconds(1);
// A body may come slowly, but it has to come: after kStalled at this many bytes a second, and never so long
// without one.
constexpr double kLeastRate = 32 * 1024;
constexpr Duration kSilentBody = seconds(1);
// A client that takes nothing of a body that passes through for so long is gone; it may read slowly.
constexpr Duration kStuckReader = seconds(10);
// Small, or the system would take megabytes for a client that reads slowly, and hide that it stopped.
constexpr int kSendBuffer = 64 * 1024;
// After a last answer the client's close is waited for: a reset could overtake the answer. Short, as a
// planned stop waits for it too.
constexpr Duration kLinger = milliseconds(250);
// One that was still sending its request when it got its answer may look at it only afterwards.
constexpr Duration kLongLinger = seconds(2);
// Whoever sends on for long after the last answer gets the reset: reading megabytes to the end is no service.
constexpr std::size_t kMostLinger = 256 * 1024;
constexpr std::size_t kReadSize = 8192;
// Clients go on opening connections for a moment after a planned stop began.
constexpr Duration kAcceptWhileDraining = milliseconds(800);
// And where accepting fails just then, for so long more: the process may be killed soon after.
constexpr Duration kEmptyBacklogWithin = milliseconds(500);
// A connection opened in that time is about to carry a request.
constexpr Duration kFreshConnection = milliseconds(300);
// So long after clients began to be sent away the requests that one has sent ahead are served; then the next
// answer ends its connection. Who sends ahead without end must not keep it open.
constexpr Duration kServeAhead = seconds(1);
// A client that has ended its sending has closed, or it still waits for its answer, as HTTP allows. It is
// sent an interim answer: one that has closed answers anything with a reset, well within this time.
constexpr boost::beast::string_view kAreYouThere = "HTTP/1.1 102 Processing\r\n\r\n";
// HTTP/1.0 knows no interim answers. But any answer to it begins like this, so a byte of it can go ahead.
constexpr boost::beast::string_view kAnswerBegins = "HTTP/1.0 ";
constexpr Duration kResetWithin = milliseconds(5);
// One found to be there is asked again ahead of an attempt that begins later than this.
constexpr Duration kStillThere = milliseconds(20);
// To one whose connection is closed for want of room.
constexpr boost::beast::string_view kNoRoom =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
// Where there is no room to read, the end of a client and of its request is looked for so often.
constexpr Duration kLookAgain = milliseconds(50);

}  // namespace

// One client connection. A read is always pending while there is room, also while a request is being served:
// that is how a client that leaves is noticed.
class Listener::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& owner, tcp::socket socket)
      : owner_(&owner),
        slot_(std::in_place, owner.descriptors_, Descriptors::Side::kClient),
        socket_(std::move(socket)),
        reader_(socket_),
        writer_(socket_),
        look_(owner.io_) {
    buffer_.max_size(kMostRead);
    NewParser();
  }

  void Start() { Read(); }

  void Close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    look_.cancel();
    slot_.reset();
    EndUpload();
    if (answer_) {
      answer_->on_data = nullptr;
      std::exchange(answer_, nullptr)->AbandonByReader();
    }
    if (owner_ != nullptr) owner_->connections_.erase(shared_from_this());
    if (const auto gone = std::exchange(gone_, nullptr)) gone();
  }

  // The listener is going: handlers that are still to come must not touch it.
  void Drop() {
    owner_ = nullptr;
    gone_ = nullptr;
    Close();
  }

  // Ends an idle one. Not by a close alone: over a request that comes in that moment it would be a reset. One
  // that has carried none is answered: its client need not know that a request may cross its end.
  void End() {
    if (unused_) return Reject(http::status::service_unavailable, "draining");
    close_after_ = true;
    Linger();
    Read();
  }

  // As the system has it now, also where bytes ahead of its end are unread. Nothing that was found earlier
  // counts: the process may have been held up since.
  ClientPresence CheckClient() {
    if (closed_) return ClientPresence::kGone;
    if (there_ && CanAsk() && Now() - found_at_ > kStillThere) AskAnew();
    if (!there_ && !asking_ && !ended_) {
      const IoStatus status = Peek(socket_.native_handle()).status;
      if (status == IoStatus::kBroken) return ClientPresence::kGone;
      if (status == IoStatus::kWouldBlock) return ClientPresence::kConnected;
      if (status != IoStatus::kEnd && PollNow(socket_.native_handle(), POLLRDHUP) == 0)
        return ClientPresence::kConnected;
    }
    if (IsOver()) return ClientPresence::kGone;
    return there_ ? ClientPresence::kConnected : ClientPresence::kUnknown;
  }

  TimePoint since() const { return since_; }

  bool Reading() const { return state_ == State::kReading; }
  bool Idle() const { return Reading() && !started_; }

  // Nothing of a further request has come, not even into the system's buffer.
  bool SparesClose() { return Idle() && !HasUnread(); }

  // The rest of a request may be there already, where this process was short of time to read it.
  bool HasUnread() {
    error_code error;
    return socket_.available(error) > 0 && !error;
  }

  // Closes it for want of room. Whoever has begun a request, or is about to send its first, is told that
  // nothing was done, as far as the system takes it at once; an idle one asks on another connection.
  void Evict() {
    if (Reading() && (started_ || unused_)) WriteNow(kNoRoom);
    Close();
  }

  // Some of its answer has not reached the client's system: a close could take it along.
  bool HasUnsent() {
    int size = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &size) == 0 && size > 0;
  }

  // Which goes first when descriptors run out, the lowest number first; nothing where it must stay. Usual
  // clients' connections outlast those of clients that say nothing.
  std::optional<int> Spare(TimePoint now) {
    const Duration age = now - since_;
    if (state_ == State::kLingering && !HasUnsent()) return 0;
    if (state_ != State::kReading) return std::nullopt;
    // A kept connection is closed at no cost: its client asks on another. One that has not asked yet is about
    // to.
    if (started_) return age > kSlow ? 3 : 5;
    if (unused_) return age > kSilent ? 1 : 4;
    return 2;
  }

  // Ends what has had its time.
  void CloseIfOverdue(TimePoint now) {
    if (closed_) return;
    const Duration age = now - since_;
    if (upload_ || (state_ == State::kReading && started_)) {
      if (Stalled(now) && !HasUnread()) Reject(http::status::request_timeout, "request did not come in time");
    } else if (state_ == State::kReading) {
      // Answered, not only closed: a first request that crosses this has its answer.
      if (unused_ && age > kStalled && !HasUnread())
        Reject(http::status::request_timeout, "no request came in time");
    } else if (state_ == State::kLingering) {
      if (age > linger_) Close();
    } else if (state_ == State::kWriting && answer_) {
      if (writing_ && age > kStuckReader) Reset();
    } else if (state_ == State::kWriting) {
      if (Seconds(age - kStalled) > static_cast<double>(response_.body().size()) / kLeastRate) Close();
    }
  }

  // For a while what was sent ahead is still served when clients are sent away, and all of it to one that has
  // ended its sending: it can send no more.
  bool ServesAhead() {
    if (buffer_.size() == 0 && !HasUnread()) return false;
    const TimePoint now = Now();
    return ended_ || there_ || (now - owner_->leaving_since_ < kServeAhead && now < owner_->stop_by_);
  }

  bool Fresh(TimePoint now) const { return unused_ && now - since_ < kFreshConnection; }

 private:
  enum class State { kReading, kServing, kWriting, kLingering };

  static double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

  // Is a request that has begun to come overdue? Nobody is to blame for bytes there is no room for.
  bool Stalled(TimePoint now) const {
    const Duration age = now - since_;
    if (age <= kStalled || (upload_ && (held_up_ || !upload_->HasCapacity()))) return false;
    return arrived_ == 0 || now - last_byte_ > kSilentBody ||
           static_cast<double>(arrived_) < Seconds(age - kStalled) * kLeastRate;
  }

  void NewParser() {
    parser_.emplace();
    parser_->body_limit(kMostPassing);
    body_.clear();
    body_.shrink_to_fit();
    arrived_ = 0;
    parser_->header_limit(kMostHeader);
    started_ = false;
    head_checked_ = false;
    scanned_ = 0;
    skipped_ = false;
    held_up_ = false;
    since_ = Now();
    if (buffer_.size() == 0) buffer_.shrink_to_fit();  // most connections are idle most of the time
  }

  void Read() {
    if (reader_.IsReading() || closed_ || ended_) return;
    if (buffer_.size() == buffer_.max_size()) return LookAgain();
    reader_.Read(buffer_, kReadSize, [self = shared_from_this()](const IoResult& result) {
      if (self->closed_ || self->owner_ == nullptr) return;
      if (result.status == IoStatus::kEnd) return self->Ended();
      if (result.status == IoStatus::kBroken) return self->Close();
      self->Progress();
    });
  }

  // No more will come.
  void Ended() {
    ended_ = true;
    ActOnEnd();
  }

  // What was read ahead of the end of sending is parsed and passed on first. Then there is an answer to wait
  // for, or nothing. While an answer is written, its write tells whether the client is there.
  void ActOnEnd() {
    if (!ended_ || closed_ || state_ == State::kWriting) return;
    if (state_ != State::kServing) return Close();          // the rest of a request will not come
    if (upload_ && upload_->HasCapacity()) return Close();  // nor the rest of its body
    Ask();
  }

  void Ask() {
    if (there_ || std::exchange(asking_, true)) return;
    const auto probe = version_ >= 11 ? kAreYouThere : kAnswerBegins.substr(sent_ahead_, 1);
    const auto size = WriteNow(probe);
    // Where it has no room for this its client has not read what it was sent before, nor reset it.
    if (!size || WasReset()) return Close();
    if (version_ < 11) {
      sent_ahead_ += *size;
    } else if (*size > 0) {
      owed_ahead_ = std::string(probe.substr(*size));
    }
    look_.expires_after(kResetWithin);
    look_.async_wait([self = shared_from_this()](error_code stopped) {
      if (stopped || self->closed_ || self->owner_ == nullptr) return;
      if (self->WasReset() || self->IsOver()) return self->Close();
      self->there_ = true;
      self->found_at_ = Now();
      if (auto waited = std::exchange(self->waiting_, std::nullopt))
        self->Serve(std::move(waited->first), std::move(waited->second));
      if (!self->closed_) self->Read();
    });
  }

  // Few clients bear many interim answers; one goes ahead of each attempt at most.
  bool CanAsk() const { return version_ >= 11 ? owed_ahead_.empty() : sent_ahead_ < kAnswerBegins.size(); }

  // It may have closed since it was found to be there. Not at once: whoever looks is in the middle of
  // something.
  void AskAnew() {
    there_ = asking_ = false;
    boost::asio::post(owner_->io_, [self = shared_from_this()] {
      if (!self->closed_ && self->owner_ != nullptr && self->state_ == State::kServing) self->Ask();
    });
  }

  bool WasReset() {
    int failed = 0;
    socklen_t size = sizeof failed;
    return ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0;
  }

  // Writes what the system takes at once, in as many pieces as it wants: so much of it; nothing where the
  // connection is broken.
  std::optional<std::size_t> WriteNow(boost::beast::string_view text) {
    std::size_t written = 0;
    while (written < text.size()) {
      const auto rest = text.substr(written);
      const IoResult result = WriteSome(socket_.native_handle(), rest.data(), rest.size());
      if (result.status == IoStatus::kBroken) return std::nullopt;
      if (result.status != IoStatus::kDone) break;
      written += result.size;
    }
    return written;
  }

  // The connection has ended both ways, not only the client's sending.
  bool IsOver() { return PollNow(socket_.native_handle(), 0) != 0; }

  // With no room to read, its end is looked for behind what is unread.
  void LookAgain() {
    const bool asked = asking_ && !there_;  // the timer is the question's
    const bool known = there_ && (!upload_ || upload_->sent_at());
    if (asked || known || state_ != State::kServing) return;
    look_.expires_after(kLookAgain);
    look_.async_wait([self = shared_from_this()](error_code stopped) {
      if (stopped || self->closed_ || self->owner_ == nullptr) return;
      if (self->buffer_.size() < self->buffer_.max_size()) return;
      if (self->state_ == State::kServing) {
        self->LookForLastByte();
        if (!self->asking_ && self->CheckClient() != ClientPresence::kConnected) return self->Ask();
      }
      self->LookAgain();
    });
  }

  void Progress() {
    if (state_ == State::kLingering) {
      if (linger_ == kLinger) lingered_ += buffer_.size();
      buffer_.consume(buffer_.size());
      if (lingered_ > kMostLinger) return Close();
    }
    Parse();
    LookForLastByte();
    ActOnEnd();
    Read();
  }

  void Parse() {
    while ((state_ == State::kReading || upload_) && buffer_.size() > 0) {
      if (upload_ && !upload_->HasCapacity()) {
        held_up_ = true;
        return;
      }
      if (!parser_->is_header_done()) {
        if (const auto empty = scanned_ == 0 && !skipped_ ? EmptyLine(Unparsed()) : 0; empty > 0) {
          if (empty == 1 && buffer_.size() == 1) return;  // the rest of it is still to come
          skipped_ = empty == 2;
          if (skipped_) {
            buffer_.consume(empty);
            continue;  // on its own it is no request: the connection is still idle
          }
        }
        if (!std::exchange(started_, true) && !std::exchange(unused_, false)) since_ = Now();
        const Head head = LookAtHead(Unparsed(), scanned_);
        if (head == Head::kPartial) return;
        if (head == Head::kBad) return Reject(http::status::bad_request, "bad request head");
      }
      // Not in one go with the header: Beast 1.74 then forgets that the body is beyond the bound.
      parser_->eager(parser_->is_header_done());
      char piece[kPiece];
      parser_->get().body() = {piece, sizeof piece, true};
      error_code error;
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      const std::size_t size = sizeof piece - parser_->get().body().size;
      if (error == http::error::need_more || error == http::error::need_buffer) error = {};
      if (error == http::error::body_limit) return Reject(http::status::payload_too_large, "body too large");
      if (error) return Reject(http::status::bad_request, error.message());
      if (parser_->is_header_done() && !std::exchange(head_checked_, true)) {
        if (const char* fault = FramingFault(parser_->get())) return Reject(http::status::bad_request, fault);
        if (parser_->content_length().value_or(0) > kMostPassing) {
          return Reject(http::status::payload_too_large, "body too large");
        }
        Continue();
      }
      if (size > 0) Arrived(piece, size);
      if (closed_ || (state_ != State::kReading && !upload_)) return;  // it has its answer already
      if (parser_->is_done()) return Whole();
      if (used == 0) return;
    }
  }

  void Arrived(const char* bytes, std::size_t size) {
    arrived_ += size;
    last_byte_ = Now();
    if (upload_) return upload_->Write(bytes, size);
    body_.append(bytes, size);
    if (body_.size() > kMostBody) BeginUpload();
  }

  // Whoever sent all that means the rest as well: it passes through from here on.
  void BeginUpload() {
    upload_ = std::make_shared<BodyStream>(owner_->io_, owner_->pipe_, parser_->content_length());
    coming_at_ = last_byte_;
    upload_->last_seen_incoming = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || !self->upload_) return Now();
      if (self->StillComes()) self->coming_at_ = Now();
      return self->coming_at_;
    };
    upload_->on_capacity = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->closed_ || !self->upload_) return;
      if (std::exchange(self->held_up_, false)) {
        self->since_ = self->last_byte_ = Now();
        self->arrived_ = 1;
      }
      self->Progress();
    };
    upload_->Write(body_.data(), body_.size());
    HttpRequest request;
    request.base() = parser_->get().base();
    Hand(std::move(request), upload_);
    body_.clear();
    body_.shrink_to_fit();
  }

  // Is there more of the body to come than the system holds unread? Known where its length is.
  bool StillComes() {
    error_code error;
    const std::size_t unparsed = buffer_.size() + socket_.available(error);
    const auto left = parser_->content_length_remaining();
    return left ? *left > unparsed : unparsed == 0;
  }

  // The client's time runs from the last byte it sent, also where that waits for room.
  void LookForLastByte() {
    if (!upload_ || upload_->sent_at()) return;
    if (upload_->HasCapacity() || StillComes()) {
      coming_at_ = Now();
    } else if (ended_ || parser_->content_length_remaining()) {
      upload_->MarkSent(coming_at_);
    }
  }

  void EndUpload() {
    if (!upload_) return;
    upload_->on_capacity = nullptr;
    upload_->last_seen_incoming = nullptr;
    std::exchange(upload_, nullptr)->AbortByWriter();
  }

  // The last byte of a request is there. Trailers have joined the head. And what follows a body must begin
  // like a request, or its length was wrong.
  void Whole() {
    std::size_t scanned = 0;
    const char* fault = FramingFault(parser_->get());
    const auto next = Unparsed().substr(EmptyLine(Unparsed()));
    if (!fault && !next.empty() && LookAtHead(next, scanned) == Head::kBad) {
      fault = "no request behind the body";
    }
    if (fault) return Reject(http::status::bad_request, fault);
    if (upload_) {
      upload_->on_capacity = nullptr;
      upload_->last_seen_incoming = nullptr;
      upload_->MarkSent(Now());
      return std::exchange(upload_, nullptr)->Finish();
    }
    HttpRequest request;
    request.base() = std::move(parser_->get().base());
    request.body() = std::move(body_);
    Hand(std::move(request), nullptr);
  }

  boost::beast::string_view Unparsed() const {
    return {static_cast<const char*>(buffer_.data().data()), buffer_.data().size()};
  }

  // Whoever sent this can't be followed any further: nothing behind it on this connection is read as a
  // request.
  void Reject(http::status status, const std::string& why) {
    close_after_ = true;
    waiting_.reset();
    if (const auto gone = std::exchange(gone_, nullptr)) gone();
    Answer(PlainResponse(status, why), nullptr);
  }

  // A client that asked whether to go on waits for this before it sends the body.
  void Continue() {
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
    static constexpr boost::beast::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
    owed_ahead_ = std::string(kGoOn.substr(WriteNow(kGoOn).value_or(kGoOn.size())));
  }

  void Hand(HttpRequest request, Body body) {
    if (const auto path = OriginForm(request.target()); path.size() != request.target().size()) {
      request.target(std::string(path));
    }
    if (!request.keep_alive()) close_after_ = true;
    version_ = request.version();
    const auto target = request.target();
    state_ = State::kServing;
    if (target == "/up" && request.method() == http::verb::get) {
      // What another process serves is up: no client is to stay away.
      const bool leaving = owner_->handed_over_ ? owner_->away_ : owner_->Leaving();
      const char* no = leaving ? "draining" : owner_->can_serve_() ? nullptr : "no upstream is known";
      return Answer(
          no ? PlainResponse(http::status::service_unavailable, no) : PlainResponse(http::status::ok, "up"),
          nullptr);
    }
    // It may have left since it sent this, also where it waits behind the end of its sending.
    const ClientPresence client = CheckClient();
    if (client == ClientPresence::kGone) return Close();
    if (client == ClientPresence::kUnknown) {
      waiting_.emplace(std::move(request), std::move(body));
      return Ask();
    }
    Serve(std::move(request), std::move(body));
  }

  void Serve(HttpRequest request, Body body) {
    auto reply = [self = shared_from_this()](HttpResponse response, Body answer) {
      self->gone_ = nullptr;
      if (!self->closed_) return self->Answer(std::move(response), std::move(answer));
      if (answer) answer->AbandonByReader();
    };
    auto look = [weak = weak_from_this()] {
      const auto self = weak.lock();
      return self ? self->CheckClient() : ClientPresence::kGone;
    };
    auto gone = owner_->on_request_(std::move(request), std::move(body), std::move(reply), std::move(look));
    if (state_ == State::kServing) gone_ = std::move(gone);
  }

  void Answer(HttpResponse response, Body body) {
    state_ = State::kWriting;
    since_ = Now();
    if (upload_) close_after_ = true, linger_ = kLongLinger;
    EndUpload();
    // The one who finds a request unfit asks for the close by the answer.
    if (!response.keep_alive()) close_after_ = true;
    if (owner_ != nullptr && owner_->Leaving() && !ServesAhead()) close_after_ = true;
    if (ended_ && buffer_.size() == 0) close_after_ = true;
    response_ = std::move(response);
    response_.version(version_);
    if (body) return Pass(std::move(body));
    response_.keep_alive(!close_after_);
    response_.prepare_payload();
    head_.emplace(response_);
    AfterOwed([this] {
      http::async_write(writer_, *head_, [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_ || self->owner_ == nullptr) return;
        if (error) return self->Close();
        self->Answered();
      });
    });
  }

  // Ahead of an answer goes the rest of an interim one; of the answer itself some may have gone already.
  void AfterOwed(std::function<void()> write) {
    if (const auto sent = std::exchange(sent_ahead_, 0); sent > 0) {
      error_code ignored;
      head_->next(ignored, [](error_code&, const auto&) {});
      head_->consume(sent);
    }
    if (owed_ahead_.empty()) return write();
    boost::asio::async_write(
        writer_, boost::asio::buffer(owed_ahead_),
        [self = shared_from_this(), write = std::move(write)](error_code error, std::size_t) {
          if (self->closed_ || self->owner_ == nullptr) return;
          if (error) return self->Close();
          self->owed_ahead_.clear();
          write();
        });
  }

  // An answer of which only the head and a piece are here. It must be plain to the client where it ends, or
  // that it broke.
  void Pass(Body body) {
    answer_ = std::move(body);
    chunked_ = !answer_->length() && version_ >= 11;
    if (!answer_->length() && !chunked_) close_after_ = true;
    response_.keep_alive(!close_after_);
    if (chunked_) response_.chunked(true);
    if (answer_->length()) response_.content_length(answer_->length());
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::send_buffer_size(kSendBuffer), ignored);
    answer_->on_data = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->closed_ && self->answer_ && !self->writing_) self->PassPiece();
    };
    head_.emplace(response_);
    head_->split(true);
    writing_ = true;
    AfterOwed([this] {
      http::async_write_header(writer_, *head_, [self = shared_from_this()](error_code error, std::size_t) {
        self->Passed(error);
      });
    });
  }

  void Passed(error_code error) {
    if (closed_ || owner_ == nullptr) return;
    if (error) return Close();
    since_ = Now();
    PassPiece();
  }

  void PassPiece() {
    writing_ = false;
    if (answer_->broken()) return Reset();
    const bool ended = answer_->ended();
    if (!ended) {
      passing_ = answer_->Read();
      if (passing_.empty()) return;  // woken when there is more
    }
    const auto passed = [self = shared_from_this(), ended](error_code error, std::size_t) {
      if (!ended) return self->Passed(error);
      if (self->closed_ || self->owner_ == nullptr) return;
      if (error) return self->Close();
      self->Answered();
    };
    writing_ = true;
    since_ = Now();
    if (ended && chunked_) return boost::asio::async_write(writer_, http::make_chunk_last(), passed);
    if (ended) return Answered();
    const auto bytes = boost::asio::buffer(passing_);
    if (chunked_) return boost::asio::async_write(writer_, http::make_chunk(bytes), passed);
    boost::asio::async_write(writer_, bytes, passed);
  }

  // An end in good order could be taken for the end of the answer.
  void Reset() {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Answered() {
    if (answer_) answer_->on_data = nullptr;
    answer_ = nullptr;
    head_.reset();
    passing_ = {};
    writing_ = false;
    response_ = {};
    if (close_after_ && ended_) return Close();
    if (close_after_) {
      Linger();
    } else {
      state_ = State::kReading;
      NewParser();
    }
    Progress();
  }

  void Linger() {
    state_ = State::kLingering;
    since_ = Now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  Listener* owner_;
  std::optional<Descriptors::Slot> slot_;
  tcp::socket socket_;
  SocketReader reader_;
  WriteStream writer_;
  boost::asio::steady_timer look_;
  std::optional<std::pair<HttpRequest, Body>> waiting_;  // until it is known whether its client is there
  bool ended_ = false;                                   // it has ended its sending
  bool asking_ = false;                                  // whether it is there, once
  bool there_ = false;                                   // it is, and waits for its answer all the same
  TimePoint found_at_;                                   // to be there
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::string body_;  // of a request that is still to come whole
  Body upload_;       // of one that passes through, until its last byte has come
  std::uint64_t arrived_ = 0;
  TimePoint last_byte_;
  TimePoint coming_at_;  // when more of a body that passes through was last known to be still to be sent
  HttpResponse response_;
  Body answer_;  // that passes through
  std::optional<http::response_serializer<http::string_body>> head_;
  std::string passing_;
  std::size_t sent_ahead_ = 0;  // bytes of the answer to an HTTP/1.0 client, before there is one
  std::string owed_ahead_;      // the rest of an interim answer
  bool writing_ = false;
  bool chunked_ = false;
  Duration linger_ = kLinger;
  OnDisconnected gone_;
  State state_ = State::kReading;
  TimePoint since_;  // of the state, or of a request's first byte
  unsigned version_ = 11;
  bool started_ = false;  // some of a request has come
  bool unused_ = true;    // no request has ever begun
  bool head_checked_ = false;
  bool skipped_ = false;      // an empty line ahead of it
  bool held_up_ = false;      // what came of a body that passes through waits for room
  std::size_t scanned_ = 0;   // of a head that is still to come whole
  std::size_t lingered_ = 0;  // bytes read since the last answer
  bool close_after_ = false;
  bool closed_ = false;
};

Listener::Listener(boost::asio::io_context& io, const Endpoint& endpoint, bool shared,
                   std::optional<int> listening, std::size_t pipe, Descriptors& descriptors, Logger& log,
                   OnRequest on_request, std::function<bool()> can_serve)
    : io_(io),
      pipe_(pipe),
      descriptors_(descriptors),
      log_(log),
      on_request_(std::move(on_request)),
      can_serve_(std::move(can_serve)),
      acceptor_(io),
      // Room for the next is made only once it is there: it would be this one's that had said nothing yet.
      accept_loop_(io, acceptor_, log, "accept", endpoint.protocol(),
                   {[this] { return EnsureCapacity(); },
                    [this] { return descriptors_.Room(Descriptors::Side::kClient); },
                    [this](tcp::socket socket) { Admit(std::move(socket)); }, [this] { Evict(); }}),
      sweep_(io) {
  if (listening) {
    acceptor_.assign(endpoint.protocol(), *listening);
  } else {
    Bind(endpoint, shared);
  }
  acceptor_.non_blocking(true);
  ScheduleSweep();
}

void Listener::Bind(const Endpoint& endpoint, bool shared) {
  acceptor_.open(endpoint.protocol());
  // A start after a kill must not wait for the former process's connections to be forgotten.
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  // Where it is refused the address is this process's alone, and the next one has to wait for it.
  const int yes = 1;
  if (shared) ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
  acceptor_.bind(endpoint);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections);
}

void Listener::Start() {
  if (!std::exchange(started_, true)) accept_loop_.Start();
}

Listener::~Listener() {
  for (const auto& connection : std::exchange(connections_, {})) connection->Drop();
}

bool Listener::EnsureCapacity() {
  while (!descriptors_.Room(Descriptors::Side::kClient)) {
    if (!Evict()) return false;
  }
  return true;
}

void Listener::Admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->Start();
}

bool Listener::Evict() {
  const TimePoint now = Now();
  // Those of which more has come than was read are no candidates; there are few.
  std::set<Connection*> busy;
  while (true) {
    std::shared_ptr<Connection> best;
    std::pair<int, TimePoint> lowest;
    for (const auto& connection : connections_) {
      const auto spare = connection->Spare(now);
      if (!spare || busy.contains(connection.get())) continue;
      const std::pair rank(*spare, connection->since());
      if (!best || rank < lowest) best = connection, lowest = rank;
    }
    if (!best) return false;
    if (best->Reading() && best->HasUnread()) {
      busy.insert(best.get());
      continue;
    }
    best->Evict();
    return true;
  }
}

void Listener::SetConnectionDraining(bool away) {
  if (std::exchange(away_, away) == away) return;
  leaving_since_ = Now();
  sweep_.cancel();
  Sweep();
  ScheduleSweep();
}

void Listener::ShutDown(bool handed_over, TimePoint stop_by, std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  stop_by_ = stop_by;
  handed_over_ = handed_over;
  error_code ignored;
  if (handed_over) acceptor_.close(ignored);  // its queue stays open there
  leaving_since_ = drain_started_ = Now();
  sweep_.cancel();
  Sweep();
  ScheduleSweep();
}

void Listener::ScheduleSweep() {
  sweep_.expires_after(Leaving() ? kDrainSweep : kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    if (drained_ && !acceptor_.is_open() && connections_.empty()) return drained_();
    ScheduleSweep();
  });
}

void Listener::Sweep() {
  const TimePoint now = Now();
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    const bool awaits_request = connection->Fresh(now) && now < stop_by_;
    if (Leaving() && !awaits_request && connection->SparesClose()) connection->End();
    connection->CloseIfOverdue(now);
  }
  const bool accepts = now - drain_started_ <= kAcceptWhileDraining && now < stop_by_;
  if (drained_ && acceptor_.is_open() && !accepts) CloseAcceptorOnceEmpty();
}

// What waits in the backlog counts as taken: it is served before the socket closes. Errors put that off for a
// while, from sweep to sweep.
void Listener::CloseAcceptorOnceEmpty() {
  const bool emptied = accept_loop_.TakeWaiting();
  if (!emptied && Now() - drain_started_ < kAcceptWhileDraining + kEmptyBacklogWithin) return;
  if (!emptied) log_.Line("accept: not all that waited could be taken before the stop");
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace lb::sidecar
