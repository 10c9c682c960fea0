#pragma once

namespace cassiashed::admin {

/// Exit codes of the operator commands.
enum ExitCode : int {
  ExitSuccess = 0,
  ExitFailed = 1, ///< refused or failed; nothing was changed
  ExitUsage = 2,
  ExitConflict = 3, ///< another version of the configuration is in force
  ExitUnknown = 4,  ///< the change may have taken effect
  ExitWarnings = 5, ///< checked without an error, but with warnings
};

/// Text for `--help`.
inline constexpr const char *ExitCodeHelp =
    "Exit codes: 0 success, 1 refused or failed, 2 usage, 3 conflict with "
    "another\nversion of the configuration, 4 outcome unknown, 5 valid with "
    "warnings.\n";

} // namespace cassiashed::admin
