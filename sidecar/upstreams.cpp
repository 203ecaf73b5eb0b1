#include "sidecar/upstreams.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <iterator>
#include <utility>

#include "sidecar/connect.h"
#include "sidecar/load_report.h"
#include "sidecar/response_framing.h"
#include "sidecar/socket_io.h"
#include "sidecar/write_stream.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using lb::Outcome;
using lb::UpstreamState;
using std::chrono::milliseconds;

// The upstream counts from when it wrote its answer, we from when we read it, and a request needs time to get
// there: an idle connection is retired this share of the limit early, at least by so much.
constexpr int kIdleShare = 10;
constexpr Duration kIdleMargin = milliseconds(500);
constexpr auto kSweep = milliseconds(250);
// Where a closed idle connection made no room for a socket, others hold what is short: the next may only
// then.
constexpr Duration kVainEviction = milliseconds(100);

// An answer of unknown length is held back for this part of the time it has left, in case it is a short one,
// that another upstream could still give where this one breaks.
constexpr int kHoldBackPart = 10;
// What passes through may come and go slowly; a peer that does nothing for so long is gone.
constexpr Duration kSilentPeer = std::chrono::seconds(10);
// The system must not take megabytes for a client that reads slowly.
constexpr int kReceiveBuffer = 128 * 1024;

// What an upstream that is gone is told to be.
const Location kNowhere{UpstreamState::kGone, {}, 0};
Duration TrustedIdle(Duration limit) {
  return std::max(limit / 2, limit - std::max(limit / kIdleShare, kIdleMargin));
}

}  // namespace

// One connection and what it carries. While it is idle it is only watched: whatever comes then, a close or
// bytes, retires it, and each request starts with nothing read and nothing parsed. It is its own handlers'
// owner; Close() makes those that are under way no-ops.
class Upstreams::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstreams& owner, const std::shared_ptr<Pool>& pool)
      : owner_(owner),
        pool_(pool),
        slot_(std::in_place, owner.descriptors_, Descriptors::Side::kUpstream),
        socket_(owner.io_),
        writer_(socket_),
        timer_(owner.io_) {
    buffer_.max_size(kMostRead);
  }

  // Opens a socket and begins to connect; an error is this machine's own.
  error_code OpenSocket() {
    error_code error;
    socket_.open(pool_.lock()->location.endpoint.protocol(), error);
    if (!error) socket_.set_option(tcp::no_delay(true), error);
    if (!error) socket_.non_blocking(true, error);
    if (error) return error;
    begun_ = BeginConnect(socket_, pool_.lock()->location.endpoint);
    return begun_ && begun_->local ? begun_->error : error_code();
  }

  void Start(ExchangeId id, ExchangeRequest call) {
    LeaveIdle();
    id_ = id;
    call_ = std::move(call);
    whole_ = false;
    wanted_ = true;
    sent_ = Now();
    if (connected_) {
      idle_ = sent_ - idle_since_;
    } else {
      opened_ = sent_;
    }
    gives_up_ = sent_ + call_.timeout;
    begin_by_ = call_.begin_within == Duration::max() ? TimePoint::max() : sent_ + call_.begin_within;
    const bool usable = Usable();
    phase_ = usable ? Phase::kWriting : Phase::kConnecting;
    ++use_;
    framing_.StartExchange();
    if (usable) return BeginRequest();
    if (connected_) return ArmTimer(std::min({gives_up_, usable_from_, begin_by_}));
    ArmTimer(std::min({gives_up_, sent_ + owner_.connect_timeout_, begin_by_}));
    auto connected = [self = shared_from_this()](ConnectResult result) {
      if (self->closed_) return;
      if (result.error) return self->End(result.local ? Cause::kLocal : Cause::kBroken, result.error);
      self->connected_ = true;
      self->idle_since_ = Now();
      self->BeginRequest();
    };
    if (!begun_) return AwaitConnected(socket_, std::move(connected));
    boost::asio::post(owner_.io_,
                      [connected = std::move(connected), result = *begun_] { connected(result); });
  }

  enum class Cause { kBroken, kTimeout, kCancelled, kNotSent, kLocal };

  // The exchange ends without an answer, and its connection with it: late bytes must never reach another
  // request. Whether the last byte was written is asked once no write is under way: a write that the system
  // has taken, but whose handler has not run, counts as written, and unsafe work hangs on that.
  void End(Cause cause, error_code why = {}) {
    if (phase_ == Phase::kIdle || ending_) return;
    why_ = why;
    Close();
    if (write_pending_) {
      ending_ = cause;
      return;
    }
    Finish(cause);
  }

  // An attempt that was to tell something of the upstream goes on behind the answer, but nothing is sent.
  void AbandonUnsent() {
    wanted_ = false;
    if (write_pending_) End(Cause::kCancelled);
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    LeaveIdle();
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    slot_.reset();
    LeaveBody();
    if (!passing_) return;
    passing_->on_capacity = nullptr;
    std::exchange(passing_, nullptr)->AbortByWriter();
  }

  // Did the upstream close it, or say something nobody asked for? Asked before each use: the event may not
  // have been delivered yet.
  bool LooksAlive() { return !closed_ && Peek(socket_.native_handle()).status == IoStatus::kWouldBlock; }

  // One that was not used after all keeps its age, and so its place, which is near the end.
  void EnterIdle() {
    auto at = owner_.idle_.end();
    while (at != owner_.idle_.begin() && (*std::prev(at))->idle_since_ > idle_since_) --at;
    among_idle_ = owner_.idle_.insert(at, this);
  }

  ExchangeId id() const { return id_; }
  std::shared_ptr<Pool> pool() const { return pool_.lock(); }
  bool unsent() const { return phase_ == Phase::kConnecting; }
  TimePoint idle_since() const { return idle_since_; }
  TimePoint usable_from() const { return usable_from_; }
  bool Usable() const { return connected_ && Now() >= usable_from_; }

 private:
  enum class Phase { kIdle, kConnecting, kWriting, kWaiting };

  void LeaveIdle() {
    if (among_idle_) owner_.idle_.erase(*among_idle_);
    among_idle_.reset();
  }

  void ArmTimer(TimePoint at) {
    timer_.expires_at(ToSteady(at));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (error || self->closed_ || self->phase_ == Phase::kIdle) return;
      // Guards against a timer that fired just before it was set anew.
      if (self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      if (std::exchange(self->holds_back_, false)) return self->StopHoldingBack();
      const bool rests = self->connected_ && self->phase_ == Phase::kConnecting;  // until it may be used
      if (rests && self->Usable() && Now() < self->gives_up_) {
        return self->LooksAlive() ? self->BeginRequest() : self->End(Cause::kLocal);
      }
      const bool too_late = self->phase_ == Phase::kConnecting && (rests || Now() >= self->begin_by_);
      self->End(too_late ? Cause::kNotSent : Cause::kTimeout);
    });
  }

  // Its handler may be on its way already: it looks at the time.
  void DisarmTimer() { timer_.expires_at(std::chrono::steady_clock::time_point::max()); }

  // Writes the first byte, unless there is no use in it any more. The process may be held up between any two
  // steps: what takes time comes first, then the clock is read, and the client is looked at last, so that
  // nothing lies between that look and the write.
  void BeginRequest() {
    if (!wanted_) return Spare();
    phase_ = Phase::kWriting;
    ArmTimer(call_.body ? TakenBy() : gives_up_);
    const TimePoint now = Now();
    Compose(now);
    if (now >= begin_by_ || (call_.client_is_waiting && !call_.client_is_waiting())) return Spare();
    write_pending_ = true;
    if (call_.body) {
      WriteHead();
    } else {
      Write();
    }
    Read();
  }

  void Compose(TimePoint now) {
    const HttpRequest& request = *call_.request;
    message_.emplace(request.method(), request.target(), 11);
    message_->base() = request.base();
    message_->version(11);
    // The peer learns how long it will be waited for from now on, which is what is left after connecting.
    const Duration wait = Bounded(call_.body ? call_.timeout : Duration(gives_up_ - now), now);
    const auto left = std::chrono::duration_cast<milliseconds>(wait).count();
    message_->set("X-Timeout-Ms", std::to_string(std::max<std::int64_t>(left, 1)));
    if (!call_.body) {
      message_->body() = {request.body().data(), request.body().size()};
      message_->prepare_payload();
    } else if (call_.body->length()) {
      message_->content_length(call_.body->length());
    } else {
      message_->chunked(true);
    }
    serializer_.emplace(*message_);
  }

  void Write() {
    http::async_write(writer_, *serializer_, [self = shared_from_this()](error_code error, std::size_t) {
      self->write_pending_ = false;
      if (self->ending_) return self->Finish(*self->ending_);
      if (self->closed_) return;
      if (error) return self->End(Cause::kBroken, error);
      self->phase_ = Phase::kWaiting;
    });
  }

  // No more than what is left to the client.
  Duration Bounded(Duration wait, TimePoint now) const {
    return call_.time_left ? std::min(wait, call_.time_left(now)) : wait;
  }

  // Until a piece of a body has to be taken.
  TimePoint TakenBy() const { return Now() + std::min(kSilentPeer, call_.body_stall_timeout); }

  // A request that passes through: its head, then its pieces as they come.
  void WriteHead() {
    call_.body->on_data = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->closed_ && self->call_.body && !self->write_pending_ && !self->whole_)
        self->WritePiece();
    };
    http::async_write_header(
        writer_, *serializer_,
        [self = shared_from_this()](error_code error, std::size_t) { self->PieceWritten(error, false); });
  }

  void WritePiece() {
    if (call_.body->broken()) return;  // whoever took the request calls this off
    outgoing_ = call_.body->Read();
    const bool chunked = !call_.body->length();
    const bool last = call_.body->ended() && (outgoing_.empty() || !chunked);
    if (outgoing_.empty() && !last) return DisarmTimer();
    if (outgoing_.empty() && !chunked) return Written();
    const auto written = [self = shared_from_this(), last](error_code error, std::size_t) {
      self->PieceWritten(error, last);
    };
    write_pending_ = true;
    ArmTimer(TakenBy());
    if (outgoing_.empty()) return boost::asio::async_write(writer_, http::make_chunk_last(), written);
    const auto bytes = boost::asio::buffer(outgoing_);
    if (chunked) return boost::asio::async_write(writer_, http::make_chunk(bytes), written);
    boost::asio::async_write(writer_, bytes, written);
  }

  void PieceWritten(error_code error, bool last) {
    write_pending_ = false;
    whole_ = last && !error;
    if (ending_) return Finish(*ending_);
    if (closed_) return;
    if (error) return End(Cause::kBroken, error);
    if (whole_) return Written();
    WritePiece();
  }

  // Its time counts from here.
  void Written() {
    whole_ = true;
    phase_ = Phase::kWaiting;
    sent_ = Now();
    gives_up_ = sent_ + Bounded(call_.timeout, sent_);
    ArmTimer(gives_up_);
  }

  void LeaveBody() {
    if (call_.body) call_.body->on_data = nullptr;
  }

  void Read() {
    http::async_read_header(socket_, buffer_, framing_.ExpectHead(),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->closed_) self->OnHeader(error);
                            });
  }

  void OnHeader(error_code error) {
    using HeadAction = ResponseFraming::HeadAction;
    using RequestProgress = ResponseFraming::RequestProgress;
    if (error) return End(Cause::kBroken, error);
    const bool early = write_pending_ || (call_.body && !whole_);
    switch (framing_.ExamineHead(early ? RequestProgress::kIncomplete : RequestProgress::kComplete)) {
      case HeadAction::kReadNextHead:
        return Read();
      case HeadAction::kFail:
        return End(Cause::kBroken);
      case HeadAction::kCollectBody:
        break;
      case HeadAction::kHoldBackBody:
        holds_back_ = true;
        ArmTimer(EndOfHoldBack());
        break;
      case HeadAction::kStreamBody:
        Begin();
        break;
    }
    if (!closed_) ReadBody();
  }

  // The answer passes through from here on: what has come of it, and what will.
  void Begin() {
    holds_back_ = false;
    if (!call_.on_response_started) return End(Cause::kBroken, http::error::body_limit);
    passing_ = std::make_shared<BodyStream>(owner_.io_, owner_.pipe_, framing_.content_length());
    passing_->on_capacity = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->closed_ || !self->passing_) return;
      if (self->passing_->left()) return self->End(Cause::kCancelled);
      if (std::exchange(self->paused_, false)) self->ReadBody();
    };
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
    if (!held_.empty()) passing_->Write(held_.data(), held_.size());
    held_ = {};
    ArmTimer(Now() + kSilentPeer);
    HttpResponse head;
    head.base() = framing_.head();
    call_.on_response_started(std::move(head), passing_);
  }

  TimePoint EndOfHoldBack() const {
    const TimePoint now = Now();
    return std::min(gives_up_, now + std::max<Duration>((gives_up_ - now) / kHoldBackPart, milliseconds(1)));
  }

  // The rest may take its time. A read is under way.
  void StopHoldingBack() {
    if (!held_.empty()) return Begin();
    holds_back_ = Now() < gives_up_;
    if (!holds_back_) return End(Cause::kTimeout);
    ArmTimer(EndOfHoldBack());
  }

  void ReadBody() {
    if (framing_.IsComplete()) return OnWhole();
    if (passing_ && !passing_->HasCapacity()) {
      paused_ = true;
      return DisarmTimer();
    }
    if (passing_) ArmTimer(Now() + kSilentPeer);
    piece_.resize(kPiece);
    framing_.SetBodyBuffer(piece_.data(), piece_.size());
    http::async_read_some(socket_, buffer_, framing_.parser(),
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (!self->closed_) self->OnPiece(error);
                          });
  }

  void OnPiece(error_code error) {
    const std::size_t size = piece_.size() - framing_.body_buffer_left();
    if (error && error != http::error::need_buffer) return End(Cause::kBroken, error);
    if (passing_) {
      passing_->Write(piece_.data(), size);
    } else {
      held_.append(piece_, 0, size);
      const bool served = framing_.IsServed();
      if (held_.size() > kMostBody && !served) return End(Cause::kBroken, http::error::body_limit);
      if (held_.size() > kMostBody) Begin();
    }
    if (!closed_) ReadBody();
  }

  void OnWhole() {
    const bool connection_stays = framing_.KeepsConnection();
    HttpResponse response = framing_.TakeHead();
    response.body() = std::move(held_);
    ExchangeResult result = Result(ClassifyResponse(response));
    result.load = ParseLoadReport(response["X-Server-Load"]);
    // An answer before the request was written out leaves the connection between messages.
    const bool keep = connection_stays && !write_pending_ && (!call_.body || whole_) && buffer_.size() == 0;
    result.response = std::move(response);
    timer_.cancel();
    holds_back_ = false;
    if (passing_) {
      passing_->on_capacity = nullptr;
      std::exchange(passing_, nullptr)->Finish();
    }
    LeaveBody();
    phase_ = Phase::kIdle;
    const auto on_finished = std::exchange(call_.on_finished, nullptr);
    const auto self = shared_from_this();
    owner_.exchanges_.erase(id_);
    if (keep) {
      const TimePoint now = Now();
      Rest(now, now + kSecondAnswer);
    } else {
      Close();
    }
    on_finished(std::move(result));
  }

  // It is up, and there is nothing to send on it.
  void Spare() {
    timer_.cancel();
    LeaveBody();
    phase_ = Phase::kIdle;
    const auto on_finished = std::exchange(call_.on_finished, nullptr);
    owner_.exchanges_.erase(id_);
    const ExchangeResult result = Result(Outcome::kNotSent);
    // The upstream counts its rest from its last answer, whatever was meant to be sent since.
    Rest(idle_since_, idle_since_);
    on_finished(result);
  }

  void Rest(TimePoint since, TimePoint usable_from) {
    idle_since_ = since;
    usable_from_ = usable_from;
    Clear();
    Watch();
    owner_.Release(shared_from_this());
  }

  // An idle connection keeps nothing of its last exchange.
  void Clear() {
    call_ = {};
    held_ = {};
    piece_ = {};
    outgoing_ = {};
    serializer_.reset();
    message_.reset();
    framing_.Clear();
    buffer_.clear();
    buffer_.shrink_to_fit();
  }

  void Watch() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), use = use_](error_code error) {
      if (error || self->closed_ || self->use_ != use) return;
      self->owner_.Forget(*self);
      self->Close();
    });
  }

  void Finish(Cause cause) {
    const bool written = call_.body ? whole_ : serializer_ && serializer_->is_done();
    Outcome outcome = Outcome::kNotSent;
    if (cause == Cause::kBroken) outcome = written ? Outcome::kReset : Outcome::kConnectFailed;
    if (cause == Cause::kTimeout) outcome = written ? Outcome::kTimeout : Outcome::kConnectFailed;
    if (cause == Cause::kCancelled) outcome = Outcome::kCancelled;
    if (cause == Cause::kLocal) outcome = Outcome::kLocalFailure;
    phase_ = Phase::kIdle;
    const auto on_finished = std::exchange(call_.on_finished, nullptr);
    const auto self = shared_from_this();
    owner_.exchanges_.erase(id_);
    on_finished(Result(outcome));
  }

  ExchangeResult Result(Outcome outcome) const {
    return {outcome, Now() - sent_, {}, {}, why_, use_, sent_ - opened_, idle_};
  }

  Upstreams& owner_;
  std::weak_ptr<Pool> pool_;
  std::optional<Descriptors::Slot> slot_;
  tcp::socket socket_;
  WriteStream writer_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  ResponseFraming framing_;
  std::optional<http::request<http::span_body<const char>>> message_;
  std::optional<http::request_serializer<http::span_body<const char>>> serializer_;
  Phase phase_ = Phase::kIdle;
  bool connected_ = false;
  std::optional<ConnectResult> begun_;  // what connect() itself said
  bool closed_ = false;
  bool write_pending_ = false;
  std::optional<Cause> ending_;
  std::uint64_t use_ = 0;  // counts the exchanges: a watch that one outran is void
  ExchangeId id_{};
  ExchangeRequest call_;
  bool wanted_ = true;    // by the request
  bool whole_ = false;    // the last byte of a request that passes through is written
  std::string outgoing_;  // a piece of it
  std::string piece_;     // of the answer
  std::string held_;      // the answer, while it does not pass through
  bool holds_back_ = false;
  Body passing_;         // the answer, where it does
  bool paused_ = false;  // no room in it
  TimePoint sent_;
  TimePoint gives_up_;
  TimePoint begin_by_;
  TimePoint idle_since_;
  TimePoint usable_from_;
  error_code why_;
  TimePoint opened_;
  Duration idle_{};                                             // before this exchange
  std::optional<std::list<Connection*>::iterator> among_idle_;  // while it is idle in its pool
};

Upstreams::Upstreams(boost::asio::io_context& io, const lb::Limits& limits, bool load_by_probe,
                     std::size_t pipe, Descriptors& descriptors)
    : io_(io),
      connect_timeout_(limits.connect_timeout),
      trusted_idle_(TrustedIdle(limits.idle_close)),
      probe_target_(load_by_probe ? "/metrics/load" : "/alive"),
      pipe_(pipe),
      descriptors_(descriptors),
      sweep_(io) {
  ScheduleSweep();
}

Upstreams::~Upstreams() {
  for (const auto& [id, connection] : exchanges_) connection->Close();
  for (const auto& [uid, pool] : pools_) {
    for (const auto& connection : pool->idle) connection->Close();
  }
}

void Upstreams::Update(const std::string& uid, const Location& location) {
  Apply(pools_.try_emplace(uid).first, location);
}

// Both are sorted by their ids.
void Upstreams::ReplaceAll(const std::map<std::string, Location>& locations) {
  auto pool = pools_.begin();
  for (const auto& [uid, location] : locations) {
    while (pool != pools_.end() && pool->first < uid) pool = Apply(pool, kNowhere);
    if (pool == pools_.end() || pool->first != uid) pool = pools_.try_emplace(pool, uid);
    pool = Apply(pool, location);
  }
  while (pool != pools_.end()) pool = Apply(pool, kNowhere);
}

Upstreams::Pools::iterator Upstreams::Apply(Pools::iterator at, const Location& location) {
  const std::string& uid = at->first;
  auto& pool = at->second;
  const auto next = std::next(at);
  if (!pool) pool = std::make_shared<Pool>(Pool{uid, {}, {}});
  const Location before = std::exchange(pool->location, location);
  const bool moved = before.endpoint != location.endpoint || before.boot_ms != location.boot_ms;
  if (location.state == UpstreamState::kServing && !moved) return next;
  // Guards a drain against what was asked for before it was told: nothing queued or connecting goes there.
  const auto old = pool;
  if (moved) {
    // What is still out there belongs to the former process or place and is not pooled again.
    pool = std::make_shared<Pool>(Pool{uid, location, {}});
    old->location.state = UpstreamState::kGone;
  }
  if (location.state == UpstreamState::kGone) pools_.erase(at);
  Empty(old);
  return next;
}

void Upstreams::SetDisabled(const std::string& uid, bool out) {
  if (!out) out_.erase(uid);
  if (!out || !out_.insert(uid).second) return;
  if (const auto it = pools_.find(uid); it != pools_.end()) Empty(it->second);
}

bool Upstreams::MayOpen(const Pool& pool) const {
  return pool.location.state == UpstreamState::kServing && !out_.contains(pool.uid);
}

void Upstreams::Empty(const std::shared_ptr<Pool>& pool) {
  for (const auto& connection : std::exchange(pool->idle, {})) connection->Close();
  AbortUnsent(pool);
}

void Upstreams::AbortUnsent(const std::shared_ptr<Pool>& pool) {
  std::vector<std::shared_ptr<Connection>> unsent;
  for (const auto& [id, connection] : exchanges_) {
    if (connection->unsent() && connection->pool() == pool) unsent.push_back(connection);
  }
  for (const auto& connection : unsent) connection->End(Connection::Cause::kNotSent);
}

void Upstreams::StartExchange(ExchangeId id, const std::string& uid, ExchangeRequest call) {
  const auto it = pools_.find(uid);
  Opened opened;
  if (it != pools_.end() && MayOpen(*it->second)) {
    opened.connection = TakeIdle(*it->second, call.max_connection_idle);
    if (!opened.connection) opened = Open(it->second);
    if (opened.error) opened.connection = TakeSoonUsable(*it->second);
  }
  if (!opened.connection) {
    const auto outcome = opened.error ? Outcome::kLocalFailure : Outcome::kNotSent;
    return call.on_finished({outcome, {}, {}, {}, opened.error});
  }
  exchanges_.emplace(id, opened.connection);
  opened.connection->Start(id, std::move(call));
}

void Upstreams::SendLoadProbe(ExchangeId id, const std::string& uid, Duration max_connection_idle,
                              OnFinished on_finished) {
  const auto request = std::make_shared<HttpRequest>(http::verb::get, probe_target_, 11);
  request->set(http::field::host, uid);
  auto ended = [by_body = probe_target_ != "/alive",
                on_finished = std::move(on_finished)](ExchangeResult result) {
    if (by_body && result.outcome == Outcome::kServed) result.load = ParseLoadReport(result.response.body());
    on_finished(std::move(result));
  };
  ExchangeRequest probe;
  probe.request = request;
  probe.timeout = connect_timeout_;
  probe.max_connection_idle = max_connection_idle;
  probe.on_finished = std::move(ended);
  StartExchange(id, uid, std::move(probe));
}

void Upstreams::Cancel(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const auto connection = it->second;
  connection->End(Connection::Cause::kCancelled);
}

void Upstreams::AbandonUnsent(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const auto connection = it->second;
  connection->AbandonUnsent();
}

void Upstreams::CloseIdleConnections(const std::string& uid) {
  const auto it = pools_.find(uid);
  if (it == pools_.end()) return;
  for (const auto& connection : std::exchange(it->second->idle, {})) connection->Close();
}

void Upstreams::EnforceCapacity() {
  while (!descriptors_.Room(Descriptors::Side::kUpstream) && EvictIdle()) {
  }
}

bool Upstreams::EvictIdle() {
  if (idle_.empty()) return false;
  const auto longest = idle_.front()->shared_from_this();
  Forget(*longest);
  longest->Close();
  return true;
}

std::shared_ptr<Upstreams::Connection> Upstreams::TakeIdle(Pool& pool, Duration max_connection_idle) {
  const Duration trusted = std::min(trusted_idle_, max_connection_idle);
  const TimePoint now = Now();
  for (std::size_t i = pool.idle.size(); i-- > 0;) {
    if (now < pool.idle[i]->usable_from()) continue;
    const auto connection = std::move(pool.idle[i]);
    pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->LooksAlive() && now - connection->idle_since() < trusted) return connection;
    connection->Close();
  }
  return nullptr;
}

// One that rests between two exchanges, where none can be opened: its exchange waits for it, kSecondAnswer at
// most.
std::shared_ptr<Upstreams::Connection> Upstreams::TakeSoonUsable(Pool& pool) {
  const auto resting = [](const auto& connection) {
    return !connection->Usable() && connection->LooksAlive();
  };
  const auto it = std::ranges::find_if(pool.idle, resting);
  if (it == pool.idle.end()) return nullptr;
  const auto connection = *it;
  pool.idle.erase(it);
  return connection;
}

// Idle connections make room by the deployment's limit; where there is none, the attempt is not sent. That is
// no failure of the upstream and proves that nothing ran. Where the system refuses a socket, only a shortage
// of this very process is helped by closing an idle one, and by one: else they are what requests can still be
// sent on.
Upstreams::Opened Upstreams::Open(const std::shared_ptr<Pool>& pool) {
  while (!descriptors_.Room(Descriptors::Side::kUpstream)) {
    if (!EvictIdle()) return {};
  }
  Opened opened = TryOpen(pool);
  if (opened.error != boost::asio::error::no_descriptors || Now() < evicts_again_ || !EvictIdle()) {
    return opened;
  }
  opened = TryOpen(pool);
  if (opened.error) evicts_again_ = Now() + kVainEviction;
  return opened;
}

Upstreams::Opened Upstreams::TryOpen(const std::shared_ptr<Pool>& pool) {
  auto connection = std::make_shared<Connection>(*this, pool);
  const error_code error = connection->OpenSocket();
  if (!error) return {std::move(connection)};
  connection->Close();
  return {nullptr, error};
}

void Upstreams::Release(const std::shared_ptr<Connection>& connection) {
  const auto pool = connection->pool();
  if (!pool || !MayOpen(*pool)) return connection->Close();
  // The one that has been idle longest is first.
  const auto longer = [](TimePoint since, const auto& other) { return since < other->idle_since(); };
  const auto at = std::upper_bound(pool->idle.begin(), pool->idle.end(), connection->idle_since(), longer);
  pool->idle.insert(at, connection);
  connection->EnterIdle();
}

void Upstreams::Forget(const Connection& connection) {
  if (const auto pool = connection.pool()) {
    std::erase_if(pool->idle, [&](const auto& other) { return other.get() == &connection; });
  }
}

void Upstreams::ScheduleSweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

// Retires what has been idle nearly as long as the upstream allows: a request written to a connection that is
// being closed over there ends as a reset, and an unsafe one could not be sent again.
void Upstreams::Sweep() {
  const TimePoint now = Now();
  while (!idle_.empty() && now - idle_.front()->idle_since() >= trusted_idle_) EvictIdle();
}

}  // namespace lb::sidecar
