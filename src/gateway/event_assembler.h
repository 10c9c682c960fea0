#pragma once

#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// Splits the bytes of a server-sent event stream at the ends of events, so
/// that an event that is cut in the middle is never passed on in part.
///
/// ```cpp
/// EventAssembler Events;
/// send(Events.take(Bytes)); // whole events only
/// resumeAfter(Events.lastId());
/// ```
class EventAssembler {
public:
  /// Bytes of one event. Events hold some tens of tokens; a server in trouble
  /// may send one that never ends.
  static constexpr std::size_t MaxEventBytes = 64 * 1024;

  /// Adds bytes; returns the events that are complete now, unchanged.
  std::string take(std::string_view Bytes);
  /// Whether the event that is not complete is larger than an event may be.
  bool isOversized() const { return Rest_.size() > MaxEventBytes; }
  /// Bytes of an event that is not complete.
  const std::string &rest() const { return Rest_; }
  /// Forgets an incomplete event whose stream broke.
  void dropRest() {
    Rest_.clear();
    Searched_ = 0;
  }
  /// `id` of the last complete event that had one; empty if there was none.
  const std::string &lastId() const { return LastId_; }

private:
  void noteIds(std::string_view Events);

  std::string Rest_;
  std::size_t Searched_ = 0; ///< of Rest_, up to which no event ends
  std::string LastId_;
};

} // namespace cassiashed::gateway
