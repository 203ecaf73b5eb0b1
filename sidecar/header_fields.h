// The header fields of a message in little memory: one text, as on the wire. Beast's own container makes an
// object of each field, so that a head of very many short fields takes ten times its size.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sidecar/held_bytes.h"
#include "sidecar/memory_budget.h"

namespace lb::sidecar {

// Meets Beast's requirements of Fields, so that it can be the fields of a Beast message, whose serializer
// then writes them; the names of the functions are Beast's where that needs them. A search reads all fields;
// there are few in usual heads. The bytes are charged to the budget that Assign() is given.
class HeaderFields {
 public:
  struct Field {
    boost::beast::string_view name;
    boost::beast::string_view value;
  };

  HeaderFields() = default;
  HeaderFields(HeaderFields&&) = default;
  HeaderFields& operator=(HeaderFields&&) = default;
  HeaderFields(const HeaderFields& other) { *this = other; }
  HeaderFields& operator=(const HeaderFields& other);
  ~HeaderFields() = default;

  // Replaces all fields by copies of `fields`, and charges `budget` for them; null: none.
  void Assign(const boost::beast::http::fields& fields, const std::shared_ptr<MemoryBudget>& budget);
  // Adds copies of `fields` behind the others.
  void Append(const boost::beast::http::fields& fields);

  // The views are valid until the fields change. Names are compared without regard to case.
  std::vector<boost::beast::string_view> Values(boost::beast::string_view name) const;
  std::size_t count(boost::beast::string_view name) const;
  std::size_t count(boost::beast::http::field name) const { return count(to_string(name)); }
  // Returns the first value; empty if there is none.
  boost::beast::string_view operator[](boost::beast::string_view name) const;
  boost::beast::string_view operator[](boost::beast::http::field name) const {
    return (*this)[to_string(name)];
  }

  // Replaces all fields of this name by one.
  void set(boost::beast::string_view name, boost::beast::string_view value);
  void set(boost::beast::http::field name, boost::beast::string_view value) { set(to_string(name), value); }
  void insert(boost::beast::string_view name, boost::beast::string_view value);
  void erase(boost::beast::string_view name);
  void erase(boost::beast::http::field name) { erase(to_string(name)); }
  void RemoveIf(const std::function<bool(const Field&)>& predicate);

  // The size of all fields on the wire, in bytes.
  std::size_t size() const { return text_.size(); }

  // Gives Beast's serializer the start line, the fields and the empty line. The names are Beast's.
  // NOLINTBEGIN(readability-identifier-naming)
  class writer {
   public:
    using const_buffers_type = std::array<boost::asio::const_buffer, 3>;

    writer(const HeaderFields& fields, unsigned version, boost::beast::http::verb method);
    writer(const HeaderFields& fields, unsigned version, unsigned status);
    const_buffers_type get() const;

   private:
    const HeaderFields& fields_;
    std::string start_line_;
  };
  // NOLINTEND(readability-identifier-naming)

  // Beast's requirements of Fields.
  boost::beast::string_view get_method_impl() const { return method_; }
  boost::beast::string_view get_target_impl() const { return target_; }
  boost::beast::string_view get_reason_impl() const { return reason_; }
  bool get_chunked_impl() const;
  bool get_keep_alive_impl(unsigned version) const;
  bool has_content_length_impl() const { return count("Content-Length") > 0; }
  void set_method_impl(boost::beast::string_view method) { method_ = std::string(method); }
  void set_target_impl(boost::beast::string_view target) { target_ = std::string(target); }
  void set_reason_impl(boost::beast::string_view reason) { reason_ = std::string(reason); }
  void set_chunked_impl(bool chunked);
  void set_content_length_impl(const boost::optional<std::uint64_t>& length);
  void set_keep_alive_impl(unsigned version, bool keep_alive);

 private:
  // Calls `visit(field, line)` for each field and the whole line that it stands in, until that returns false.
  template <typename Visit>
  void ForEach(const Visit& visit) const;

  std::string method_;  // empty unless it is one that Beast doesn't know
  std::string target_;
  std::string reason_;
  HeldBytes text_;  // lines "Name: value", each with its CRLF
};

}  // namespace lb::sidecar
