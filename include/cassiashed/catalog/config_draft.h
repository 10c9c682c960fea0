#pragma once

#include "cassiashed/catalog/service_config.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiashed::catalog {

/// Path of each field to its value, as the operator wrote them. Keys of
/// workspaces are not among them, so that they are never printed.
using WrittenFields = std::map<std::string, std::string>;

struct WrittenRoute {
  std::string Name; ///< host and prefix if the operator gave no name
  bool HasSplit = false;
  WrittenFields Fields;
};

struct WrittenService {
  std::string Name;
  std::optional<int> MinReplicas;
  std::optional<int> MaxReplicas;
  WrittenFields Fields;
};

struct WrittenWorkspace {
  std::string Name;
  std::vector<std::string> Keys;
  WrittenFields Fields;
};

/// A configuration that is not in force yet, with what ServiceConfig does not
/// keep: repeated entries and their order, and fields that no node uses.
struct ConfigDraft {
  ServiceConfig Config;
  std::vector<WrittenRoute> Routes; ///< in the order of Config.Routes
  std::vector<WrittenService> Services;
  std::vector<WrittenWorkspace> Workspaces;
  WrittenFields LimitFields;
};

} // namespace cassiashed::catalog
