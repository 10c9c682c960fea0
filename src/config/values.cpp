#include "config/values.h"

#include <algorithm>
#include <array>

namespace cassiashed {
namespace {

constexpr std::string_view Separators = ", \t";

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '_' || Character == '-';
}

struct ByteUnit {
  std::string_view Name;
  std::uint64_t Factor;
};
constexpr std::array<ByteUnit, 3> ByteUnits = {
    {{"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}}};

} // namespace

std::optional<std::string> parseName(std::string_view Text) {
  if (Text.empty() || Text.size() > 64 ||
      !std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return std::nullopt;
  return std::string(Text);
}

std::optional<std::string> parseText(std::string_view Text) {
  if (Text.empty())
    return std::nullopt;
  return std::string(Text);
}

std::vector<std::string> splitWords(std::string_view Text) {
  std::vector<std::string> Words;
  while (true) {
    const std::size_t Start = Text.find_first_not_of(Separators);
    if (Start == std::string_view::npos)
      return Words;
    Text.remove_prefix(Start);
    const std::size_t End =
        std::min(Text.find_first_of(Separators), Text.size());
    Words.emplace_back(Text.substr(0, End));
    Text.remove_prefix(End);
  }
}

std::optional<std::vector<std::string>> parseNames(std::string_view Text) {
  std::vector<std::string> Names = splitWords(Text);
  const auto IsName = [](const std::string &Word) {
    return parseName(Word).has_value();
  };
  if (Names.empty() || !std::all_of(Names.begin(), Names.end(), IsName))
    return std::nullopt;
  return Names;
}

std::optional<std::uint64_t> parseBytes(std::string_view Text) {
  std::uint64_t Factor = 1;
  for (const ByteUnit &Unit : ByteUnits)
    if (Text.size() > Unit.Name.size() &&
        Text.substr(Text.size() - Unit.Name.size()) == Unit.Name) {
      Factor = Unit.Factor;
      Text.remove_suffix(Unit.Name.size());
      Text = Text.substr(0, Text.find_last_not_of(' ') + 1);
      break;
    }
  // 1 TiB exceeds every limit and keeps the product in range.
  constexpr std::uint64_t Most = 1ULL << 40;
  const auto Number = parseNumber<std::uint64_t, 1, Most>(Text);
  if (!Number || *Number > Most / Factor)
    return std::nullopt;
  return *Number * Factor;
}

std::optional<Duration> parseMilliseconds(std::string_view Text) {
  const auto Number = parseNumber<std::uint32_t, 1, 86'400'000>(Text);
  if (!Number)
    return std::nullopt;
  return Duration(*Number);
}

std::optional<bool> parseYesNo(std::string_view Text) {
  if (Text == "yes")
    return true;
  if (Text == "no")
    return false;
  return std::nullopt;
}

std::optional<double> parseWeight(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  // The negated comparison also refuses NaN.
  if (Result.ec != std::errc() || Result.ptr != End ||
      !(Value > 0 && Value <= 1e6))
    return std::nullopt;
  return Value;
}

} // namespace cassiashed
