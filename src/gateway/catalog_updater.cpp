#include "gateway/catalog_updater.h"

#include "cassiashed/text/json.h"

namespace cassiashed::gateway {
namespace {

using catalog::EndpointDirectory;
using catalog::Row;
using catalog::Table;

/// After an outage of the store, live endpoints renew their expired
/// registrations within two seconds. Removals in this window are therefore
/// delayed, but by less than the bound on removed endpoints, which is two
/// seconds too.
constexpr Duration StoreRecoveryWindow{2500};
constexpr Duration RemovalDelay{1700};

} // namespace

std::string encodeNodeRow(const std::string &Host, double CpuShare) {
  return Json({{"host", Host}, {"cpu_share", CpuShare}}).dump();
}

void CatalogUpdater::apply(Table TableId, const std::vector<Row> &Rows,
                           TimePoint StoreRegainedAt) {
  for (const Row &RowChange : Rows)
    switch (TableId) {
    case Table::Operator:
      applyOperatorRow(RowChange);
      break;
    case Table::Endpoints:
      applyEndpointRow(RowChange, StoreRegainedAt);
      break;
    case Table::Nodes:
      applyNodeRow(RowChange);
      break;
    }
  prepareTimelines();
}

void CatalogUpdater::applyOperatorRow(const Row &RowChange) {
  if (RowChange.Removed) {
    const std::string Zone = State_.Protocol.zoneOfOperatorKey(RowChange.Key);
    if (!Zone.empty()) {
      State_.Directory.setZoneOut(Zone, false);
      logEvent("zone_in").field("zone", Zone).field("row", RowChange.Version);
    }
    return;
  }
  std::string Reason;
  std::optional<OperatorRow> Decoded =
      State_.Protocol.decodeOperatorRow(RowChange, Reason);
  if (!Decoded) {
    logWarning("operator_row_rejected")
        .field("key", RowChange.Key)
        .field("row", RowChange.Version)
        .field("reason", Reason);
    return;
  }
  if (auto *Config = std::get_if<catalog::ServiceConfig>(&*Decoded)) {
    const std::uint64_t Before = State_.Config ? State_.Config->Version : 0;
    if (Config->Version <= Before)
      return; // never go back to an older version
    State_.Config =
        std::make_shared<const catalog::ServiceConfig>(std::move(*Config));
    logEvent("config_in_force")
        .field("version", State_.Config->Version)
        .field("before", Before)
        .field("row", RowChange.Version)
        .field("routes", State_.Config->Routes.size());
  } else if (const auto *Order = std::get_if<ZoneOutOrder>(&*Decoded)) {
    State_.Directory.setZoneOut(Order->Zone, true);
    logEvent("zone_out")
        .field("zone", Order->Zone)
        .field("row", RowChange.Version);
  }
}

void CatalogUpdater::applyEndpointRow(const Row &RowChange,
                                      TimePoint StoreRegainedAt) {
  const TimePoint Now = State_.now();
  if (RowChange.Removed) {
    if (!State_.Directory.find(RowChange.Key))
      return;
    if (Now - StoreRegainedAt < StoreRecoveryWindow)
      PendingRemovals_.emplace(RowChange.Key, Now + RemovalDelay);
    else
      removeEndpoint(RowChange.Key, "left");
    return;
  }
  PendingRemovals_.erase(RowChange.Key);
  std::string Reason;
  const std::optional<catalog::Endpoint> Decoded =
      State_.Protocol.decodeEndpoint(RowChange, Reason);
  if (!Decoded) {
    logWarning("endpoint_row_rejected")
        .field("endpoint", RowChange.Key)
        .field("row", RowChange.Version)
        .field("reason", Reason);
    removeEndpoint(RowChange.Key, "registration cannot be decoded");
    return;
  }
  const catalog::EndpointRef Before = State_.Directory.find(RowChange.Key);
  const EndpointDirectory::Change Change = State_.Directory.put(*Decoded, Now);
  if (Change == EndpointDirectory::Change::Restarted) {
    State_.Load.removeEndpoint(RowChange.Key);
    State_.Stated.remove(Before->Number);
    State_.Pool.closeIdle(Before->Number);
    State_.confirmCrashes(*Before);
  }
  if (Decoded->State == catalog::EndpointState::Draining)
    State_.Pool.closeIdle(State_.Directory.find(RowChange.Key)->Number);
  State_.Log.write("endpoint_updated", Now, [&](LogLine &Line) {
    Line.field("endpoint", RowChange.Key)
        .field("service", Decoded->Service)
        .field("zone", Decoded->Zone)
        .field("state", catalog::nameOf(Decoded->State))
        .field("cold_ms", Decoded->ColdRemaining.count())
        .field("new", Change != EndpointDirectory::Change::Updated)
        .field("row", RowChange.Version);
  });
}

void CatalogUpdater::removeEndpoint(const std::string &Id,
                                    std::string_view Reason) {
  const catalog::EndpointRef Known = State_.Directory.find(Id);
  if (!Known)
    return;
  State_.Directory.remove(Id);
  State_.Pool.closeIdle(Known->Number);
  State_.Load.removeEndpoint(Id);
  State_.Health.remove(Known->Number);
  State_.Cold.remove(Known->Number);
  State_.Stated.remove(Known->Number);
  State_.confirmCrashes(*Known);
  State_.Log.write("endpoint_removed", State_.now(), [&](LogLine &Line) {
    Line.field("endpoint", Id).field("reason", Reason);
  });
}

void CatalogUpdater::applyNodeRow(const Row &RowChange) {
  if (RowChange.Removed) {
    State_.Nodes->removeNode(RowChange.Key);
    return;
  }
  std::string Reason;
  const std::optional<Json> Value = parseJsonObject(RowChange.Value, Reason);
  const std::string Host = Value ? readString(*Value, "host") : "";
  if (Host.empty()) {
    logWarning("node_row_rejected")
        .field("node", RowChange.Key)
        .field("reason", Reason.empty() ? "no host" : Reason);
    return;
  }
  State_.Nodes->addNode(RowChange.Key, Host, readNumber(*Value, "cpu_share"));
}

void CatalogUpdater::prepareTimelines() {
  if (!State_.Config)
    return;
  for (const auto &[Id, Known] : State_.Directory.all()) {
    const catalog::Service *Service =
        State_.Config->findService(Known->Entry.Service);
    if (Service && Service->Engine)
      State_.Load.timeline(Id, *Service->Engine);
  }
}

void CatalogUpdater::tick(TimePoint Now) {
  for (auto Removal = PendingRemovals_.begin();
       Removal != PendingRemovals_.end();) {
    if (Removal->second > Now) {
      ++Removal;
      continue;
    }
    removeEndpoint(Removal->first, "expired while the store was unavailable");
    Removal = PendingRemovals_.erase(Removal);
  }
}

} // namespace cassiashed::gateway
