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
/// An order that the store lost with a restore stays in force for this long:
/// the operator writes it again, and a zone that returns too early gets
/// requests against an acknowledged order. One that stays out too long only
/// lacks capacity.
constexpr Duration LostOrderRetention{15000};

} // namespace

std::string encodeNodeRow(const std::string &Host, double CpuShare) {
  return Json({{"host", Host}, {"cpu_share", CpuShare}}).dump();
}

void CatalogUpdater::apply(Table TableId, const std::vector<Row> &Rows,
                           TimePoint StoreRegainedAt, bool BeginsEra) {
  // What an earlier restore lost was perhaps written again and lost once more.
  if (BeginsEra && TableId == Table::Operator)
    for (auto &[Zone, KeptUntil] : LostZoneOrders_)
      KeptUntil = State_.now() + LostOrderRetention;
  if (BeginsEra && TableId == Table::Endpoints)
    Restored_.beginEra(State_.now());
  for (const Row &RowChange : Rows)
    switch (TableId) {
    case Table::Operator:
      applyOperatorRow(RowChange, BeginsEra);
      break;
    case Table::Endpoints:
      applyEndpointRow(RowChange, StoreRegainedAt, BeginsEra);
      break;
    case Table::Nodes:
      applyNodeRow(RowChange);
      break;
    }
  prepareTimelines();
}

void CatalogUpdater::returnZone(const std::string &Zone,
                                std::uint64_t Version) {
  State_.Directory.setZoneOut(Zone, false);
  logEvent("zone_in").field("zone", Zone).field("row", Version);
}

void CatalogUpdater::applyOperatorRow(const Row &RowChange, bool BeginsEra) {
  if (RowChange.Removed) {
    const std::string Zone = State_.Protocol.zoneOfOperatorKey(RowChange.Key);
    if (Zone.empty())
      return;
    if (BeginsEra) {
      LostZoneOrders_[Zone] = State_.now() + LostOrderRetention;
      logWarning("zone_order_lost")
          .field("zone", Zone)
          .field("kept_ms", LostOrderRetention.count());
      return;
    }
    LostZoneOrders_.erase(Zone);
    returnZone(Zone, RowChange.Version);
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
    LostZoneOrders_.erase(Order->Zone);
    State_.Directory.setZoneOut(Order->Zone, true);
    logEvent("zone_out")
        .field("zone", Order->Zone)
        .field("row", RowChange.Version);
  }
}

void CatalogUpdater::applyEndpointRow(const Row &RowChange,
                                      TimePoint StoreRegainedAt,
                                      bool BeginsEra) {
  const TimePoint Now = State_.now();
  Restored_.recordRow(RowChange, BeginsEra, Now);
  if (RowChange.Removed) {
    const catalog::EndpointRef Known = State_.Directory.find(RowChange.Key);
    if (!Known)
      return;
    if (BeginsEra || Now - StoreRegainedAt < StoreRecoveryWindow) {
      const bool WasLost =
          BeginsEra && Known->Entry.State != catalog::EndpointState::Draining;
      PendingRemoval &Pending =
          PendingRemovals_
              .try_emplace(RowChange.Key,
                           PendingRemoval{Now + RemovalDelay, WasLost})
              .first->second;
      Pending.WasLost = Pending.WasLost && WasLost;
    } else {
      Restored_.recordRemoval(Known->Entry, Now);
      removeEndpoint(RowChange.Key, "left");
    }
    return;
  }
  std::string Reason;
  const std::optional<catalog::Endpoint> Decoded =
      State_.Protocol.decodeEndpoint(RowChange, Reason);
  const catalog::EndpointRef Before = State_.Directory.find(RowChange.Key);
  if (BeginsEra && Decoded) {
    const auto Pending = PendingRemovals_.find(RowChange.Key);
    const bool IsLeaving =
        Pending != PendingRemovals_.end() && !Pending->second.WasLost;
    const HeldReason Held =
        Restored_.hold(RowChange, *Decoded, Before, IsLeaving, Now);
    if (Held != HeldReason::None) {
      logWarning("endpoint_row_held")
          .field("endpoint", RowChange.Key)
          .field("row", RowChange.Version)
          .field("reason", nameOf(Held));
      return;
    }
  }
  PendingRemovals_.erase(RowChange.Key);
  if (!Decoded) {
    logWarning("endpoint_row_rejected")
        .field("endpoint", RowChange.Key)
        .field("row", RowChange.Version)
        .field("reason", Reason);
    removeEndpoint(RowChange.Key, "registration cannot be decoded");
    return;
  }
  const EndpointDirectory::Change Change = State_.Directory.put(*Decoded, Now);
  if (Change == EndpointDirectory::Change::Restarted) {
    State_.Load.removeEndpoint(RowChange.Key);
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
  for (auto Lost = LostZoneOrders_.begin(); Lost != LostZoneOrders_.end();) {
    if (Lost->second > Now) {
      ++Lost;
      continue;
    }
    returnZone(Lost->first, 0);
    Lost = LostZoneOrders_.erase(Lost);
  }
  for (const Row &Due : Restored_.takeDue(Now))
    applyEndpointRow(Due, TimePoint(), false);
  carryOutRemovals(Now);
}

void CatalogUpdater::carryOutRemovals(TimePoint Now) {
  for (auto Next = PendingRemovals_.begin(); Next != PendingRemovals_.end();) {
    const auto Removal = Next++;
    const auto [Due, WasLost] = Removal->second;
    if (Due > Now)
      continue;
    const std::string Id = Removal->first;
    PendingRemovals_.erase(Removal);
    const catalog::EndpointRef Known = State_.Directory.find(Id);
    if (Known && !WasLost)
      Restored_.recordRemoval(Known->Entry, Now);
    removeEndpoint(Id, WasLost ? "not registered again after a restore"
                               : "expired while the store was unavailable");
  }
}

} // namespace cassiashed::gateway
