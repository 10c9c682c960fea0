#pragma once

#include "cassiashed/config/settings.h"

namespace cassiashed {

/// Runs one node until it is told to stop. Returns the exit code.
int runNode(const Settings &Options);

} // namespace cassiashed
