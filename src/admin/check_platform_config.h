#pragma once

#include "cassiashed/admin/check.h"
#include <string_view>

namespace cassiashed::admin {

/// Whether the text is a JSON object rather than a file of sections.
bool isPlatformConfig(std::string_view Text);

/// Checks `Text`, the content of `Options.File`.
int checkPlatformConfig(const CheckOptions &Options, std::string_view Text,
                        std::ostream &Out, std::ostream &Errors);

} // namespace cassiashed::admin
