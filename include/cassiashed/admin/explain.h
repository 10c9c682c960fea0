#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace cassiashed::admin {

/// One line of a gateway's log.
struct LoggedLine {
  long long TimeMs = 0; ///< Unix milliseconds of the node's wall clock
  std::string Source;   ///< file, or what stands before the line's first field
  std::string Event;
  std::string Text; ///< from the event on
};

/// Reads the lines of one log; lines of other programs are left out.
std::vector<LoggedLine> readLog(std::istream &Input, const std::string &Source);

/// Prints the account of one request: its own lines, and those between its
/// first and last one that tell of its endpoints, the configuration, zones and
/// the store, in the order of time. Returns an `ExitCode`.
int explainRequest(const std::string &Id, std::vector<LoggedLine> Lines,
                   std::ostream &Out, std::ostream &Errors);

/// Reads the files and explains the request.
int explainFiles(const std::string &Id, const std::vector<std::string> &Files,
                 std::ostream &Out, std::ostream &Errors);

} // namespace cassiashed::admin
