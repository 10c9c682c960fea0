#include "gateway/event_assembler.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Position after the last blank line, which ends an event; 0 if there is
/// none.
std::size_t endOfLastEvent(std::string_view Text) {
  const auto After = [](std::size_t At, std::size_t Length) {
    return At == std::string_view::npos ? 0 : At + Length;
  };
  return std::max(After(Text.rfind("\n\n"), 2),
                  After(Text.rfind("\r\n\r\n"), 4));
}

} // namespace

std::string EventAssembler::take(std::string_view Bytes) {
  Rest_.append(Bytes);
  const std::size_t End = endOfLastEvent(Rest_);
  if (End == 0)
    return {};
  std::string Complete = Rest_.substr(0, End);
  Rest_.erase(0, End);
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
