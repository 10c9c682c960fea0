#include "http/message.h"

#include <algorithm>
#include <charconv>

namespace cassiashed::http {
namespace {

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

} // namespace

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char First, char Second) {
                      return toLower(First) == toLower(Second);
                    });
}

std::string_view findHeader(const Headers &All, std::string_view Name) {
  for (const Header &Field : All)
    if (equalsIgnoringCase(Field.first, Name))
      return Field.second;
  return {};
}

Address parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return {std::string(Text), 0};
  Address Parsed{std::string(Text.substr(0, Colon)), 0};
  const std::string_view Port = Text.substr(Colon + 1);
  const char *End = Port.data() + Port.size();
  const auto [Stop, Failure] = std::from_chars(Port.data(), End, Parsed.Port);
  if (Failure != std::errc() || Stop != End)
    Parsed.Port = 0;
  return Parsed;
}

} // namespace cassiashed::http
