#include "lab/real/stalled_clients.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <stdexcept>
#include <utility>

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

std::string PartialRequest(const std::string& class_name, StallPoint point) {
  const std::string line = "POST /" + class_name + "/stalled HTTP/1.1\r\n";
  const std::string headers = "Host: api.internal\r\nX-Request-ID: stalled\r\nX-Timeout-Ms: 500\r\n";
  switch (point) {
    case StallPoint::kRequestLine:
      return line.substr(0, line.size() / 2);
    case StallPoint::kHeaders:
      return line + headers.substr(0, headers.size() - 2);
    case StallPoint::kBody:
      return line + headers + "Content-Length: 20\r\n\r\nhalf a body";
  }
  throw std::invalid_argument("unknown stall point");
}

}  // namespace

StalledClientCounters& StalledClientCounters::operator+=(const StalledClientCounters& other) {
  begun += other.begun;
  in_time += other.in_time;
  unanswered += other.unanswered;
  return *this;
}

struct StalledClients::State {
  std::set<std::shared_ptr<Client>> open;
  StalledClientCounters counters;
};

class StalledClients::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(boost::asio::io_context& io, Scheduler& scheduler, std::weak_ptr<State> state, std::string text)
      : socket_(io), scheduler_(scheduler), state_(std::move(state)), text_(std::move(text)) {}

  void Start(const tcp::endpoint& sidecar) {
    socket_.async_connect(sidecar, [self = shared_from_this()](error_code error) {
      if (error) return self->Remove();
      self->StartTimeout();
      boost::asio::async_write(self->socket_, boost::asio::buffer(self->text_),
                               [self](error_code write_error, std::size_t) {
                                 if (const auto state = self->state_.lock()) ++state->counters.begun;
                                 if (write_error) return self->End(true);
                                 self->AwaitEnd();
                               });
    });
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void StartTimeout() {
    scheduler_.After(kStalledClientLimit, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->End(false);
    });
  }

  // Ends the client on the first bytes of a response or on the end of the connection.
  void AwaitEnd() {
    socket_.async_read_some(boost::asio::buffer(answer_),
                            [self = shared_from_this()](error_code, std::size_t) { self->End(true); });
  }

  void End(bool in_time) {
    if (std::exchange(ended_, true)) return;
    if (const auto state = state_.lock()) {
      ++(in_time ? state->counters.in_time : state->counters.unanswered);
    }
    Remove();
  }

  void Remove() {
    ended_ = true;
    Close();
    if (const auto state = state_.lock()) state->open.erase(shared_from_this());
  }

  tcp::socket socket_;
  Scheduler& scheduler_;
  const std::weak_ptr<State> state_;
  const std::string text_;
  std::array<char, 64> answer_{};
  bool ended_ = false;
};

StalledClients::StalledClients(boost::asio::io_context& io, Scheduler& scheduler)
    : io_(io), scheduler_(scheduler), state_(std::make_shared<State>()) {}

StalledClients::~StalledClients() {
  const auto open = std::exchange(state_, nullptr)->open;
  for (const auto& client : open) client->Close();
}

void StalledClients::Begin(const tcp::endpoint& sidecar, const std::string& class_name, StallPoint point) {
  const auto client = std::make_shared<Client>(io_, scheduler_, state_, PartialRequest(class_name, point));
  state_->open.insert(client);
  client->Start(sidecar);
}

StalledClientCounters StalledClients::Take() { return std::exchange(state_->counters, {}); }

std::size_t StalledClients::open() const { return state_->open.size(); }

}  // namespace lb::lab
