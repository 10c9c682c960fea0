#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace cassiashed::admin {

struct CheckOptions {
  std::string File;
  // For a configuration of the platform only:
  std::optional<std::string> InForceFile; ///< version to compare with
  std::optional<std::uint64_t> HostMemoryMb;
  bool AsJson = false;
};

/// Checks a settings file, a deployment file (told by their sections) or a
/// configuration of the platform (a JSON object) and prints every problem.
/// Returns an `ExitCode`.
int checkFile(const CheckOptions &Options, std::ostream &Out,
              std::ostream &Errors);

} // namespace cassiashed::admin
