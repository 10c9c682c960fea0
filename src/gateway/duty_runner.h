#pragma once

#include "cassiashed/duties/lease.h"
#include "cassiashed/duties/scaling.h"
#include "cassiashed/duties/usage.h"
#include "cassiashed/duties/wall_clock.h"
#include "gateway/duty_api.h"
#include "gateway/duty_messages.h"
#include "gateway/gateway_state.h"
#include "gateway/store_client.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cassiashed::gateway {

/// Carries out the duties that one node has for all, while this node holds
/// their lease; counts and watches the load on every node. See
/// docs/design/duties.md.
class DutyRunner {
public:
  DutyRunner(GatewayState &State, StoreClient &Store, DutyApi &Api,
             std::uint64_t Incarnation);

  /// Counts a request that began to run.
  void countRequest(const std::string &Workspace);
  std::optional<DutyMessage> ownMessage(bool ToCandidates) const;
  void handleMessage(const DutyMessage &Message, const DutySender &From);
  /// To be called periodically.
  void tick();
  void setGauges() const;

private:
  struct ServicePlan {
    duties::ReplicaPlanner Planner;
    std::set<std::string> Zones; ///< in which the service was seen to run
  };

  void recordWork(const balancing::Assignment &Work);
  /// Notes whether this node sees the load of the whole fleet.
  void followLoad(BootTime Now);
  std::int64_t unixMs() const;
  /// Position among the candidates for the lease, those that do not place
  /// requests last; nothing if not among them.
  std::optional<std::size_t> rank() const;
  void followLease(BootTime Now);
  http::Task<void> readLeaseRow();
  http::Task<void> renew();
  http::Task<void> readRecord();
  void logLeaseChange(std::string_view Cause);
  DutyCaller caller() const;
  /// Makes the calls that are due, one after another.
  http::Task<void> act();
  http::Task<void> reportUsage();
  http::Task<void> orderReplicas();
  http::Task<void> orderForService(const catalog::Service &Service);
  std::vector<duties::ZoneReplicas> zonesOf(const std::string &Service,
                                            std::set<std::string> &Known) const;
  http::Task<void> pause() const;

  GatewayState &State_;
  StoreClient &Store_;
  DutyApi &Api_;
  GatewayDuties Settings_;
  duties::Lease Lease_;
  duties::UsageLedger Ledger_;
  duties::UsageReporter Reporter_;
  duties::WallClock WallClock_;
  std::map<std::string, ServicePlan> Plans_;
  BootTime LastTickAt_;
  std::uint64_t LoggedFence_ = 0; ///< under which this node acts; 0: none
  bool IsReadingRecord_ = false;
  bool IsActing_ = false;
  TimePoint NextUsageCall_;
  TimePoint RecordRetryAt_;
  std::uint64_t UsageReports_ = 0;
  std::uint64_t ReplicaOrders_ = 0;
};

} // namespace cassiashed::gateway
