#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/base/event_log.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cassiashed::gateway {

/// Writes log lines, with a limit on the rate of each event, so that a burst of
/// requests does not flood the log. The next line of the event states how many
/// were suppressed.
///
/// ```cpp
/// Log.write("request_refused", Now, [&](LogLine &Line) {
///   Line.field("id", Id).field("reason", Reason);
/// });
/// ```
class RateLimitedLog {
public:
  /// Lines of one event per second. A node stays below it at its usual load.
  static constexpr int MaxPerSecond = 100;

  template <typename Fill>
  void write(std::string_view Event, TimePoint Now, Fill &&FillLine) {
    Window &Current = Windows_[std::string(Event)];
    if (Now - Current.StartedAt >= std::chrono::seconds(1)) {
      Current.StartedAt = Now;
      Current.Written = 0;
    }
    if (Current.Written >= MaxPerSecond) {
      ++Current.SuppressedLines;
      return;
    }
    ++Current.Written;
    LogLine Line(Event, Severity::Info);
    FillLine(Line);
    if (Current.SuppressedLines > 0)
      Line.field("left_out_before", Current.SuppressedLines);
    Current.SuppressedLines = 0;
  }

private:
  struct Window {
    TimePoint StartedAt;
    int Written = 0;
    std::uint64_t SuppressedLines = 0;
  };
  std::unordered_map<std::string, Window> Windows_;
};

} // namespace cassiashed::gateway
