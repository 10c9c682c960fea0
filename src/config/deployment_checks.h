#pragma once

#include "cassiashed/config/deployment.h"
#include "config/key_rules.h"
#include <vector>

namespace cassiashed {

/// Lines of the sections and of the keys that cross checks refer to, in the
/// order of the lists in `Deployment`.
struct DeploymentLines {
  struct Workspace {
    int Section;
    int Key;
  };
  struct Endpoint {
    int Section;
    int Address;
    int Zone;
    int Models;
  };
  struct Service {
    int Section;
    int Endpoints;
    int NonIdempotentPaths;
  };
  std::vector<int> Zones;
  std::vector<Workspace> Workspaces;
  std::vector<int> Models;
  std::vector<Endpoint> Endpoints;
  std::vector<Service> Services;
};

/// Reports duplicates and references to things that do not exist.
void checkDeployment(const Deployment &Config, const DeploymentLines &Lines,
                     ProblemReporter &Report);

} // namespace cassiashed
