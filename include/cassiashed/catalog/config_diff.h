#pragma once

#include "cassiashed/catalog/config_draft.h"
#include <string>
#include <string_view>
#include <vector>

namespace cassiashed::catalog {

enum class ChangeKind { Added, Removed, Changed };
std::string_view nameOf(ChangeKind Kind);

/// One difference between two configurations.
struct Change {
  ChangeKind Kind;
  std::string Entry;                ///< for example `route shop`
  std::vector<std::string> Details; ///< one a changed field or key
};

/// What `Next` changes in `InForce`. Entries are matched by name; API keys are
/// abbreviated.
std::vector<Change> compareConfigs(const ConfigDraft &InForce,
                                   const ConfigDraft &Next);

} // namespace cassiashed::catalog
