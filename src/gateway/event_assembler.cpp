#include "gateway/event_assembler.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Length of the longest separator between events. It may begin in bytes that
/// were searched before.
constexpr std::size_t MaxSeparatorBytes = 4;

/// Returns the position after the last blank line at or after `From`; 0 if
/// there is none.
std::size_t findEndOfLastEvent(std::string_view Text, std::size_t From) {
  const auto After = [From](std::size_t At, std::size_t Length) {
    return At == std::string_view::npos ? 0 : From + At + Length;
  };
  const std::string_view Searched = Text.substr(From);
  return std::max(After(Searched.rfind("\n\n"), 2),
                  After(Searched.rfind("\r\n\r\n"), 4));
}

} // namespace

std::string EventAssembler::append(std::string_view Bytes) {
  Pending_.append(Bytes);
  const std::size_t End = findEndOfLastEvent(Pending_, SearchedBytes_);
  SearchedBytes_ =
      Pending_.size() - std::min(Pending_.size(), MaxSeparatorBytes - 1);
  if (End == 0)
    return {};
  std::string Complete = Pending_.substr(0, End);
  Pending_.erase(0, End);
  SearchedBytes_ = 0;
  return Complete;
}

} // namespace cassiashed::gateway
