#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Server-sent events.
namespace cassiashed::http {

struct StreamEvent {
  std::string Name; ///< empty for the default event
  std::string Data;
};

/// Splits a byte stream into events. Holds at most one event.
///
/// ```cpp
/// Events.feed(Piece);
/// while (auto Event = Events.next())
///   handle(*Event);
/// ```
class EventParser {
public:
  /// Events above `MaxEventBytes` make the stream invalid.
  explicit EventParser(std::size_t MaxEventBytes = 64 * 1024)
      : MaxEventBytes_(MaxEventBytes) {}

  void feed(std::string_view Bytes) { Buffer_ += Bytes; }
  std::optional<StreamEvent> next();
  bool invalid() const { return Buffer_.size() > MaxEventBytes_; }
  /// Whether bytes of an unfinished event are left.
  bool pending() const { return !Buffer_.empty(); }

private:
  std::string Buffer_;
  std::size_t MaxEventBytes_;
};

/// Writes one event; `Data` must not contain line breaks.
std::string formatEvent(std::string_view Data, std::string_view Name = {});

} // namespace cassiashed::http
