// The commands of the admin interface, as types: parsed from a call's method and target, and the replies to
// them. No sockets and no state.
#pragma once

#include <string>
#include <variant>

#include "sidecar/http.h"

namespace lb::sidecar {

// POST /upstreams/disable/ID: the upstream is sent nothing new until it is enabled.
struct DisableUpstream {
  std::string upstream;
};

// POST /upstreams/enable/ID
struct EnableUpstream {
  std::string upstream;
};

// POST /drain: connection draining, until StopDraining.
struct StartDraining {};

// POST /undrain
struct StopDraining {};

// GET /ready
struct QueryReadiness {};

using AdminCommand =
    std::variant<DisableUpstream, EnableUpstream, StartDraining, StopDraining, QueryReadiness>;

// A call that is no command.
struct AdminCommandError {
  enum class Kind {
    kUnknownTarget,
    kWrongMethod,
  };
  Kind kind = Kind::kUnknownTarget;
  http::verb expected = http::verb::get;  // of kWrongMethod
};

std::variant<AdminCommand, AdminCommandError> ParseAdminCommand(http::verb method, const std::string& target);

enum class AdminStatus {
  kDone,             // 200
  kUnknownUpstream,  // 404
  kNotReady,         // 503
};

// What a command did.
struct AdminReply {
  AdminStatus status = AdminStatus::kDone;
  std::string text;           // for people; one line
  std::string storage_fault;  // why the operator state is not stored; empty where it is
};

// The HTTP forms. Their texts are of the first release: operators' scripts read them.
HttpResponse ToHttpResponse(const AdminReply& reply);
HttpResponse ToHttpResponse(const AdminCommandError& error);

}  // namespace lb::sidecar
