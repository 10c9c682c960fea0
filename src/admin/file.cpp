#include "admin/file.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace cassiashed::admin {

std::optional<std::string> readTextFile(const std::string &Path,
                                        std::ostream &Errors) {
  std::ifstream Input(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Input || !(Text << Input.rdbuf())) {
    Errors << Path << ": " << std::strerror(errno) << "\n";
    return std::nullopt;
  }
  return Text.str();
}

void printProblems(Problems Found, std::ostream &Errors) {
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Problem &Left, const Problem &Right) {
                     return Left.Line < Right.Line;
                   });
  for (const Problem &Error : Found)
    Errors << formatProblem(Error) << "\n";
}

} // namespace cassiashed::admin
