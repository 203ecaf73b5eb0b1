// lb-sidecar: the sidecar's process. Start, signals and exit code.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>

#include "settings/config.h"
#include "sidecar/log.h"
#include "sidecar/log_events.h"
#include "sidecar/sidecar.h"

namespace {

namespace log_events = lb::sidecar::log_events;
using lb::sidecar::LogEvent;

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
      sidecar.log().Write(LogEvent(log_events::kConfigurationRejected).With("error", e.what()));
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

std::string ToString(const lb::Endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

void LogAddresses(lb::sidecar::Sidecar& sidecar) {
  sidecar.log().Write(LogEvent(log_events::kListening).With("address", ToString(sidecar.local())));
  if (const auto admin = sidecar.admin()) {
    sidecar.log().Write(LogEvent(log_events::kAdminListening).With("address", ToString(*admin)));
  }
}

// An exception ends the step of one connection that threw it, and not the others.
void RunUntilStopped(boost::asio::io_context& io, lb::sidecar::Logger& log) {
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& e) {
      log.Write(LogEvent(log_events::kUnexpectedException).With("error", e.what()));
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
  LogAddresses(sidecar);
  ShutDownOnSignal(stop, sidecar, io);
  RunUntilStopped(io, sidecar.log());
}

// Ahead of any sidecar's name: the configuration that has the name may be what is at fault.
void LogStartFailure(const std::string& error) {
  lb::sidecar::Logger("lb-sidecar").Write(LogEvent(log_events::kStartFailed).With("error", error));
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
    LogStartFailure(std::string("LB_LISTEN ") + std::getenv("LB_LISTEN") + ": " + e.what());
  } catch (const std::exception& e) {
    LogStartFailure(e.what());
  }
  return 1;
}
