#pragma once

#include <fmt/format.h>
#include <string>
#include <string_view>

/// One log line of key=value pairs for each event, written through glog.
namespace cassiashed {

enum class Severity { Info, Warning, Error };

/// Builds one log line and writes it when it goes out of scope.
///
/// ```cpp
/// logEvent("lease_lapsed").field("node", Name).field("age_ms", Age);
/// ```
class LogLine {
public:
  LogLine(std::string_view Event, Severity Level);
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;
  ~LogLine();

  template <typename Value>
  LogLine &field(std::string_view Key, const Value &Content) {
    append(Key, fmt::format("{}", Content));
    return *this;
  }

private:
  void append(std::string_view Key, std::string_view Content);

  std::string Line_;
  Severity Level_;
};

inline LogLine logEvent(std::string_view Event) {
  return LogLine(Event, Severity::Info);
}
inline LogLine logWarning(std::string_view Event) {
  return LogLine(Event, Severity::Warning);
}
inline LogLine logError(std::string_view Event) {
  return LogLine(Event, Severity::Error);
}

/// Sends later lines to standard output, with the time in Unix milliseconds
/// and the level in front. Never blocks: a line that the reader is too slow for
/// is lost, and the next line tells how many were. For one thread.
void logToStandardOutput();

/// Starts glog for this process. Lines go to standard error.
void startLogging(const char *Program);

} // namespace cassiashed
