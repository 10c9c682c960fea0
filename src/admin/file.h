#pragma once

#include "cassiashed/config/problem.h"
#include <optional>
#include <ostream>
#include <string>

namespace cassiashed::admin {

/// Reads a whole file; prints the cause if it cannot be read.
std::optional<std::string> readTextFile(const std::string &Path,
                                        std::ostream &Errors);

/// Prints one problem a line, ordered by line.
void printProblems(Problems Found, std::ostream &Errors);

} // namespace cassiashed::admin
