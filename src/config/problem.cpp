#include "cassiashed/config/problem.h"

#include <fmt/format.h>

namespace cassiashed {

std::string formatProblem(const Problem &Error) {
  std::string Line = Error.File;
  if (Error.Line > 0)
    Line += fmt::format(":{}", Error.Line);
  if (!Error.Key.empty())
    Line += ": " + Error.Key;
  Line += ": " + Error.Text;
  if (!Error.Allowed.empty())
    Line += fmt::format(" (allowed: {})", Error.Allowed);
  return Line;
}

} // namespace cassiashed
