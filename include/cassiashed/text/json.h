#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

/// JSON helpers. Field readers return the default when the field is missing or
/// has another type, so that callers check only what they need.
namespace cassiashed {

using Json = nlohmann::json;

/// Parses one JSON object; on failure, which includes a number out of range,
/// `Reason` names the place or the kind of the error.
std::optional<Json> parseJsonObject(std::string_view Text, std::string &Reason);

std::string readString(const Json &Object, const char *Name,
                       std::string Default = {});
/// The value if it is a whole number that fits into the type.
std::optional<std::int64_t> integerOf(const Json &Value);
/// These return the default also for a number that does not fit into the type.
int readInt(const Json &Object, const char *Name, int Default = 0);
std::int64_t readInteger(const Json &Object, const char *Name,
                         std::int64_t Default = 0);
double readNumber(const Json &Object, const char *Name, double Default = 0);
bool readBool(const Json &Object, const char *Name, bool Default = false);

} // namespace cassiashed
