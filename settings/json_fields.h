// Typed access to the fields of a JSON object, with errors that name the field.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace lb {

// A field that is missing, or has the wrong type or an unknown value. The text names it.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The value of a field that must be there. Throws FieldError.
inline const nlohmann::json& Field(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) throw FieldError(std::string("not an object where field ") + name + " is needed");
  const auto it = object.find(name);
  if (it == object.end()) throw FieldError(std::string("missing field ") + name);
  return *it;
}

// The value of a field that must be there and have the right type. A count is no number below zero, nor a
// part of one: the library would cut it to some other.
template <typename T>
T Get(const nlohmann::json& object, const char* name) {
  try {
    const nlohmann::json& field = Field(object, name);
    if (std::is_unsigned_v<T> && field.is_number() && !field.is_number_unsigned()) {
      throw FieldError(std::string("bad value in field ") + name);
    }
    return field.get<T>();
  } catch (const nlohmann::json::exception&) {
    throw FieldError(std::string("bad value in field ") + name);
  }
}

// The value of a field that may be absent or null.
template <typename T>
std::optional<T> Maybe(const nlohmann::json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return std::nullopt;
  return Get<T>(object, name);
}

template <typename T>
void Read(const nlohmann::json& object, const char* name, T& target) {
  if (const auto value = Maybe<T>(object, name)) target = *value;
}

inline void Read(const nlohmann::json& object, const char* name, Duration& target) {
  if (const auto value = Maybe<std::int64_t>(object, name)) target = Duration(*value);
}

// A named part of the settings; an empty object where it is missing.
inline const nlohmann::json& Part(const nlohmann::json& params, const char* name) {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  const auto it = params.find(name);
  return it == params.end() || it->is_null() ? kEmpty : *it;
}

// The value behind one of the names in `words`. Throws FieldError for any other.
template <typename T>
T Word(const nlohmann::json& object, const char* name, const std::map<std::string, T>& words) {
  const auto it = words.find(Get<std::string>(object, name));
  if (it == words.end()) throw FieldError(std::string("unknown value in field ") + name);
  return it->second;
}

}  // namespace lb
