#include "lab/real/client_connections.h"

#include <utility>

namespace lb::lab {

ClientConnections::ClientConnections(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint sidecar)
    : io_(io), sidecar_(std::move(sidecar)), liveness_(std::make_shared<ClientConnections*>(this)) {}

ClientConnections::~ClientConnections() { CloseAll(); }

ClientConnections::ConnectionPointer ClientConnections::Take() {
  while (!idle_.empty()) {
    ConnectionPointer connection = idle_.back();
    idle_.pop_back();
    if (connection->IsUsable()) return connection;
    Discard(connection);
  }
  return is_connecting_ ? Open() : nullptr;
}

ClientConnections::ConnectionPointer ClientConnections::Open() {
  // The callback refers to its connection, which is created after the callback: `opened` is filled in later.
  const auto opened = std::make_shared<std::weak_ptr<HttpClientConnection>>();
  const auto on_idle_end = [weak = std::weak_ptr(liveness_), opened] {
    if (const auto self = weak.lock()) (*self)->Discard(opened->lock());
  };
  auto connection = std::make_shared<HttpClientConnection>(io_, sidecar_, on_idle_end);
  *opened = connection;
  open_.insert(connection);
  return connection;
}

void ClientConnections::Return(const ConnectionPointer& connection) {
  if (!connection->IsUsable()) return Discard(connection);
  idle_.push_back(connection);
}

void ClientConnections::Discard(const ConnectionPointer& connection) {
  if (!connection) return;
  connection->Close();
  open_.erase(connection);
  std::erase(idle_, connection);
}

void ClientConnections::CloseAll() {
  for (const auto& connection : open_) connection->Close();
  open_.clear();
  idle_.clear();
}

}  // namespace lb::lab
