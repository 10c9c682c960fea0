#include "node/status_service.h"

#include "cassiashed/wire/config_messages.h"
#include "node/broadcast.h"
#include <array>
#include <map>
#include <set>

namespace cassiashed {
namespace {

constexpr Duration PeerTimeout = std::chrono::milliseconds(800);
constexpr std::array<const char *, 4> MemberStates = {"alive", "leaving",
                                                      "suspect", "dead"};

Json describeZones(const ConfigInForce &Config) {
  Json Zones = Json::array();
  for (const ZoneConfig &Zone : Config.content().Zones)
    Zones.push_back({{"name", Zone.Name},
                     {"region", Zone.Region},
                     {"state", nameOf(Zone.State)}});
  return Zones;
}

/// Endpoints of the configuration, with what their owners report.
Json describeEndpoints(const ConfigInForce &Config,
                       const std::map<std::string, Json> &Reports) {
  Json Endpoints = Json::array();
  for (const EndpointConfig &Entry : Config.content().Endpoints) {
    Json Row = {{"name", Entry.Name},
                {"zone", Entry.Zone},
                {"kind", nameOf(Entry.Kind)},
                {"state", Config.isInService(Entry) ? "in" : "out"}};
    if (Entry.Kind == EndpointKind::Model)
      Row["capacity_tokens"] = Entry.CapacityTokens;
    const auto Report = Reports.find(Entry.Name);
    if (Report != Reports.end())
      Row.update(Report->second);
    Endpoints.push_back(std::move(Row));
  }
  return Endpoints;
}

} // namespace

Json StatusService::describeNode() const {
  const NodeStatus Self = Parts_.Self();
  const auto Config = Parts_.Table.current();
  return {{"name", Self.Node},
          {"zone", Self.Zone},
          {"incarnation", Self.Incarnation},
          {"version", Config ? Config->version() : 0},
          {"current", Self.Current},
          {"draining", Self.Draining},
          {"active_requests", Self.ActiveRequests},
          {"quarantined", Parts_.Crashes.quarantined()},
          {"owned", Parts_.Owners.describe()}};
}

http::Task<Json> StatusService::describeDeployment() const {
  std::vector<MemberRecord> Members;
  {
    const std::lock_guard Lock(Parts_.State.Mutex);
    Members = Parts_.State.Members->members();
  }
  const Json Self = describeNode();
  std::vector<std::string> Addresses;
  for (const MemberRecord &Member : Members)
    if (Member.State != MemberState::Dead && Member.Name != Self["name"])
      Addresses.push_back(Member.Address);
  Message Query = packMessage(MessageKind::StatusQuery, StatusQuery{});
  const Answers Received = co_await broadcast(
      Parts_.Peers, std::move(Addresses), std::move(Query), PeerTimeout);
  std::map<std::string, Json> ByName;
  ByName[readString(Self, "name")] = Self;
  std::string Reason;
  for (const CallResult &Result : Received) {
    const auto Body = unpackBody<StatusReply>(Result.Reply.Body, Reason);
    auto Parsed = Body ? parseJsonObject(Body->Json, Reason) : std::nullopt;
    if (Parsed)
      ByName[Result.Sender] = std::move(*Parsed);
  }
  Json Nodes = Json::array();
  std::map<std::string, Json> Reports;
  std::map<std::uint64_t, std::size_t> Versions;
  std::set<std::string> Quarantined;
  for (const MemberRecord &Member : Members) {
    Json Row = {
        {"name", Member.Name},
        {"zone", Member.Zone},
        {"address", Member.Address},
        {"state", MemberStates[static_cast<std::size_t>(Member.State)]}};
    const auto Report = ByName.find(Member.Name);
    if (Report != ByName.end()) {
      Row["version"] = Report->second["version"];
      Row["current"] = Report->second["current"];
      Row["draining"] = Report->second["draining"];
      Row["active_requests"] = Report->second["active_requests"];
      ++Versions[static_cast<std::uint64_t>(
          readInteger(Report->second, "version"))];
      for (Json Owned : Report->second["owned"]) {
        const std::string Endpoint = readString(Owned, "endpoint");
        Owned.erase("endpoint");
        Owned["owner"] = Member.Name;
        Owned["held_tokens"] = Owned["reserved_tokens"];
        // A full share or the larger epoch names the owner.
        const auto Known = Reports.find(Endpoint);
        if (Known == Reports.end() ||
            readInteger(Known->second, "epoch") <= readInteger(Owned, "epoch"))
          Reports[Endpoint] = std::move(Owned);
      }
      for (const Json &Content : Report->second["quarantined"])
        Quarantined.insert(Content.get<std::string>());
    }
    Nodes.push_back(std::move(Row));
  }
  Json VersionRows = Json::array();
  for (const auto &[Version, Count] : Versions)
    VersionRows.push_back({{"version", Version}, {"nodes", Count}});
  Json Result = {{"node", Self["name"]},
                 {"version", Self["version"]},
                 {"current", Self["current"]},
                 {"draining", Self["draining"]},
                 {"versions", std::move(VersionRows)},
                 {"nodes", std::move(Nodes)},
                 {"quarantined", Quarantined}};
  if (const auto Config = Parts_.Table.current()) {
    Result["zones"] = describeZones(*Config);
    Result["endpoints"] = describeEndpoints(*Config, Reports);
  }
  co_return Result;
}

} // namespace cassiashed
