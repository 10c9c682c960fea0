#pragma once

#include "cassiashed/control/operator_client.h"
#include <ostream>

namespace cassiashed::admin {

/// Returns the `ExitCode` of an operator call and prints the cause unless it
/// is success.
int reportOperatorCall(const OperatorResult &Result, std::ostream &Errors);

} // namespace cassiashed::admin
