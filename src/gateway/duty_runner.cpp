#include "gateway/duty_runner.h"

#include "cassiashed/base/event_log.h"
#include "gateway/duty_rows.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Time before a call is made again that was refused or got no clear answer.
constexpr Duration CallRetryPause{700};
/// A call is sent only if the lease lasts for this much longer: it may take as
/// long to arrive.
constexpr Duration MinRemaining{300};
/// An older copy of the endpoints' table does not show how many replicas there
/// are.
constexpr Duration MaxTableAge{5000};
/// Ticks are 100 ms apart; a process that missed this much was suspended, and
/// messages about the load were lost.
constexpr Duration MaxTickGap{1000};
/// Counts are told once a second or more often, and twice in this time.
constexpr Duration UsageSettle{2500};
/// Counts in one message. Larger ones would not fit into the receive buffer.
constexpr std::size_t MaxCountsPerMessage = 400;

std::size_t keptWindows(const GatewayDuties &Settings) {
  return static_cast<std::size_t>(Settings.UsageLate.count() /
                                  Settings.UsageWindow.count()) +
         1;
}

duties::ScalingLimits limitsOf(const catalog::ServiceScaling &Scaling) {
  return {Scaling.Minimum, Scaling.Maximum, Scaling.Boot};
}

} // namespace

DutyRunner::DutyRunner(GatewayState &State, StoreClient &Store, DutyApi &Api,
                       std::uint64_t Incarnation)
    : State_(State), Store_(Store), Api_(Api),
      Settings_(*State.Settings.Duties),
      Lease_(duties::leaseTimesFor(Settings_.Lease),
             {State.Settings.Gateway.Name, State.Settings.Gateway.Internal.Host,
              Incarnation}),
      Ledger_(Settings_.UsageWindow, keptWindows(Settings_)),
      Reporter_({Settings_.UsageWindow,
                 std::min<Duration>(UsageSettle, Settings_.UsageLate / 3),
                 Settings_.UsageLate}) {
  if (Settings_.Carried.Scaling)
    State_.Load.setOnNewRequest(
        [this](const balancing::Assignment &Work) { recordWork(Work); });
}

std::int64_t DutyRunner::unixMs() const {
  const auto Own = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return WallClock_.estimate(Own.count(), BootClock::now());
}

void DutyRunner::countRequest(const std::string &Workspace) {
  if (Settings_.Carried.UsageReporting)
    Ledger_.count(Workspace, unixMs());
}

void DutyRunner::recordWork(const balancing::Assignment &Work) {
  if (Work.Parts.empty() || !State_.Config)
    return;
  const catalog::EndpointRef Known =
      State_.Directory.find(Work.Parts.front().EndpointId);
  const catalog::Service *Service =
      Known ? State_.Config->findService(Known->Entry.Service) : nullptr;
  if (Service && Service->Engine && Service->Scaling)
    Plans_[Service->Name].Planner.recordWork(
        duties::engineTimeMs(*Service->Engine, Work.Request.PromptTokens,
                             Work.Request.OutputTokens),
        limitsOf(*Service->Scaling), State_.now());
}

std::optional<DutyMessage> DutyRunner::ownMessage(bool ToCandidates) const {
  DutyMessage Result;
  Result.UnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  if (!ToCandidates)
    return Result;
  for (duties::UsageReport &Counted :
       Ledger_.own(unixMs(), MaxCountsPerMessage))
    Result.Usage.push_back({Counted.Window, std::move(Counted.Counts)});
  if (Lease_.mayAct(BootClock::now())) {
    Result.Fence = Lease_.fence();
    Result.RowVersion = Lease_.known().Version;
    Result.Era = Lease_.known().Era;
  }
  return Result;
}

void DutyRunner::handleMessage(const DutyMessage &Message,
                               const DutySender &From) {
  const BootTime Now = BootClock::now();
  if (Message.UnixMs > 0)
    WallClock_.recordPeer(From.Node, Message.UnixMs, Now);
  const std::string Origin = From.Node + '/' + std::to_string(From.Incarnation);
  for (const UsageMessage &Counted : Message.Usage)
    Ledger_.merge(Origin, {Counted.Window, Counted.Counts}, unixMs());
  if (Message.Fence == 0)
    return;
  duties::StoredLease Stated;
  Stated.Row = {From.Node, From.Host, From.Incarnation, Message.Fence,
                Message.Era};
  Stated.Version = Message.RowVersion;
  Stated.Era = Message.Era;
  Lease_.recordPeerHolder(Stated, Now);
}

std::optional<std::size_t> DutyRunner::rank() const {
  // Others get neither the counts nor the load of the fleet. By the nodes'
  // table, so that nodes that hear no better-ranked one do not all become
  // candidates.
  if (State_.Stopping || !State_.Nodes->isDutyCandidate())
    return std::nullopt;
  const std::vector<std::string> Placers = State_.Nodes->placers();
  const auto Own =
      std::find(Placers.begin(), Placers.end(), State_.Nodes->ownHost());
  return static_cast<std::size_t>(Own - Placers.begin());
}

void DutyRunner::tick() {
  const BootTime Now = BootClock::now();
  Ledger_.discardOld(unixMs());
  followLoad(Now);
  followLease(Now);
  logLeaseChange("the last renewal is too old");
  if (!Lease_.mayAct(Now))
    return;
  if (!Reporter_.hasBegun() && !IsReadingRecord_ &&
      State_.now() >= RecordRetryAt_) {
    IsReadingRecord_ = true;
    http::asio::co_spawn(State_.Context, readRecord(), http::asio::detached);
  }
  if (!IsActing_) {
    IsActing_ = true;
    http::asio::co_spawn(State_.Context, act(), http::asio::detached);
  }
}

void DutyRunner::followLoad(BootTime Now) {
  const bool WasSuspended = Now - LastTickAt_ > MaxTickGap;
  LastTickAt_ = Now;
  if (!WasSuspended && State_.Nodes->seesFleetLoad())
    return;
  for (auto &[Name, Plan] : Plans_)
    Plan.Planner.recordGap(State_.now());
}

void DutyRunner::followLease(BootTime Now) {
  const std::optional<std::size_t> Rank = rank();
  const Duration ExtraWait =
      Settings_.Lease / 4 * static_cast<Duration::rep>(Rank.value_or(0));
  switch (Lease_.nextStep(Now, Rank.has_value(), ExtraWait)) {
  case duties::Lease::Step::None:
    return;
  case duties::Lease::Step::Read:
    Lease_.beginRead();
    http::asio::co_spawn(State_.Context, readLeaseRow(), http::asio::detached);
    return;
  case duties::Lease::Step::Write:
    http::asio::co_spawn(State_.Context, renew(), http::asio::detached);
    return;
  }
}

http::Task<void> DutyRunner::readLeaseRow() {
  const StoreRows Table = co_await Store_.readDuties();
  const BootTime Now = BootClock::now();
  if (Table.Status != StoreStatus::Ok) {
    Lease_.recordReadFailure(Now);
    co_return;
  }
  std::string Reason;
  Lease_.recordRead(readLease(Table, Reason), Now);
  if (!Reason.empty())
    logWarning("duty_row_rejected")
        .field("key", LeaseKey)
        .field("reason", Reason);
  logLeaseChange("another node holds it");
}

http::Task<void> DutyRunner::renew() {
  const std::uint64_t Expected = Lease_.expectedVersion();
  const duties::LeaseRow Row = Lease_.beginWrite(BootClock::now());
  std::vector<DutyWrite> Writes{{LeaseKey, encodeLease(Row)}};
  std::optional<std::vector<duties::UsageReport>> Record;
  if (Reporter_.hasBegun() && Settings_.Carried.UsageReporting)
    Record = Reporter_.toRecord(Ledger_, unixMs());
  if (Record)
    Writes.push_back(
        {UsageKey, encodeUsage({Lease_.known().Era, std::move(*Record)})});
  const StoreRows Result =
      co_await Store_.writeDuties(LeaseKey, Expected, std::move(Writes));
  duties::WriteOutcome Outcome = duties::WriteOutcome::Unclear;
  if (Result.Status == StoreStatus::Ok)
    Outcome = duties::WriteOutcome::Done;
  else if (Result.Status == StoreStatus::Conflict)
    Outcome = duties::WriteOutcome::Conflict;
  else if (Result.Status == StoreStatus::Busy)
    Outcome = duties::WriteOutcome::Refused;
  Lease_.recordWrite(Outcome, Result.Version, Result.Era, BootClock::now());
  if (Outcome == duties::WriteOutcome::Done && Record && Lease_.isHolder())
    Reporter_.recordConfirmed();
  // A holder that fails now must not cost the candidates a read, and a wait
  // from then on.
  if (Outcome == duties::WriteOutcome::Done && Lease_.isHolder())
    State_.Nodes->announceDuties();
  if (Outcome != duties::WriteOutcome::Done)
    State_.Log.write(
        "duty_lease_write_failed", State_.now(), [&](LogLine &Line) {
          Line.field("fence", Row.Fence).field("reason", Result.Reason);
        });
  logLeaseChange("another node holds it");
}

http::Task<void> DutyRunner::readRecord() {
  const std::uint64_t Fence = Lease_.fence();
  const StoreRows Table = co_await Store_.readDuties();
  IsReadingRecord_ = false;
  if (Table.Status != StoreStatus::Ok) {
    RecordRetryAt_ = State_.now() + CallRetryPause;
    co_return;
  }
  if (!Lease_.isHolder() || Lease_.fence() != Fence ||
      Table.Era != Lease_.known().Era)
    co_return;
  std::string Reason;
  const std::optional<UsageRecord> Found = readUsage(Table, Reason);
  if (!Reason.empty())
    logWarning("duty_row_rejected")
        .field("key", UsageKey)
        .field("reason", Reason);
  // Without the record of this era it is not known what was reported. Only
  // windows that have not ended are certain not to have been.
  const std::int64_t Now = unixMs();
  const bool IsComplete = Found && Found->Era == Table.Era;
  Reporter_.begin(Found ? Found->Reports : std::vector<duties::UsageReport>(),
                  IsComplete ? 0 : Ledger_.windowAt(Now), Now);
}

void DutyRunner::logLeaseChange(std::string_view Cause) {
  const BootTime Now = BootClock::now();
  const std::uint64_t Fence = Lease_.mayAct(Now) ? Lease_.fence() : 0;
  if (Fence == LoggedFence_)
    return;
  if (LoggedFence_ != 0) {
    logWarning("duty_lost").field("fence", LoggedFence_).field("cause", Cause);
    Reporter_.end();
  }
  LoggedFence_ = Fence;
  if (Fence == 0)
    return;
  logEvent("duty_acquired")
      .field("fence", Fence)
      .field("era", Lease_.known().Era)
      .field("row", Lease_.known().Version);
  for (auto &[Name, Plan] : Plans_)
    Plan.Planner.beginTerm();
}

DutyCaller DutyRunner::caller() const {
  const std::uint64_t Fence = Lease_.fence();
  return {State_.Settings.Gateway.Name, Fence, [this, Fence] {
            return Lease_.fence() == Fence &&
                   Lease_.remaining(BootClock::now()) > MinRemaining;
          }};
}

http::Task<void> DutyRunner::pause() const {
  co_await http::sleepFor(Duration(
      1 + static_cast<Duration::rep>(1000 / Settings_.CallsPerSecond)));
}

http::Task<void> DutyRunner::act() {
  if (Settings_.Carried.UsageReporting && State_.now() >= NextUsageCall_)
    co_await reportUsage();
  if (Settings_.Carried.Scaling)
    co_await orderReplicas();
  IsActing_ = false;
}

http::Task<void> DutyRunner::reportUsage() {
  while (Reporter_.hasBegun()) {
    const duties::UsageReport *Due = Reporter_.toSend(unixMs());
    if (!Due)
      co_return;
    const duties::UsageReport Report = *Due;
    const DutyCaller Caller = caller();
    const DutyCallResult Result = co_await Api_.reportUsage(Caller, Report);
    std::uint64_t Total = 0;
    for (const auto &[Workspace, Count] : Report.Counts)
      Total += Count;
    if (Result != DutyCallResult::Accepted) {
      State_.Log.write("usage_report_failed", State_.now(), [&](LogLine &Line) {
        Line.field("window", Report.Window).field("result", nameOf(Result));
      });
      NextUsageCall_ = State_.now() + CallRetryPause;
      co_return;
    }
    Reporter_.recordSent(Report.Window);
    ++UsageReports_;
    logEvent("usage_reported")
        .field("window", Report.Window)
        .field("workspaces", Report.Counts.size())
        .field("requests", Total)
        .field("fence", Caller.Fence)
        .field("after_ms", unixMs() - Ledger_.endOf(Report.Window));
    co_await pause();
  }
}

std::vector<duties::ZoneReplicas>
DutyRunner::zonesOf(const std::string &Service,
                    std::set<std::string> &Known) const {
  std::map<std::string, int> Registered;
  for (const auto &[Id, Endpoint] : State_.Directory.all()) {
    if (Endpoint->Entry.Service != Service)
      continue;
    Known.insert(Endpoint->Entry.Zone);
    if (Endpoint->Entry.State == catalog::EndpointState::Ready &&
        !Endpoint->IsLeaving)
      ++Registered[Endpoint->Entry.Zone];
  }
  std::vector<duties::ZoneReplicas> Result;
  Result.reserve(Known.size());
  for (const std::string &Zone : Known)
    Result.push_back(
        {Zone, Registered[Zone], !State_.Directory.isZoneOut(Zone)});
  return Result;
}

http::Task<void> DutyRunner::orderReplicas() {
  const std::shared_ptr<const catalog::ServiceConfig> Config = State_.Config;
  if (!Config ||
      !State_.EndpointFreshness.isWithin(MaxTableAge, BootClock::now()))
    co_return;
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Scaling && Service.Engine)
      co_await orderForService(Service);
}

http::Task<void> DutyRunner::orderForService(const catalog::Service &Service) {
  ServicePlan &Plan = Plans_[Service.Name];
  const duties::ScalingLimits Limits = limitsOf(*Service.Scaling);
  const std::vector<duties::ZoneReplicas> Zones =
      zonesOf(Service.Name, Plan.Zones);
  const std::vector<duties::ReplicaOrder> Due =
      Plan.Planner.dueOrders(Zones, Limits, State_.now());
  for (const duties::ReplicaOrder &Order : Due) {
    const DutyCaller Caller = caller();
    if (!Caller.MaySend())
      co_return;
    const DutyCallResult Result =
        co_await Api_.orderReplicas(Caller, Service.Name, Order);
    const bool IsAccepted = Result == DutyCallResult::Accepted;
    if (Lease_.fence() == Caller.Fence)
      Plan.Planner.recordOrder(Order, IsAccepted, State_.now());
    ReplicaOrders_ += IsAccepted ? 1 : 0;
    int Registered = 0;
    for (const duties::ZoneReplicas &Found : Zones)
      if (Found.Zone == Order.Zone)
        Registered = Found.Registered;
    logEvent("scale_ordered")
        .field("service", Service.Name)
        .field("zone", Order.Zone)
        .field("replicas", Order.Count)
        .field("registered", Registered)
        .field("wanted", Plan.Planner.wanted(Limits, State_.now()).value_or(-1))
        .field("fence", Caller.Fence)
        .field("result", nameOf(Result));
    co_await pause();
  }
}

void DutyRunner::setGauges() const {
  GatewayMetrics &Metrics = *State_.Metrics;
  Metrics.setGauge("duty_fence", static_cast<double>(LoggedFence_));
  Metrics.setGauge("usage_reports", static_cast<double>(UsageReports_));
  Metrics.setGauge("replica_orders", static_cast<double>(ReplicaOrders_));
}

} // namespace cassiashed::gateway
