#include "gateway/event_assembler.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// The blank line that ends an event may begin in the bytes that were there
/// before.
constexpr std::size_t LongestEnd = 4;

/// Position after the last blank line at or after `From`; 0 if there is none.
std::size_t endOfLastEvent(std::string_view Text, std::size_t From) {
  const auto After = [From](std::size_t At, std::size_t Length) {
    return At == std::string_view::npos ? 0 : From + At + Length;
  };
  const std::string_view Searched = Text.substr(From);
  return std::max(After(Searched.rfind("\n\n"), 2),
                  After(Searched.rfind("\r\n\r\n"), 4));
}

} // namespace

std::string EventAssembler::take(std::string_view Bytes) {
  Rest_.append(Bytes);
  const std::size_t End = endOfLastEvent(Rest_, Searched_);
  Searched_ = Rest_.size() - std::min(Rest_.size(), LongestEnd - 1);
  if (End == 0)
    return {};
  std::string Complete = Rest_.substr(0, End);
  Rest_.erase(0, End);
  Searched_ = 0;
  noteIds(Complete);
  return Complete;
}

void EventAssembler::noteIds(std::string_view Events) {
  std::size_t Begin = 0;
  while (Begin < Events.size()) {
    std::size_t End = Events.find('\n', Begin);
    if (End == std::string_view::npos)
      End = Events.size();
    std::string_view Line = Events.substr(Begin, End - Begin);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.starts_with("id:")) {
      Line.remove_prefix(3);
      if (Line.starts_with(' '))
        Line.remove_prefix(1);
      LastId_ = Line;
    }
    Begin = End + 1;
  }
}

} // namespace cassiashed::gateway
