#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// Decides which events of an answer go to the caller of a stream. The events
/// of its first answer pass unchanged. Those of a later answer pass only while
/// their ids show that they continue the events that the caller has.
///
/// ```cpp
/// StreamContinuity Continuity;
/// Continuity.beginAnswer(CallerLastId, /*IsContinuation=*/false);
/// send(Continuity.accept(WholeEvents));
/// if (Continuity.isRefused())
///   tryElsewhere(Continuity.lastId());
/// ```
class StreamContinuity {
public:
  /// Call before the events of each answer. `CallerLastId`: the last id that
  /// the caller had before its request; empty if unknown.
  void beginAnswer(std::string_view CallerLastId, bool IsContinuation);
  /// Returns the leading part of whole events that may pass. The rest of the
  /// answer is refused if that is not all. Blocks without an event, such as
  /// comments, are left out before a continuation has joined.
  std::string accept(std::string_view Events);
  /// Whether an event of this answer did not continue the stream.
  bool isRefused() const { return Refused_; }
  /// Whether the answer may end here: a continuation has to bring an event.
  bool mayEnd() const { return !Refused_ && (!IsContinuation_ || Joined_); }
  /// Whether the ids so far can prove that another answer continues them.
  bool canContinue() const { return Provable_; }
  /// `id` of the last event that passed and had one.
  const std::string &lastId() const { return LastId_; }

private:
  bool acceptId(std::string_view Id);

  std::string LastId_;
  std::optional<std::uint64_t> LastNumber_;
  std::optional<std::uint64_t> CallerLastNumber_;
  bool IsContinuation_ = false;
  bool Joined_ = false;     ///< an event of this answer passed
  bool Refused_ = false;    ///< an event of this answer did not pass
  bool Provable_ = true;    ///< all events had increasing whole numbers as ids
  bool Consecutive_ = true; ///< each id was one more than the one before it
};

} // namespace cassiashed::gateway
