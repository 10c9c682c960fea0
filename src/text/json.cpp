#include "cassiashed/text/json.h"

#include <limits>

namespace cassiashed {
namespace {

const Json *findField(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

} // namespace

std::optional<Json> parseJsonObject(std::string_view Text,
                                    std::string &Reason) {
  try {
    Json Value = Json::parse(Text);
    if (Value.is_object())
      return Value;
    Reason = "expected a JSON object";
  } catch (const Json::parse_error &Failure) {
    Reason = "invalid JSON at byte " + std::to_string(Failure.byte);
  } catch (const Json::exception &Failure) {
    Reason = Failure.what(); // a number too large for its type
  }
  return std::nullopt;
}

std::string readString(const Json &Object, const char *Name,
                       std::string Default) {
  const Json *Field = findField(Object, Name);
  return Field && Field->is_string() ? Field->get<std::string>()
                                     : std::move(Default);
}

std::optional<std::int64_t> integerOf(const Json &Value) {
  if (!Value.is_number_integer())
    return std::nullopt;
  // Numbers above the signed range are kept as unsigned ones.
  if (Value.is_number_unsigned() &&
      Value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return std::nullopt;
  return Value.get<std::int64_t>();
}

std::int64_t readInteger(const Json &Object, const char *Name,
                         std::int64_t Default) {
  const Json *Field = findField(Object, Name);
  return Field ? integerOf(*Field).value_or(Default) : Default;
}

int readInt(const Json &Object, const char *Name, int Default) {
  const std::int64_t Value = readInteger(Object, Name, Default);
  const bool Fits = Value >= std::numeric_limits<int>::min() &&
                    Value <= std::numeric_limits<int>::max();
  return Fits ? static_cast<int>(Value) : Default;
}

double readNumber(const Json &Object, const char *Name, double Default) {
  const Json *Field = findField(Object, Name);
  return Field && Field->is_number() ? Field->get<double>() : Default;
}

bool readBool(const Json &Object, const char *Name, bool Default) {
  const Json *Field = findField(Object, Name);
  return Field && Field->is_boolean() ? Field->get<bool>() : Default;
}

} // namespace cassiashed
