#pragma once

#include <string_view>

namespace cassiashed {

/// Logs the broken invariant with its place in the source and aborts.
[[noreturn]] void failInvariant(const char *Condition, const char *File,
                                int Line, std::string_view Text);

} // namespace cassiashed

/// Checks an invariant in every build. A broken invariant ends the process,
/// since its state can no longer be trusted.
#define CASSIASHED_INVARIANT(Condition, Text)                                  \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::cassiashed::failInvariant(#Condition, __FILE__, __LINE__, Text);       \
  } while (false)
