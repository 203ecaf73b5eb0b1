#include "sidecar/admin_commands.h"

#include <optional>
#include <string_view>
#include <utility>

namespace lb::sidecar {
namespace {

constexpr std::string_view kDisablePrefix = "/upstreams/disable/";
constexpr std::string_view kEnablePrefix = "/upstreams/enable/";

// The command for a request target; nullopt for an unknown target.
std::optional<AdminCommand> CommandOf(const std::string& target) {
  if (target.starts_with(kDisablePrefix)) return DisableUpstream{target.substr(kDisablePrefix.size())};
  if (target.starts_with(kEnablePrefix)) return EnableUpstream{target.substr(kEnablePrefix.size())};
  if (target == "/drain") return StartDraining{};
  if (target == "/undrain") return StopDraining{};
  if (target == "/ready") return QueryReadiness{};
  if (target == "/metrics") return QueryMetrics{};
  return std::nullopt;
}

http::status HttpStatus(AdminStatus status) {
  switch (status) {
    case AdminStatus::kDone:
      return http::status::ok;
    case AdminStatus::kUnknownUpstream:
      return http::status::not_found;
    case AdminStatus::kNotReady:
      return http::status::service_unavailable;
  }
  return http::status::internal_server_error;
}

}  // namespace

std::variant<AdminCommand, AdminCommandError> ParseAdminCommand(http::verb method,
                                                                const std::string& target) {
  auto command = CommandOf(target);
  if (!command) return AdminCommandError{AdminCommandError::Kind::kUnknownTarget, {}};
  const bool is_query =
      std::holds_alternative<QueryReadiness>(*command) || std::holds_alternative<QueryMetrics>(*command);
  const http::verb expected = is_query ? http::verb::get : http::verb::post;
  if (method != expected) return AdminCommandError{AdminCommandError::Kind::kWrongMethod, expected};
  return *std::move(command);
}

HttpResponse ToHttpResponse(const AdminReply& reply) {
  const std::string text = reply.storage_fault.empty() ? reply.text : reply.text + "; " + reply.storage_fault;
  return PlainResponse(HttpStatus(reply.status), text);
}

HttpResponse ToHttpResponse(const AdminCommandError& error) {
  if (error.kind == AdminCommandError::Kind::kUnknownTarget) {
    return PlainResponse(http::status::not_found, "no such call");
  }
  const std::string method(http::to_string(error.expected));
  auto response = PlainResponse(http::status::method_not_allowed, method + " only");
  response.set(http::field::allow, method);
  return response;
}

}  // namespace lb::sidecar
