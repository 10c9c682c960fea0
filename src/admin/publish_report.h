#pragma once

#include "cassiashed/store/config_store.h"
#include <ostream>
#include <string>

namespace cassiashed::admin {

/// 128 random bits in hexadecimal.
std::string makeApplyId();
/// The current time in UTC, ISO 8601.
std::string formatUtcNow();

/// Prints the outcome of a publication and returns its `ExitCode`.
int reportPublication(const PublishRequest &Request,
                      const PublishResult &Result, std::ostream &Out,
                      std::ostream &Errors);

} // namespace cassiashed::admin
