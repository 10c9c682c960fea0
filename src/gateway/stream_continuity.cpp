#include "gateway/stream_continuity.h"

#include <algorithm>
#include <charconv>

namespace cassiashed::gateway {
namespace {

std::optional<std::uint64_t> readNumber(std::string_view Text) {
  std::uint64_t Result = 0;
  const char *End = Text.data() + Text.size();
  const auto [Next, Failure] = std::from_chars(Text.data(), End, Result);
  if (Text.empty() || Failure != std::errc() || Next != End)
    return std::nullopt;
  return Result;
}

/// Removes the first line from `Text` and returns it without its end.
std::string_view takeLine(std::string_view &Text) {
  const std::size_t End = std::min(Text.find('\n'), Text.size());
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(std::min(End + 1, Text.size()));
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

/// One block of a stream: the lines up to a blank one.
struct Block {
  std::string_view Bytes;
  std::string_view Id;
  bool HasFields = false; ///< it is more than comments
};

Block takeBlock(std::string_view &Events) {
  Block Result;
  Result.Bytes = Events;
  while (!Events.empty()) {
    std::string_view Line = takeLine(Events);
    if (Line.empty())
      break;
    Result.HasFields = Result.HasFields || !Line.starts_with(':');
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    Result.Id = Line;
  }
  Result.Bytes.remove_suffix(Events.size());
  return Result;
}

} // namespace

void StreamContinuity::beginAnswer(std::string_view CallerLastId,
                                   bool IsContinuation) {
  CallerLastNumber_ = readNumber(CallerLastId);
  IsContinuation_ = IsContinuation;
  Joined_ = false;
  Refused_ = false;
}

std::string StreamContinuity::accept(std::string_view Events) {
  std::string Result;
  while (!Refused_ && !Events.empty()) {
    const Block Next = takeBlock(Events);
    if (!Next.HasFields) {
      if (!IsContinuation_ || Joined_)
        Result += Next.Bytes;
      continue;
    }
    Refused_ = !acceptId(Next.Id);
    if (Refused_)
      break;
    Joined_ = true;
    Result += Next.Bytes;
  }
  return Result;
}

bool StreamContinuity::acceptId(std::string_view Id) {
  const std::optional<std::uint64_t> Number = readNumber(Id);
  // Before the first id, the stream is expected to begin at 0, at 1 or after
  // the caller's last event.
  const std::optional<std::uint64_t> Before =
      LastNumber_ ? LastNumber_ : CallerLastNumber_;
  const bool Increases = Number && (!Before || *Number > *Before);
  const bool Follows =
      Increases && (Before ? *Number - *Before == 1 : *Number <= 1);
  if (IsContinuation_ && (!Increases || (Consecutive_ && !Follows)))
    return false;
  const bool RepeatsCallersEvents =
      !LastNumber_ && CallerLastNumber_ && Number && !Increases;
  if (RepeatsCallersEvents)
    return false;
  Provable_ = Provable_ && Increases;
  Consecutive_ = Consecutive_ && Follows;
  if (Number)
    LastNumber_ = Number;
  if (!Id.empty())
    LastId_ = Id;
  return true;
}

} // namespace cassiashed::gateway
