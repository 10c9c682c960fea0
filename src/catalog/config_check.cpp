#include "cassiashed/catalog/config_check.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace cassiashed::catalog {
namespace {

struct KindInfo {
  std::string_view Name;
  Severity Level;
};

/// In the order of FindingKind.
constexpr std::array<KindInfo, 18> Kinds = {{
    {"invalid-field", Severity::Error},
    {"misspelt-field", Severity::Warning},
    {"duplicate-name", Severity::Error},
    {"shadowed-route", Severity::Error},
    {"unmatchable-prefix", Severity::Error},
    {"unknown-service", Severity::Error},
    {"unused-service", Severity::Warning},
    {"no-weight", Severity::Error},
    {"shared-key", Severity::Error},
    {"no-key", Severity::Warning},
    {"objective-above-timeout", Severity::Error},
    {"pause-above-timeout", Severity::Error},
    {"attempts-without-repeat", Severity::Note},
    {"cold-time-without-rate", Severity::Warning},
    {"replica-range", Severity::Error},
    {"head-above-body", Severity::Warning},
    {"body-above-memory", Severity::Error},
    {"version-not-higher", Severity::Error},
}};
static_assert(Kinds.size() ==
              static_cast<std::size_t>(FindingKind::VersionNotHigher) + 1);

/// One run over a configuration.
struct Run {
  const ConfigDraft &Draft;
  const CheckContext &Context;
  std::vector<Finding> Found;

  void add(FindingKind Kind, Place Where, std::string Text) {
    Found.push_back({Kind, Where, std::move(Text)});
  }
};

std::string formatMs(Duration Time) {
  return std::to_string(Time.count()) + " ms";
}

Place placeInRoute(std::size_t Index, ConfigField Field) {
  return {ConfigPart::Route, Index, Field, std::nullopt};
}

void checkPrefix(Run &Check, std::size_t Index) {
  const std::string &Prefix = Check.Draft.Config.Routes[Index].PathPrefix;
  if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
    Check.add(FindingKind::UnmatchablePrefix,
              placeInRoute(Index, ConfigField::PathPrefix),
              "the prefix \"" + Prefix + "\" must begin and end with a slash");
}

void checkTimes(Run &Check, std::size_t Index) {
  const Route &Entry = Check.Draft.Config.Routes[Index];
  if (Entry.Timeout.count() <= 0)
    return;
  if (Entry.FirstByteTarget > Entry.Timeout)
    Check.add(FindingKind::ObjectiveAboveTimeout,
              placeInRoute(Index, ConfigField::FirstByteTarget),
              "the objective of " + formatMs(Entry.FirstByteTarget) +
                  " is above the timeout of " + formatMs(Entry.Timeout));
  if (Entry.TokenGapTarget > Entry.Timeout)
    Check.add(FindingKind::PauseAboveTimeout,
              placeInRoute(Index, ConfigField::TokenGapTarget),
              "the longest pause of " + formatMs(Entry.TokenGapTarget) +
                  " is above the timeout of " + formatMs(Entry.Timeout));
}

void checkAttempts(Run &Check, std::size_t Index) {
  const Route &Entry = Check.Draft.Config.Routes[Index];
  if (Entry.MaxAttempts > 1 && !Entry.isRetryable())
    Check.add(FindingKind::AttemptsWithoutRepeat,
              placeInRoute(Index, ConfigField::MaxAttempts),
              std::to_string(Entry.MaxAttempts) +
                  " attempts are allowed, but requests of this route must not "
                  "be repeated: another one follows only a proven refusal");
}

Place placeOfTarget(const Run &Check, std::size_t Index, std::size_t Item) {
  if (!Check.Draft.Routes[Index].HasSplit)
    return placeInRoute(Index, ConfigField::Service);
  return {ConfigPart::Route, Index, ConfigField::Split, Item};
}

void checkTargets(Run &Check, std::size_t Index) {
  const auto &Targets = Check.Draft.Config.Routes[Index].Services;
  for (std::size_t Item = 0; Item < Targets.size(); ++Item)
    if (!Check.Draft.Config.findService(Targets[Item].Service))
      Check.add(FindingKind::UnknownService, placeOfTarget(Check, Index, Item),
                "there is no service " + Targets[Item].Service);
}

void checkWeights(Run &Check, std::size_t Index) {
  const auto &Targets = Check.Draft.Config.Routes[Index].Services;
  if (std::none_of(Targets.begin(), Targets.end(),
                   [](const auto &Target) { return Target.Weight > 0; }))
    Check.add(FindingKind::NoWeight, placeInRoute(Index, ConfigField::Split),
              "no service has a weight above 0");
}

void checkColdRate(Run &Check, std::size_t Index) {
  const Service *Entry =
      Check.Draft.Config.findService(Check.Draft.Services[Index].Name);
  if (Entry && Entry->ColdStart.count() > 0 &&
      Entry->ColdRequestsPerSecond <= 0)
    Check.add(FindingKind::ColdTimeWithoutRate,
              {ConfigPart::Service, Index, ConfigField::ColdRate, std::nullopt},
              "replicas are cold for " + formatMs(Entry->ColdStart) +
                  ", but a rate of 0 sets no limit to their requests");
}

void checkReplicaRange(Run &Check, std::size_t Index) {
  const WrittenService &Entry = Check.Draft.Services[Index];
  if (Entry.MinReplicas && Entry.MaxReplicas &&
      *Entry.MinReplicas > *Entry.MaxReplicas)
    Check.add(
        FindingKind::ReplicaRange,
        {ConfigPart::Service, Index, ConfigField::MinReplicas, std::nullopt},
        "at least " + std::to_string(*Entry.MinReplicas) +
            " replicas, but at most " + std::to_string(*Entry.MaxReplicas));
}

void checkUse(Run &Check, std::size_t Index) {
  const std::string &Name = Check.Draft.Services[Index].Name;
  for (const Route &Entry : Check.Draft.Config.Routes)
    for (const WeightedService &Target : Entry.Services)
      if (Target.Service == Name)
        return;
  Check.add(FindingKind::UnusedService,
            {ConfigPart::Service, Index, ConfigField::Name, std::nullopt},
            "no route names the service " + Name);
}

void checkHasKey(Run &Check, std::size_t Index) {
  const WrittenWorkspace &Entry = Check.Draft.Workspaces[Index];
  if (Entry.Keys.empty())
    Check.add(FindingKind::NoKey,
              {ConfigPart::Workspace, Index, ConfigField::Keys, std::nullopt},
              "the workspace " + Entry.Name +
                  " has no API key, so no request belongs to it");
}

void checkShadows(Run &Check) {
  std::map<std::pair<std::string, std::string>, std::size_t> First;
  const auto &Routes = Check.Draft.Config.Routes;
  for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
    const auto [Same, IsNew] = First.try_emplace(
        {Routes[Index].Host, Routes[Index].PathPrefix}, Index);
    if (!IsNew)
      Check.add(FindingKind::ShadowedRoute,
                placeInRoute(Index, ConfigField::PathPrefix),
                "never matches: route " +
                    Check.Draft.Routes[Same->second].Name +
                    " has the same host and prefix and comes first");
  }
}

void checkKeys(Run &Check) {
  std::map<std::string, std::size_t> First;
  const auto &Workspaces = Check.Draft.Workspaces;
  for (std::size_t Index = 0; Index < Workspaces.size(); ++Index)
    for (std::size_t Item = 0; Item < Workspaces[Index].Keys.size(); ++Item) {
      const std::string &Key = Workspaces[Index].Keys[Item];
      const auto [Same, IsNew] = First.try_emplace(Key, Index);
      if (!IsNew)
        Check.add(FindingKind::SharedKey,
                  {ConfigPart::Workspace, Index, ConfigField::Keys, Item},
                  "the key " + abbreviateKey(Key) +
                      " is also a key of workspace " +
                      Workspaces[Same->second].Name);
    }
}

template <typename Entry>
void checkNames(Run &Check, ConfigPart Part, const std::vector<Entry> &List) {
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < List.size(); ++Index)
    if (!Seen.insert(List[Index].Name).second)
      Check.add(FindingKind::DuplicateName,
                {Part, Index, ConfigField::Name, std::nullopt},
                "the name " + List[Index].Name + " occurs before");
}

void checkAllNames(Run &Check) {
  checkNames(Check, ConfigPart::Route, Check.Draft.Routes);
  checkNames(Check, ConfigPart::Service, Check.Draft.Services);
  checkNames(Check, ConfigPart::Workspace, Check.Draft.Workspaces);
}

void checkLimits(Run &Check) {
  const CallerLimits &Limits = Check.Draft.Config.Limits;
  const auto FormatBytes = [](std::uint64_t Bytes) {
    return std::to_string(Bytes) + " bytes";
  };
  if (Limits.HeadBytes > Limits.BodyBytes)
    Check.add(FindingKind::HeadAboveBody,
              {ConfigPart::Limits, 0, ConfigField::HeadBytes, std::nullopt},
              "headers may have " + FormatBytes(Limits.HeadBytes) +
                  ", bodies only " + FormatBytes(Limits.BodyBytes));
  if (Check.Context.HostMemoryBytes &&
      Limits.BodyBytes > *Check.Context.HostMemoryBytes)
    Check.add(FindingKind::BodyAboveMemory,
              {ConfigPart::Limits, 0, ConfigField::BodyBytes, std::nullopt},
              "one body may have " + FormatBytes(Limits.BodyBytes) +
                  ", a host has " +
                  FormatBytes(*Check.Context.HostMemoryBytes) + " of memory");
}

void checkVersion(Run &Check) {
  const auto &InForce = Check.Context.VersionInForce;
  if (InForce && Check.Draft.Config.Version <= *InForce)
    Check.add(FindingKind::VersionNotHigher,
              {ConfigPart::Document, 0, ConfigField::Version, std::nullopt},
              "version " + std::to_string(Check.Draft.Config.Version) +
                  " is not above " + std::to_string(*InForce) +
                  ", the version in force");
}

using EntryCheck = void (*)(Run &, std::size_t);
constexpr std::array<EntryCheck, 5> RouteChecks = {
    checkPrefix, checkTimes, checkAttempts, checkTargets, checkWeights};
constexpr std::array<EntryCheck, 3> ServiceChecks = {
    checkColdRate, checkReplicaRange, checkUse};
constexpr std::array<EntryCheck, 1> WorkspaceChecks = {checkHasKey};
constexpr std::array<void (*)(Run &), 5> WholeChecks = {
    checkVersion, checkAllNames, checkShadows, checkKeys, checkLimits};

template <std::size_t Count>
void runEach(Run &Check, const std::array<EntryCheck, Count> &Checks,
             std::size_t Entries) {
  for (std::size_t Index = 0; Index < Entries; ++Index)
    for (const EntryCheck Each : Checks)
      Each(Check, Index);
}

} // namespace

std::string_view nameOf(Severity Level) {
  static constexpr std::array<std::string_view, 3> Names = {"error", "warning",
                                                            "note"};
  return Names[static_cast<std::size_t>(Level)];
}

std::string_view nameOf(FindingKind Kind) {
  return Kinds[static_cast<std::size_t>(Kind)].Name;
}

Severity severityOf(FindingKind Kind) {
  return Kinds[static_cast<std::size_t>(Kind)].Level;
}

std::string abbreviateKey(const std::string &Key) {
  constexpr std::size_t Shown = 4;
  // Of a short key, the first characters would give away too much.
  return Key.size() < 4 * Shown ? "(not shown)" : Key.substr(0, Shown) + "...";
}

std::vector<Finding> checkConfig(const ConfigDraft &Draft,
                                 const CheckContext &Context) {
  Run Check{Draft, Context, {}};
  for (const auto Each : WholeChecks)
    Each(Check);
  runEach(Check, RouteChecks, Draft.Config.Routes.size());
  runEach(Check, ServiceChecks, Draft.Services.size());
  runEach(Check, WorkspaceChecks, Draft.Workspaces.size());
  return std::move(Check.Found);
}

} // namespace cassiashed::catalog
