#include "sidecar/header_fields.h"

#include <boost/beast/http/rfc7230.hpp>
#include <utility>

namespace lb::sidecar {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;

constexpr string_view kSeparator = ": ";
constexpr string_view kLineEnd = "\r\n";

std::size_t LineSize(string_view name, string_view value) {
  return name.size() + kSeparator.size() + value.size() + kLineEnd.size();
}

void AppendLine(HeldBytes& text, string_view name, string_view value) {
  text.Append(name.data(), name.size());
  text.Append(kSeparator.data(), kSeparator.size());
  text.Append(value.data(), value.size());
  text.Append(kLineEnd.data(), kLineEnd.size());
}

// Adds the fields to `text`, which then has no more room than it needs.
void AppendAll(HeldBytes& text, const http::fields& fields) {
  std::size_t size = text.size();
  for (const auto& field : fields) size += LineSize(field.name_string(), field.value());
  text.Reserve(size);
  for (const auto& field : fields) AppendLine(text, field.name_string(), field.value());
}

std::string VersionText(unsigned version) {
  return "HTTP/" + std::to_string(version / 10) + "." + std::to_string(version % 10);
}

}  // namespace

HeaderFields& HeaderFields::operator=(const HeaderFields& other) {
  if (this == &other) return *this;
  method_ = other.method_;
  target_ = other.target_;
  reason_ = other.reason_;
  text_ = other.text_.Copy();
  return *this;
}

void HeaderFields::Assign(const http::fields& fields, const std::shared_ptr<MemoryBudget>& budget) {
  text_ = HeldBytes(budget);
  AppendAll(text_, fields);
}

void HeaderFields::Append(const http::fields& fields) { AppendAll(text_, fields); }

// ---- Access ----

template <typename Visit>
void HeaderFields::ForEach(const Visit& visit) const {
  string_view rest(text_.data(), text_.size());
  while (!rest.empty()) {
    const string_view line = rest.substr(0, rest.find('\n') + 1);
    rest.remove_prefix(line.size());
    const std::size_t name_size = line.find(kSeparator);
    if (name_size == string_view::npos) continue;  // a line break within a value
    const std::size_t value_at = name_size + kSeparator.size();
    const Field field{line.substr(0, name_size),
                      line.substr(value_at, line.size() - value_at - kLineEnd.size())};
    if (!visit(field, line)) return;
  }
}

std::vector<string_view> HeaderFields::Values(string_view name) const {
  std::vector<string_view> values;
  ForEach([&](const Field& field, string_view) {
    if (iequals(field.name, name)) values.push_back(field.value);
    return true;
  });
  return values;
}

std::size_t HeaderFields::count(string_view name) const {
  std::size_t number = 0;
  ForEach([&](const Field& field, string_view) {
    if (iequals(field.name, name)) ++number;
    return true;
  });
  return number;
}

string_view HeaderFields::operator[](string_view name) const {
  string_view value;
  ForEach([&](const Field& field, string_view) {
    const bool found = iequals(field.name, name);
    if (found) value = field.value;
    return !found;
  });
  return value;
}

void HeaderFields::set(string_view name, string_view value) {
  erase(name);
  insert(name, value);
}

void HeaderFields::insert(string_view name, string_view value) {
  text_.Reserve(text_.size() + LineSize(name, value));
  AppendLine(text_, name, value);
}

void HeaderFields::erase(string_view name) {
  RemoveIf([name](const Field& field) { return iequals(field.name, name); });
}

void HeaderFields::RemoveIf(const std::function<bool(const Field&)>& predicate) {
  std::string kept;
  bool removed = false;
  ForEach([&](const Field& field, string_view line) {
    if (predicate(field)) {
      if (!removed) {
        kept.reserve(text_.size() - line.size());
        kept.assign(text_.data(), static_cast<std::size_t>(line.data() - text_.data()));
      }
      removed = true;
    } else if (removed) {
      kept.append(line.data(), line.size());
    }
    return true;
  });
  if (removed) text_ = std::move(kept);
}

// ---- Beast's requirements ----

bool HeaderFields::get_chunked_impl() const {
  bool chunked = false;
  for (const auto value : Values("Transfer-Encoding")) {
    for (const auto& coding : http::token_list(value)) chunked = iequals(coding, "chunked");
  }
  return chunked;
}

bool HeaderFields::get_keep_alive_impl(unsigned version) const {
  const string_view wanted = version < 11 ? "keep-alive" : "close";
  bool found = false;
  for (const auto value : Values("Connection")) {
    found = found || http::token_list(value).exists(wanted);
  }
  return version < 11 ? found : !found;
}

void HeaderFields::set_chunked_impl(bool chunked) {
  erase("Transfer-Encoding");
  if (chunked) insert("Transfer-Encoding", "chunked");
}

void HeaderFields::set_content_length_impl(const boost::optional<std::uint64_t>& length) {
  erase("Content-Length");
  if (length) insert("Content-Length", std::to_string(*length));
}

void HeaderFields::set_keep_alive_impl(unsigned version, bool keep_alive) {
  erase("Connection");
  if (version < 11 && keep_alive) insert("Connection", "keep-alive");
  if (version >= 11 && !keep_alive) insert("Connection", "close");
}

HeaderFields::writer::writer(const HeaderFields& fields, unsigned version, http::verb method)
    : fields_(fields) {
  const string_view name = method == http::verb::unknown ? fields.get_method_impl() : to_string(method);
  start_line_ = std::string(name) + " " + std::string(fields.get_target_impl()) + " " + VersionText(version) +
                std::string(kLineEnd);
}

HeaderFields::writer::writer(const HeaderFields& fields, unsigned version, unsigned status)
    : fields_(fields) {
  string_view reason = fields.get_reason_impl();
  if (reason.empty()) reason = obsolete_reason(http::int_to_status(status));
  start_line_ =
      VersionText(version) + " " + std::to_string(status) + " " + std::string(reason) + std::string(kLineEnd);
}

HeaderFields::writer::const_buffers_type HeaderFields::writer::get() const {
  return {boost::asio::buffer(start_line_), boost::asio::buffer(fields_.text_.data(), fields_.text_.size()),
          boost::asio::buffer(kLineEnd.data(), kLineEnd.size())};
}

}  // namespace lb::sidecar
