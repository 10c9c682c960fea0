#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cassiashed {

/// One error in a configuration file. Parsers report all errors at once.
struct Problem {
  std::string File;
  int Line = 0;        ///< counted from 1
  std::string Key;     ///< `section.key`, or the section alone
  std::string Text;    ///< what is wrong
  std::string Allowed; ///< what is allowed; empty if there is nothing to add
};

using Problems = std::vector<Problem>;

/// Formats as `file:line: key: text (allowed: ...)`.
std::string formatProblem(const Problem &Error);

} // namespace cassiashed
