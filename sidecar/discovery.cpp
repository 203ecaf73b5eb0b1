#include "sidecar/discovery.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "sidecar/http.h"

namespace lb::sidecar {
namespace {

using boost::system::error_code;
using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;
using nlohmann::json;
using std::chrono::milliseconds;

// Of the grace for drains: so much passes at most before a call that an agent does not answer is given up,
// and as much in the pause that follows. What is asked of it while it is down is not answered at its return
// either, and from its return on what it holds counts as told. Half of the grace is left for a new
// connection, for the list and for acting on it.
constexpr int kSilencePart = 4;
constexpr auto kLeastSilence = milliseconds(10);
// The next watch follows an answer well within the 200 ms after which it would be a new one; not sooner than
// this after the last was sent, so that an agent that answers at once is not asked in a spin.
constexpr auto kLeastGap = milliseconds(50);
constexpr int kPauseSteps = 3;  // doublings up to the longest pause
constexpr std::uint64_t kMostList = 4 * 1024 * 1024;
// Beyond these (the year 2286; a million times the usual machine) a list is damaged.
constexpr std::int64_t kMostBootMs = 9'999'999'999'999;
constexpr double kMostWeight = 1e6;
constexpr double kMostWhole = 9.2e18;

// What no honest number comes near would be cut to another one.
std::int64_t Whole(const json& number, const char* name) {
  if (!(std::abs(number.get<double>()) < kMostWhole)) throw std::runtime_error(std::string("bad ") + name);
  return number.get<std::int64_t>();
}

UpstreamState ParseState(const std::string& word) {
  if (word == "active") return UpstreamState::kServing;
  if (word == "leaving") return UpstreamState::kDraining;
  if (word == "left") return UpstreamState::kGone;
  throw std::runtime_error("unknown state " + word);
}

}  // namespace

MembershipList ParseList(const json& body, const UnixClock& clock) {
  MembershipList list;
  const std::int64_t revision = Whole(body.at("rev"), "rev");
  if (revision < 0) throw std::runtime_error("bad rev");
  list.revision = static_cast<std::uint64_t>(revision);
  list.update.kind =
      body.at("all").get<bool>() ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kChanges;
  const json& targets = body.at("targets");
  if (!targets.is_array()) throw std::runtime_error("targets is no array");
  for (const json& target : targets) {
    UpstreamInfo info;
    info.id.value = target.at("uid").get<std::string>();
    if (info.id.value.empty()) throw std::runtime_error("empty uid");
    info.state = ParseState(target.at("state").get<std::string>());
    info.zone = target.value("az", "");
    info.kind = target.value("model", "");
    info.cell = Whole(target.value("pod_group", json(0)), "pod_group");
    info.weight = target.value("capacity_hint", 1.0);
    Location location;
    location.state = info.state;
    location.boot_ms = Whole(target.value("boot_ms", json(0)), "boot_ms");
    if (location.boot_ms < 0 || location.boot_ms > kMostBootMs) throw std::runtime_error("bad boot_ms");
    if (!(info.weight >= 0 && info.weight <= kMostWeight)) throw std::runtime_error("bad capacity_hint");
    if (location.boot_ms > 0) info.started = clock.FromMilliseconds(location.boot_ms);
    const auto text = target.value("endpoint", "");
    if (const auto endpoint = ParseEndpoint(text)) {
      location.endpoint = *endpoint;
    } else if (info.state != UpstreamState::kGone) {
      throw std::runtime_error("bad endpoint '" + text + "' of " + info.id.value);
    }
    if (!list.locations.emplace(info.id.value, location).second) {
      throw std::runtime_error("two lines for " + info.id.value);
    }
    list.update.upstreams.push_back(std::move(info));
  }
  return list;
}

Duration PauseAfter(int failures, Duration most, double chance) {
  const Duration longest = most / (1 << std::clamp(kPauseSteps + 1 - failures, 0, kPauseSteps));
  return longest / 2 + std::chrono::duration_cast<Duration>(longest / 2 * chance);
}

Duration SilencePatience(Duration drain_grace) {
  return std::clamp<Duration>(drain_grace / kSilencePart, kLeastSilence, kMostSilence);
}

// One connection to discovery and the call on it. A new one is made after any failure.
class Discovery::Call : public std::enable_shared_from_this<Call> {
 public:
  explicit Call(Discovery& owner) : owner_(&owner), stream_(owner.io_) {}

  void Start(const std::string& target, Duration patience) {
    request_ = {http::verb::get, target, 11};
    request_.set(http::field::host, "discovery");
    parser_.reset();
    stream_.expires_after(patience);
    if (connected_) return Write();
    stream_.async_connect(owner_->endpoint_, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->owner_->Failed(*self, error.message());
      self->connected_ = true;
      self->Write();
    });
  }

  bool reusable() const { return connected_; }

  // How much of the answer has come, in no unit: it grows as long as there is more.
  std::size_t progress() {
    error_code ignored;
    const std::size_t unread = connected_ ? stream_.socket().available(ignored) : 0;
    return unread + buffer_.size() + (parser_ && parser_->got_some() ? 1 + parser_->get().body().size() : 0);
  }

  // Its owner wants no more of it.
  void Drop() {
    owner_ = nullptr;
    stream_.close();
  }

 private:
  void Write() {
    http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->owner_->Failed(*self, error.message());
      self->Read();
    });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMostList);
    // The header on its own first, or the bound on the body does not hold (see upstreams.cpp).
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->owner_->Failed(*self, error.message());
                              self->ReadBody();
                            });
  }

  void ReadBody() {
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->owner_->Failed(*self, error.message());
      const auto response = self->parser_->release();
      if (!response.keep_alive()) self->connected_ = false;
      self->stream_.expires_never();
      if (response.result() != http::status::ok) {
        return self->owner_->Failed(*self, "status " + std::to_string(response.result_int()), true);
      }
      self->owner_->Answered(*self, response.body());
    });
  }

  Discovery* owner_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connected_ = false;
};

Discovery::Discovery(boost::asio::io_context& io, Endpoint endpoint, bool on_request, Duration drain_grace,
                     const UnixClock& clock, Logger& log, std::uint64_t seed, OnList on_list,
                     OnFailed on_failed)
    : io_(io),
      endpoint_(std::move(endpoint)),
      on_request_(on_request),
      silence_(SilencePatience(drain_grace)),
      clock_(clock),
      log_(log),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      pause_(io),
      silent_(io),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

Discovery::~Discovery() {
  Drop(call_);
  Drop(late_);
}

void Discovery::Drop(std::shared_ptr<Call>& call) {
  if (call) std::exchange(call, nullptr)->Drop();
}

// One service for all works through the calls in turn, and a whole list costs it work for each line: a fleet
// that starts together asks for no more than what is newer than the list each has.
void Discovery::Ask(std::optional<std::uint64_t> known) {
  if (running_) return;
  running_ = true;
  if (on_request_ && known) revision_ = known;
  Start();
}

void Discovery::MoveTo(Endpoint endpoint) {
  Drop(call_);
  Drop(late_);
  pause_.cancel();
  endpoint_ = std::move(endpoint);
  revision_.reset();  // versions are of the one that counted them
  failures_ = 0;
  running_ = true;
  Start();
}

void Discovery::StartIn(Duration wait) {
  pause_.expires_after(wait);
  pause_.async_wait([this, turn = ++turn_](error_code error) {
    if (!error && turn == turn_) Start();
  });
}

void Discovery::Start() {
  ++turn_;
  asked_ = Now();
  if (call_ && !call_->reusable()) Drop(call_);
  if (!call_) call_ = std::make_shared<Call>(*this);
  std::string target = "/discovery/hosts";
  Duration wait{};
  Duration patience = on_request_ ? kServiceCall : kAgentPatience;
  if (revision_) {
    wait = on_request_ ? kServiceWatch : kAgentWatch;
    if (on_request_) patience = kServiceWatchPatience;
    const auto wait_ms = std::chrono::duration_cast<milliseconds>(wait).count();
    target += "?index=" + std::to_string(*revision_) + "&wait=" + std::to_string(wait_ms);
  }
  call_->Start(target, wait + patience);
  if (!on_request_) Listen(wait + silence_, 0);
}

// An agent that stays silent for too long is asked on another connection. One that is merely slow is followed
// all the same: what it says to the first call after all counts, too.
void Discovery::Listen(Duration wait, std::size_t heard) {
  silent_.expires_after(wait);
  silent_.async_wait([this, heard, turn = turn_](error_code error) {
    if (error || turn != turn_ || !call_) return;
    const std::size_t progress = call_->progress();
    if (progress > heard) return Listen(silence_, progress);
    if (late_) {
      Drop(call_);
    } else {
      late_ = std::exchange(call_, nullptr);
    }
    AskAgain("no answer", false);
  });
}

void Discovery::Answered(Call& call, const std::string& body) {
  MembershipList list;
  try {
    list = ParseList(json::parse(body), clock_);
  } catch (const std::exception& e) {
    return Failed(call, std::string("malformed list: ") + e.what());
  }
  // Another service than the one that counted so far, or an answer gone astray: the whole list will tell.
  if (revision_ && list.revision < *revision_) {
    return Failed(call, "an older version than the one held");
  }
  if (&call == late_.get()) std::swap(call_, late_);
  Drop(late_);
  if (failures_ > 0) log_.Line("discovery answers again");
  failures_ = 0;
  failure_.clear();
  revision_ = list.revision;
  StartIn(std::max(Duration::zero(), Duration(asked_ + kLeastGap - Now())));
  on_list_(std::move(list));
}

void Discovery::Failed(const Call& call, const std::string& why, bool answered) {
  if (&call == late_.get()) return Drop(late_);
  Drop(call_);
  AskAgain(why, answered);
}

// The old list stands. What changed in between may be missed by a watch (an agent that started anew counts
// from elsewhere): the next call asks for the whole list. A service that says it has no time for the call is
// the same as before, and a whole list would take it still more.
void Discovery::AskAgain(const std::string& why, bool answered) {
  const bool watched = revision_.has_value();
  if (!(on_request_ && answered)) revision_.reset();
  ++failures_;
  if (std::exchange(failure_, why) != why) log_.Line("discovery: " + why);
  const double chance = std::generate_canonical<double, 32>(random_);
  if (!on_request_) return StartIn(PauseAfter(failures_, silence_, chance));
  // A watch that broke says nothing of the service, and there is little time to hear what it missed. Those of
  // a fleet can fall silent together: they ask anew spread over the pause.
  if (watched && !answered) {
    return StartIn(std::chrono::duration_cast<Duration>(kServicePause * chance));
  }
  running_ = false;
  on_failed_();
}

}  // namespace lb::sidecar
