#pragma once

#include "cassiashed/store/config_store.h"
#include <ostream>
#include <string>

namespace cassiashed::admin {

struct ApplyOptions {
  std::string File;
  std::string Author;
  PublishOptions Publish;
};

/// Checks a deployment file and puts it into effect in place of the version
/// that it names. Returns an `ExitCode`.
int applyDeployment(const ApplyOptions &Options, TableService &Table,
                    ObjectStore &Objects, std::ostream &Out,
                    std::ostream &Errors);

} // namespace cassiashed::admin
