#include "tests/sidecar_steps.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <thread>

#include "sidecar/upstreams.h"

namespace lb::sidecar::testing {

unsigned NonIdempotentStatus(const std::string& address, int timeout_ms, std::size_t body) {
  SidecarProcess sidecar(With(List({Target("u1", address)})));
  if (!sidecar.Listening()) return 0;
  Client client(sidecar.port());
  const auto response = client.Post("/submit/k", "a1", std::string(body, 'x'), timeout_ms);
  return response ? response->result_int() : 0;
}

bool RaiseDescriptorLimit() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) return false;
  files.rlim_cur = files.rlim_max;
  return ::setrlimit(RLIMIT_NOFILE, &files) == 0;
}

void WaitForConnectionReuse() { std::this_thread::sleep_for(kReuseDelay); }

std::size_t BytesAcceptedUnread() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::v4());
  SetSmallBuffers(acceptor);
  acceptor.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
  acceptor.listen();
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  socket.non_blocking(true);
  boost::system::error_code error;
  const std::string bytes(65536, 'x');
  std::size_t accepted = 0;
  while (!error && accepted < bytes.size()) accepted += socket.write_some(boost::asio::buffer(bytes), error);
  return accepted;
}

int CountAnsweredInARow(Client& client, int requests, const std::string& id_prefix) {
  constexpr int kPipelined = 128;
  int answered = 0;
  for (int sent = 0; sent < requests; sent += kPipelined) {
    const int end = std::min(sent + kPipelined, requests);
    std::string text;
    for (int i = sent; i < end; ++i) text += GetText("/page/k", id_prefix + std::to_string(i));
    client.Send(text);
    for (int i = sent; i < end; ++i) {
      if (client.Read()) ++answered;
    }
  }
  return answered;
}

bool ReceivesFirstBytes(Client& client) {
  return Eventually([&] { return client.wire.socket.available() > 0; });
}

std::optional<Response> ReadFinalResponse(Client& client) {
  auto response = client.Read();
  while (response && response->result_int() == 102U) response = client.Read();
  return response;
}

bool BecomesServedBy(SidecarProcess& sidecar, const std::string& body) {
  static int number = 0;
  return Eventually([&] {
    Client client(sidecar.port());
    const auto response = client.Get("/page/k", "w" + std::to_string(number++));
    return response && response->body() == body;
  });
}

}  // namespace lb::sidecar::testing
