#include "cassiashed/base/event_log.h"

#include <array>
#include <chrono>
#include <climits>
#include <cstdint>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace cassiashed {
namespace {

bool needsQuotes(std::string_view Content) {
  return Content.empty() ||
         Content.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

std::string quote(std::string_view Content) {
  std::string Quoted = "\"";
  for (const char Character : Content) {
    if (Character == '"' || Character == '\\')
      Quoted += '\\';
    Quoted += Character == '\n' || Character == '\r' ? ' ' : Character;
  }
  return Quoted + '"';
}

/// Set by `logToStandardOutput`.
bool UsesStandardOutput = false;
std::uint64_t LostLines = 0;

/// A reader that stands still must not stop the process, so lines that the
/// pipe cannot take are lost and counted.
void writeToStandardOutput(std::string_view Level, const std::string &Text) {
  pollfd Output = {STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0) {
    ++LostLines;
    return;
  }
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::string Line =
      fmt::format("time_ms={} level={} {}", Now.count(), Level, Text);
  if (LostLines > 0)
    Line += fmt::format(" lost_lines={}", std::exchange(LostLines, 0));
  // A pipe that is ready takes this much at once.
  if (Line.size() >= PIPE_BUF)
    Line.resize(PIPE_BUF - 1);
  Line += '\n';
  if (::write(STDOUT_FILENO, Line.data(), Line.size()) < 0)
    ++LostLines;
}

} // namespace

LogLine::LogLine(std::string_view Event, Severity Level)
    : Line_(fmt::format("event={}", Event)), Level_(Level) {}

LogLine::~LogLine() {
  if (UsesStandardOutput) {
    static constexpr std::array<std::string_view, 3> Names = {"info", "warning",
                                                              "error"};
    writeToStandardOutput(Names[static_cast<std::size_t>(Level_)], Line_);
    return;
  }
  switch (Level_) {
  case Severity::Info:
    LOG(INFO) << Line_;
    break;
  case Severity::Warning:
    LOG(WARNING) << Line_;
    break;
  case Severity::Error:
    LOG(ERROR) << Line_;
    break;
  }
}

void LogLine::append(std::string_view Key, std::string_view Content) {
  Line_ += ' ';
  Line_ += Key;
  Line_ += '=';
  Line_ += needsQuotes(Content) ? quote(Content) : std::string(Content);
}

void logToStandardOutput() { UsesStandardOutput = true; }

void startLogging(const char *Program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

} // namespace cassiashed
