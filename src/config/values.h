#pragma once

#include "cassiashed/base/clock.h"
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Parsers of single values. Each returns nothing if the text is not allowed.
namespace cassiashed {

inline constexpr std::string_view NameForm =
    "1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view HostPortForm = "ip:port with an IP number";

/// A name as `NameForm` describes it.
std::optional<std::string> parseName(std::string_view Text);
/// Any text that is not empty.
std::optional<std::string> parseText(std::string_view Text);
/// Words separated by commas or blanks.
std::vector<std::string> splitWords(std::string_view Text);
/// At least one name.
std::optional<std::vector<std::string>> parseNames(std::string_view Text);
/// A number of bytes, optionally with the unit KiB, MiB or GiB.
std::optional<std::uint64_t> parseBytes(std::string_view Text);
/// Milliseconds from 1 to one day.
std::optional<Duration> parseMilliseconds(std::string_view Text);
/// `yes` or `no`.
std::optional<bool> parseYesNo(std::string_view Text);
/// A number above 0 and up to 1000000.
std::optional<double> parseWeight(std::string_view Text);

/// A whole number between the limits.
template <typename Number, Number Least = 1,
          Number Most = std::numeric_limits<Number>::max()>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || Value < Least ||
      Value > Most)
    return std::nullopt;
  return Value;
}

/// A value of an enumeration, by its name table.
template <typename Enum, const auto &Names>
std::optional<Enum> parseEnum(std::string_view Text) {
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names[Index] == Text)
      return static_cast<Enum>(Index);
  return std::nullopt;
}

} // namespace cassiashed
