#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/base/event_log.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cassiashed::gateway {

/// Log lines with a bound on the rate of each event. What was left out is
/// counted and logged with the next line of the event.
///
/// ```cpp
/// Log.write("request_refused", Now, [&](LogLine &Line) {
///   Line.field("id", Id).field("reason", Reason);
/// });
/// ```
class DecisionLog {
public:
  /// Lines of one event per second; a node at its usual load stays below.
  static constexpr int MaxPerSecond = 100;

  template <typename Fill>
  void write(std::string_view Event, TimePoint Now, Fill &&FillLine) {
    Window &Entry = Windows_[std::string(Event)];
    if (Now - Entry.Begin >= std::chrono::seconds(1)) {
      Entry.Begin = Now;
      Entry.Written = 0;
    }
    if (Entry.Written >= MaxPerSecond) {
      ++Entry.LeftOut;
      return;
    }
    ++Entry.Written;
    LogLine Line(Event, Severity::Info);
    FillLine(Line);
    if (Entry.LeftOut > 0)
      Line.field("left_out_before", Entry.LeftOut);
    Entry.LeftOut = 0;
  }

private:
  struct Window {
    TimePoint Begin;
    int Written = 0;
    std::uint64_t LeftOut = 0;
  };
  std::unordered_map<std::string, Window> Windows_;
};

} // namespace cassiashed::gateway
