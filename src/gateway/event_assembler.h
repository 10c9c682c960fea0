#pragma once

#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// Splits a stream of server-sent events at the ends of events, so that a part
/// of an event is never passed on when the endpoint's connection breaks.
///
/// ```cpp
/// EventAssembler Events;
/// send(Events.append(Bytes)); // whole events only
/// const bool Whole = !Events.isInsideEvent(); // at the end of the stream
/// ```
class EventAssembler {
public:
  /// Limit for one event. Regular events hold some tens of tokens; a faulty
  /// server may send one that never ends.
  static constexpr std::size_t MaxEventBytes = 64 * 1024;

  /// Adds bytes; returns the events that are now complete, unchanged.
  std::string append(std::string_view Bytes);
  /// Whether the incomplete event exceeds `MaxEventBytes`.
  bool isOversized() const { return Pending_.size() > MaxEventBytes; }
  /// Bytes after the last complete event.
  const std::string &incompleteEvent() const { return Pending_; }
  /// Whether the bytes end inside an event, rather than after one. A stream
  /// that ends there has been broken off.
  bool isInsideEvent() const {
    return Pending_.find_first_not_of("\r\n") != std::string::npos;
  }
  /// Call when the stream ended or broke.
  void discardIncompleteEvent() {
    Pending_.clear();
    SearchedBytes_ = 0;
  }

private:
  std::string Pending_;
  std::size_t SearchedBytes_ = 0; ///< prefix of Pending_ in which no event ends
};

} // namespace cassiashed::gateway
