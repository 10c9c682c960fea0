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
  /// Adds bytes; returns the events that are complete now, unchanged.
  std::string take(std::string_view Bytes);
  /// Bytes of an event that is not complete.
  const std::string &rest() const { return Rest_; }
  /// Forgets an incomplete event whose stream broke.
  void dropRest() { Rest_.clear(); }
  /// `id` of the last complete event that had one; empty if there was none.
  const std::string &lastId() const { return LastId_; }

private:
  void noteIds(std::string_view Events);

  std::string Rest_;
  std::string LastId_;
};

} // namespace cassiashed::gateway
