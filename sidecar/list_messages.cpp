#include "sidecar/list_messages.h"

#include <sstream>
#include <string_view>
#include <utility>

namespace lb::sidecar {
namespace {

using nlohmann::json;

constexpr std::string_view kBegin = "list ";
constexpr std::string_view kUpstream = "upstream ";
constexpr std::string_view kEnd = "list-end";
constexpr int kForm = 1;

[[noreturn]] void Fail(const std::string& text) {
  throw MembershipError(MembershipError::Kind::kMalformed, "", std::nullopt, text);
}

}  // namespace

std::string ToListMessages(const HeldEndpointList& list) {
  std::string messages(kBegin);
  messages += std::to_string(kForm) + ' ' + std::to_string(list.revision()) + ' ' +
              std::to_string(list.upstreams().size()) + '\n';
  for (const auto& [id, upstream] : list.upstreams()) {
    messages += kUpstream;
    messages += ToEntry(upstream.info, upstream.location).dump();
    messages += '\n';
  }
  messages += kEnd;
  messages += '\n';
  return messages;
}

std::optional<EndpointList> ListReceiver::HandleLine(const std::string& line) {
  try {
    if (line.starts_with(kBegin)) Begin(line.substr(kBegin.size()));
    if (line.starts_with(kUpstream)) AddUpstream(line.substr(kUpstream.size()));
    if (line == kEnd && list_) return End();
    return std::nullopt;
  } catch (const MembershipError&) {
    list_.reset();
    throw;
  }
}

void ListReceiver::Begin(const std::string& header) {
  std::istringstream in(header);
  int form = 0;
  EndpointList list;
  if (!(in >> form >> list.revision >> upstreams_)) Fail("bad first line");
  if (form != kForm) Fail("unknown form " + std::to_string(form));
  list.update.kind = MembershipUpdate::Kind::kRestored;
  list_ = std::move(list);
}

void ListReceiver::AddUpstream(const std::string& entry) {
  if (!list_) return;
  json body = {{"rev", list_->revision}, {"all", true}, {"targets", json::array()}};
  try {
    body["targets"].push_back(json::parse(entry));
  } catch (const json::exception& e) {
    Fail(e.what());
  }
  EndpointList parsed = ParseEndpointList(body, clock_);
  list_->locations.merge(parsed.locations);
  if (!parsed.locations.empty()) Fail("an upstream is named twice");
  list_->update.upstreams.push_back(std::move(parsed.update.upstreams.front()));
}

EndpointList ListReceiver::End() {
  if (list_->update.upstreams.size() != upstreams_) Fail("upstreams are missing");
  EndpointList list = std::move(*list_);
  list_.reset();
  return list;
}

}  // namespace lb::sidecar
