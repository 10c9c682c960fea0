#include "cassiashed/catalog/config_check.h"
#include "cassiashed/catalog/config_diff.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::catalog;

namespace {

constexpr const char *FirstKey = "abcdefghijklmnopqrst";
constexpr const char *SecondKey = "bcdefghijklmnopqrstu";

/// A configuration without a fault: a split stream and a call that must not be
/// repeated.
ConfigDraft makeDraft() {
  ConfigDraft Result;
  Result.Config.Version = 5;
  Result.Config.HasWorkspaces = true;
  Route Stream;
  Stream.Host = "shop.example";
  Stream.PathPrefix = "/chat/";
  Stream.Kind = CallKind::Stream;
  Stream.Resumable = true;
  Stream.MaxAttempts = 2;
  Stream.Timeout = Duration(10000);
  Stream.FirstByteTarget = Duration(300);
  Stream.TokenGapTarget = Duration(250);
  Stream.Services = {{"llm", 90}, {"app", 10}};
  Route Call;
  Call.Host = "shop.example";
  Call.PathPrefix = "/";
  Call.Services = {{"app", 1}};
  Result.Config.Routes = {Stream, Call};
  Result.Routes = {{"chat", true, {}}, {"rest", false, {}}};
  Service Engine;
  Engine.Name = "llm";
  Engine.ColdStart = Duration(3000);
  Engine.ColdRequestsPerSecond = 20;
  Result.Config.Services = {{"llm", Engine}, {"app", Service{"app"}}};
  Result.Services = {{"llm", 2, 4, {}}, {"app", {}, {}, {}}};
  Result.Config.Workspaces = {{"one"}, {"two"}};
  Result.Workspaces = {{"one", {FirstKey}, {}}, {"two", {SecondKey}, {}}};
  return Result;
}

const CheckContext Known{4, 64U << 20U};

struct Case {
  FindingKind Kind;
  ConfigPart Part;
  std::size_t Index;
  ConfigField Field;
  void (*Spoil)(ConfigDraft &);
};

const std::vector<Case> Cases = {
    {FindingKind::DuplicateName, ConfigPart::Route, 1, ConfigField::Name,
     [](ConfigDraft &Draft) { Draft.Routes[1].Name = "chat"; }},
    {FindingKind::DuplicateName, ConfigPart::Service, 2, ConfigField::Name,
     [](ConfigDraft &Draft) { Draft.Services.push_back({"llm"}); }},
    {FindingKind::DuplicateName, ConfigPart::Workspace, 1, ConfigField::Name,
     [](ConfigDraft &Draft) { Draft.Workspaces[1].Name = "one"; }},
    {FindingKind::ShadowedRoute, ConfigPart::Route, 1, ConfigField::PathPrefix,
     [](ConfigDraft &Draft) { Draft.Config.Routes[1].PathPrefix = "/chat/"; }},
    {FindingKind::UnmatchablePrefix, ConfigPart::Route, 1,
     ConfigField::PathPrefix,
     [](ConfigDraft &Draft) { Draft.Config.Routes[1].PathPrefix = "buy/"; }},
    {FindingKind::UnmatchablePrefix, ConfigPart::Route, 1,
     ConfigField::PathPrefix,
     [](ConfigDraft &Draft) { Draft.Config.Routes[1].PathPrefix = "/buy"; }},
    {FindingKind::UnknownService, ConfigPart::Route, 0, ConfigField::Split,
     [](ConfigDraft &Draft) {
       Draft.Config.Routes[0].Services.push_back({"lost", 1});
     }},
    {FindingKind::UnknownService, ConfigPart::Route, 1, ConfigField::Service,
     [](ConfigDraft &Draft) {
       Draft.Config.Routes[1].Services[0].Service = "lost";
     }},
    {FindingKind::UnusedService, ConfigPart::Service, 2, ConfigField::Name,
     [](ConfigDraft &Draft) { Draft.Services.push_back({"idle"}); }},
    {FindingKind::NoWeight, ConfigPart::Route, 0, ConfigField::Split,
     [](ConfigDraft &Draft) {
       for (WeightedService &Each : Draft.Config.Routes[0].Services)
         Each.Weight = 0;
     }},
    {FindingKind::SharedKey, ConfigPart::Workspace, 1, ConfigField::Keys,
     [](ConfigDraft &Draft) { Draft.Workspaces[1].Keys.push_back(FirstKey); }},
    {FindingKind::NoKey, ConfigPart::Workspace, 1, ConfigField::Keys,
     [](ConfigDraft &Draft) { Draft.Workspaces[1].Keys.clear(); }},
    {FindingKind::ObjectiveAboveTimeout, ConfigPart::Route, 0,
     ConfigField::FirstByteTarget,
     [](ConfigDraft &Draft) {
       Draft.Config.Routes[0].FirstByteTarget = Duration(10001);
     }},
    {FindingKind::PauseAboveTimeout, ConfigPart::Route, 0,
     ConfigField::TokenGapTarget,
     [](ConfigDraft &Draft) {
       Draft.Config.Routes[0].TokenGapTarget = Duration(10001);
     }},
    {FindingKind::AttemptsWithoutRepeat, ConfigPart::Route, 1,
     ConfigField::MaxAttempts,
     [](ConfigDraft &Draft) { Draft.Config.Routes[1].MaxAttempts = 2; }},
    {FindingKind::ColdTimeWithoutRate, ConfigPart::Service, 0,
     ConfigField::ColdRate,
     [](ConfigDraft &Draft) {
       Draft.Config.Services["llm"].ColdRequestsPerSecond = 0;
     }},
    {FindingKind::ReplicaRange, ConfigPart::Service, 0,
     ConfigField::MinReplicas,
     [](ConfigDraft &Draft) { Draft.Services[0].MinReplicas = 5; }},
    {FindingKind::HeadAboveBody, ConfigPart::Limits, 0, ConfigField::HeadBytes,
     [](ConfigDraft &Draft) { Draft.Config.Limits.BodyBytes = 1024; }},
    {FindingKind::BodyAboveMemory, ConfigPart::Limits, 0,
     ConfigField::BodyBytes,
     [](ConfigDraft &Draft) { Draft.Config.Limits.BodyBytes = 65U << 20U; }},
    {FindingKind::VersionNotHigher, ConfigPart::Document, 0,
     ConfigField::Version,
     [](ConfigDraft &Draft) { Draft.Config.Version = 4; }},
};

} // namespace

// Guards against false alarms: they teach operators to ignore the check.
TEST_CASE("a configuration without a fault has no findings") {
  CHECK(checkConfig(makeDraft(), Known).empty());
  CHECK(checkConfig(makeDraft(), {}).empty());
}

// Guards against a fault that is not found, is found at another place, or hides
// behind a second finding.
TEST_CASE("each fault gives exactly one finding at its place") {
  for (const Case &Each : Cases) {
    INFO(nameOf(Each.Kind));
    ConfigDraft Draft = makeDraft();
    Each.Spoil(Draft);
    const std::vector<Finding> Found = checkConfig(Draft, Known);
    REQUIRE(Found.size() == 1);
    CHECK(Found[0].Kind == Each.Kind);
    CHECK(Found[0].Where.Part == Each.Part);
    CHECK(Found[0].Where.Index == Each.Index);
    CHECK(Found[0].Where.Field == Each.Field);
    CHECK(Found[0].Text.find(FirstKey) == std::string::npos);
  }
}

// Guards against a change that the operator did not intend and does not see,
// and against API keys in terminals and logs.
TEST_CASE("differences are named entry by entry, without whole keys") {
  ConfigDraft Old = makeDraft();
  Old.Routes[0].Fields = {{"time", "10"}, {"rank", "1"}};
  ConfigDraft New = Old;
  CHECK(compareConfigs(Old, New).empty());
  New.Routes[0].Fields = {{"time", "20"}, {"repeat", "true"}};
  New.Routes[1].Name = "other";
  New.Services.pop_back();
  New.Workspaces[1].Keys = {"cdefghijklmnopqrstuv", "short"};
  New.LimitFields = {{"limits.body", "5"}};
  New.Config.HasWorkspaces = false;
  const std::vector<Change> Found = compareConfigs(Old, New);
  REQUIRE(Found.size() == 7);
  CHECK(Found[0].Entry == "route chat");
  CHECK(Found[0].Kind == ChangeKind::Changed);
  CHECK(Found[0].Details == std::vector<std::string>{"rank removed (was 1)",
                                                     "time: 10 -> 20",
                                                     "repeat added: true"});
  CHECK(Found[1].Entry == "route other");
  CHECK(Found[1].Kind == ChangeKind::Added);
  CHECK(Found[2].Entry == "route rest");
  CHECK(Found[2].Kind == ChangeKind::Removed);
  CHECK(Found[3].Entry == "service app");
  CHECK(Found[4].Entry == "workspace two");
  CHECK(Found[4].Details == std::vector<std::string>{"key bcde... removed",
                                                     "key cdef... added",
                                                     "key (not shown) added"});
  CHECK(Found[5].Details == std::vector<std::string>{"limits.body added: 5"});
  CHECK(Found[6].Entry == "access");
}
