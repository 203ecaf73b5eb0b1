// The commands of the admin interface as types: parsing them from a request's method and target, and
// converting replies to HTTP responses. Uses no sockets and has no state.
#pragma once

#include <string>
#include <variant>

#include "sidecar/http.h"

namespace lb::sidecar {

// POST /upstreams/disable/ID: sends no new attempts to the upstream until it is enabled.
struct DisableUpstream {
  std::string upstream;
};

// POST /upstreams/enable/ID: reverts DisableUpstream.
struct EnableUpstream {
  std::string upstream;
};

// POST /drain: starts connection draining, which lasts until StopDraining.
struct StartDraining {};

// POST /undrain
struct StopDraining {};

// GET /ready: queries whether the sidecar is ready for new clients.
struct QueryReadiness {};

// GET /metrics: queries the counts of requests and attempts.
struct QueryMetrics {};

using AdminCommand =
    std::variant<DisableUpstream, EnableUpstream, StartDraining, StopDraining, QueryReadiness, QueryMetrics>;

// A request that is not a valid command.
struct AdminCommandError {
  enum class Kind {
    kUnknownTarget,
    kWrongMethod,
  };
  Kind kind = Kind::kUnknownTarget;
  http::verb expected = http::verb::get;  // for kWrongMethod
};

// Upstream ids are the rest of `target` after the prefix, not decoded; they are not checked for existence.
std::variant<AdminCommand, AdminCommandError> ParseAdminCommand(http::verb method, const std::string& target);

enum class AdminStatus {
  kDone,             // 200
  kUnknownUpstream,  // 404
  kNotReady,         // 503
};

// The result of a command.
struct AdminReply {
  AdminStatus status = AdminStatus::kDone;
  std::string text;           // human-readable; one line, but for metrics
  std::string storage_fault;  // why the operator state is not stored; empty if it is
};

// The HTTP responses. Their texts must not change from release to release: operators' scripts read them.
HttpResponse ToHttpResponse(const AdminReply& reply);
HttpResponse ToHttpResponse(const AdminCommandError& error);

}  // namespace lb::sidecar
