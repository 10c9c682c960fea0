#include "config/deployment_checks.h"

#include "config/nearest.h"
#include <algorithm>
#include <numeric>
#include <unordered_map>
#include <unordered_set>

namespace cassiashed {
namespace {

using NameSet = std::unordered_set<std::string_view>;

template <typename Entry>
NameSet collectNames(const std::vector<Entry> &Entries) {
  NameSet Names;
  for (const Entry &Item : Entries)
    Names.insert(Item.Name);
  return Names;
}

/// Calls `Found(index, index of the first)` for every entry whose key occurred
/// before. Sorting indices needs 4 bytes an entry, a hash map about 60.
template <typename KeyOf, typename Found>
void findDuplicates(std::size_t Count, KeyOf Key, Found Report) {
  std::vector<std::uint32_t> Order(Count);
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
    const auto &LeftKey = Key(Left);
    const auto &RightKey = Key(Right);
    return LeftKey != RightKey ? LeftKey < RightKey : Left < Right;
  });
  for (std::size_t First = 0, Next = 1; Next < Count; ++Next) {
    if (Key(Order[First]) == Key(Order[Next]))
      Report(Order[Next], Order[First]);
    else
      First = Next;
  }
}

std::string atLine(int Line) { return "first in line " + std::to_string(Line); }

class Checks {
public:
  Checks(const Deployment &Config, const DeploymentLines &Lines,
         ProblemReporter &Report)
      : Config_(Config), Lines_(Lines), Report_(Report),
        Zones_(collectNames(Config.Zones)),
        Models_(collectNames(Config.Models)) {
    for (const EndpointConfig &Endpoint : Config.Endpoints)
      Endpoints_.emplace(Endpoint.Name, &Endpoint);
  }

  void run() {
    checkNames("zone", Config_.Zones, [&](auto I) { return Lines_.Zones[I]; });
    checkNames("workspace", Config_.Workspaces,
               [&](auto I) { return Lines_.Workspaces[I].Section; });
    checkNames("model", Config_.Models,
               [&](auto I) { return Lines_.Models[I]; });
    checkNames("endpoint", Config_.Endpoints,
               [&](auto I) { return Lines_.Endpoints[I].Section; });
    checkNames("service", Config_.Services,
               [&](auto I) { return Lines_.Services[I].Section; });
    checkWorkspaceKeys();
    checkAddresses();
    for (std::size_t I = 0; I < Config_.Endpoints.size(); ++I)
      checkEndpoint(Config_.Endpoints[I], Lines_.Endpoints[I]);
    checkModelsHaveEndpoints();
    for (std::size_t I = 0; I < Config_.Services.size(); ++I)
      checkService(Config_.Services[I], Lines_.Services[I]);
  }

private:
  template <typename Entry, typename LineOf>
  void checkNames(std::string_view Type, const std::vector<Entry> &Entries,
                  LineOf Line) {
    findDuplicates(
        Entries.size(),
        [&](auto I) -> const std::string & { return Entries[I].Name; },
        [&](auto Later, auto First) {
          Report_.add(Line(Later),
                      std::string(Type) + " " + Entries[Later].Name,
                      "duplicate section, " + atLine(Line(First)));
        });
  }

  void checkWorkspaceKeys() {
    const auto &Workspaces = Config_.Workspaces;
    findDuplicates(
        Workspaces.size(),
        [&](auto I) -> const std::string & { return Workspaces[I].Key; },
        [&](auto Later, auto First) {
          // An empty key was already reported as missing or invalid.
          if (!Workspaces[Later].Key.empty())
            Report_.add(Lines_.Workspaces[Later].Key,
                        "workspace " + Workspaces[Later].Name + ".key",
                        "same key as workspace " + Workspaces[First].Name +
                            ", " + atLine(Lines_.Workspaces[First].Key));
        });
  }

  void checkAddresses() {
    const auto &Endpoints = Config_.Endpoints;
    findDuplicates(
        Endpoints.size(),
        [&](auto I) { return formatHostPort(Endpoints[I].Address); },
        [&](auto Later, auto First) {
          // Port 0: already reported as missing or invalid.
          if (Endpoints[Later].Address.Port != 0)
            Report_.add(Lines_.Endpoints[Later].Address,
                        "endpoint " + Endpoints[Later].Name + ".address",
                        "same address as endpoint " + Endpoints[First].Name +
                            ", " + atLine(Lines_.Endpoints[First].Address));
        });
  }

  void checkEndpoint(const EndpointConfig &Endpoint,
                     const DeploymentLines::Endpoint &Lines) {
    const std::string Section = "endpoint " + Endpoint.Name;
    if (!Endpoint.Zone.empty() && Zones_.count(Endpoint.Zone) == 0)
      reportUnknown(Lines.Zone, Section + ".zone", "zone", Endpoint.Zone,
                    Zones_);
    NameSet Seen;
    for (const std::string &Model : Endpoint.Models) {
      if (Models_.count(Model) == 0)
        reportUnknown(Lines.Models, Section + ".models", "model", Model,
                      Models_);
      if (!Seen.insert(Model).second)
        Report_.add(Lines.Models, Section + ".models",
                    "model " + Model + " is named twice");
    }
  }

  void checkModelsHaveEndpoints() {
    NameSet Served;
    for (const EndpointConfig &Endpoint : Config_.Endpoints)
      Served.insert(Endpoint.Models.begin(), Endpoint.Models.end());
    for (std::size_t I = 0; I < Config_.Models.size(); ++I)
      if (Served.count(Config_.Models[I].Name) == 0)
        Report_.add(Lines_.Models[I], "model " + Config_.Models[I].Name,
                    "no endpoint names this model in its models");
  }

  void checkService(const ServiceConfig &Service,
                    const DeploymentLines::Service &Lines) {
    const std::string Section = "service " + Service.Name;
    NameSet Seen;
    for (const std::string &Name : Service.Endpoints) {
      const auto Found = Endpoints_.find(Name);
      if (Found == Endpoints_.end())
        reportUnknown(Lines.Endpoints, Section + ".endpoints", "endpoint", Name,
                      collectNames(Config_.Endpoints));
      else if (Found->second->Kind != EndpointKind::Service)
        Report_.add(Lines.Endpoints, Section + ".endpoints",
                    "endpoint " + Name + " has kind=model", "kind=service");
      if (!Seen.insert(Name).second)
        Report_.add(Lines.Endpoints, Section + ".endpoints",
                    "endpoint " + Name + " is named twice");
    }
    const NameSet Idempotent(Service.IdempotentPaths.begin(),
                             Service.IdempotentPaths.end());
    for (const std::string &Path : Service.NonIdempotentPaths)
      if (Idempotent.count(Path) != 0)
        Report_.add(Lines.NonIdempotentPaths, Section + ".non_idempotent_paths",
                    "path " + Path + " is also in idempotent_paths");
  }

  void reportUnknown(int Line, std::string Key, std::string_view Type,
                     const std::string &Name, const NameSet &Known) {
    // Sorted, so that equally near names give the same message each time.
    std::vector<std::string_view> Names(Known.begin(), Known.end());
    std::sort(Names.begin(), Names.end());
    const std::string Nearest(findNearest(Name, Names));
    Report_.add(Line, std::move(Key),
                "unknown " + std::string(Type) + " " + Name +
                    (Nearest.empty() ? "" : ", did you mean " + Nearest + "?"));
  }

  const Deployment &Config_;
  const DeploymentLines &Lines_;
  ProblemReporter &Report_;
  NameSet Zones_;
  NameSet Models_;
  std::unordered_map<std::string_view, const EndpointConfig *> Endpoints_;
};

} // namespace

void checkDeployment(const Deployment &Config, const DeploymentLines &Lines,
                     ProblemReporter &Report) {
  Checks(Config, Lines, Report).run();
}

} // namespace cassiashed
