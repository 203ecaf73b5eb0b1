// The main program of lb-sidecar: start-up, signal handling and exit code.
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

// Reloads the configuration on SIGHUP. If it is invalid, the error is logged and the previous one stays in
// effect.
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

// Starts a graceful shutdown on SIGTERM or SIGINT; the event loop stops when the shutdown is complete.
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

// Runs the event loop. An exception ends only the event handler that threw it; the loop then continues with
// the other connections' handlers.
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
  // Registered before anything else, so that a signal during start-up does not kill the process but is
  // handled once start-up is complete.
  boost::asio::signal_set reload(io, SIGHUP);
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  const lb::Config config = LoadConfig();
  lb::sidecar::Sidecar sidecar(io, config);
  ReloadOnSignal(reload, sidecar);
  LogAddresses(sidecar);
  ShutDownOnSignal(stop, sidecar, io);
  RunUntilStopped(io, sidecar.log());
}

// Logs under the program's name: the sidecar's name is part of the configuration, which may be what failed to
// load.
void LogStartFailure(const std::string& error) {
  lb::sidecar::Logger("lb-sidecar").Write(LogEvent(log_events::kStartFailed).With("error", error));
}

}  // namespace

int main() {
  // A write to a connection that its peer has closed then fails with EPIPE instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    RunSidecar();
    return 0;
  } catch (const boost::system::system_error& e) {
    // Thrown if binding LB_LISTEN fails; a failure to bind LB_ADMIN is reported as a ConfigError.
    LogStartFailure(std::string("LB_LISTEN ") + std::getenv("LB_LISTEN") + ": " + e.what());
  } catch (const std::exception& e) {
    LogStartFailure(e.what());
  }
  return 1;
}
