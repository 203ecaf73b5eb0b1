// lb-sidecar: the sidecar's process. Start, signals and exit code.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "settings/config.h"
#include "sidecar/sidecar.h"

namespace {

lb::Config LoadConfig() {
  return lb::LoadConfig([](const char* name) { return std::getenv(name); });
}

// SIGHUP: a configuration with an error is logged, and the old one stays.
void ReloadOnSignal(boost::asio::signal_set& signals, lb::sidecar::Sidecar& sidecar) {
  signals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    ReloadOnSignal(signals, sidecar);
    try {
      sidecar.Reconfigure(LoadConfig());
    } catch (const lb::ConfigError& e) {
      sidecar.log().Line(std::string("configuration not taken: ") + e.what());
    }
  });
}

// SIGTERM, SIGINT: graceful shutdown, at whose end the event loop stops.
void ShutDownOnSignal(boost::asio::signal_set& signals, lb::sidecar::Sidecar& sidecar,
                      boost::asio::io_context& io) {
  signals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
    if (!error) sidecar.ShutDown([&io] { io.stop(); });
  });
}

void PrintAddresses(const std::string& name, const lb::sidecar::Sidecar& sidecar) {
  std::cerr << name << ": listening on " << sidecar.local() << std::endl;
  if (const auto admin = sidecar.admin()) std::cerr << name << ": operators at " << *admin << std::endl;
}

// An exception ends the step of one connection that threw it, and not the others.
void RunUntilStopped(boost::asio::io_context& io, const std::string& name) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& e) {
      std::cerr << name << ": " << e.what() << std::endl;
    }
  }
}

void RunSidecar() {
  boost::asio::io_context io(1);
  // Ahead of all that a signal could cut short: one that comes during the start waits until the start is
  // over.
  boost::asio::signal_set reload(io, SIGHUP);
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  const lb::Config config = LoadConfig();
  lb::sidecar::Sidecar sidecar(io, config);
  ReloadOnSignal(reload, sidecar);
  PrintAddresses(config.name, sidecar);
  ShutDownOnSignal(stop, sidecar, io);
  RunUntilStopped(io, config.name);
}

}  // namespace

int main() {
  // A write to a connection that its peer has closed is an error of that write.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    RunSidecar();
    return 0;
  } catch (const boost::system::system_error& e) {
    // Binding LB_LISTEN is what fails so: the admin interface's address has an error of its own.
    std::cerr << "lb-sidecar: LB_LISTEN " << std::getenv("LB_LISTEN") << ": " << e.what() << std::endl;
  } catch (const std::exception& e) {
    std::cerr << "lb-sidecar: " << e.what() << std::endl;
  }
  return 1;
}
