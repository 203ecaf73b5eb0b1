// Functions that read typed fields of a JSON object and name the field in every error.
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

// A field is missing, has the wrong type or has an unknown value. The text names the field.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns a required field. Throws FieldError.
inline const nlohmann::json& Field(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) throw FieldError(std::string("expected an object with field ") + name);
  const auto it = object.find(name);
  if (it == object.end()) throw FieldError(std::string("missing field ") + name);
  return *it;
}

// Returns the value of a required field. Throws FieldError if the type is wrong, or if T is unsigned and the
// number is negative or has a fraction: the library would silently convert it.
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

// Returns the value of an optional field, or nothing if the field is absent or null. Throws FieldError.
template <typename T>
std::optional<T> GetOptional(const nlohmann::json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return std::nullopt;
  return Get<T>(object, name);
}

// Assigns the value of an optional field to `target`, or leaves `target` unchanged if the field is absent or
// null. Throws FieldError.
template <typename T>
void Read(const nlohmann::json& object, const char* name, T& target) {
  if (const auto value = GetOptional<T>(object, name)) target = *value;
}

// The same for a duration in microseconds.
inline void Read(const nlohmann::json& object, const char* name, Duration& target) {
  if (const auto value = GetOptional<std::int64_t>(object, name)) target = Duration(*value);
}

// Returns a section of the settings, or an empty object if it is absent or null.
inline const nlohmann::json& GetSection(const nlohmann::json& params, const char* name) {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  const auto it = params.find(name);
  return it == params.end() || it->is_null() ? kEmpty : *it;
}

// Returns the value that `names` maps the string field to. Throws FieldError for any other string.
template <typename T>
T GetEnum(const nlohmann::json& object, const char* name, const std::map<std::string, T>& names) {
  const auto it = names.find(Get<std::string>(object, name));
  if (it == names.end()) throw FieldError(std::string("unknown value in field ") + name);
  return it->second;
}

}  // namespace lb
