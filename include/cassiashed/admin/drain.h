#pragma once

#include "cassiashed/control/operator_client.h"
#include <ostream>

namespace cassiashed::admin {

/// Starts the graceful shutdown of a node (`POST /drain`). Returns an
/// `ExitCode`.
int drainNode(const OperatorClientOptions &Node, std::ostream &Out,
              std::ostream &Errors);

} // namespace cassiashed::admin
