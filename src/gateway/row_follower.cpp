#include "gateway/row_follower.h"

#include "cassiashed/catalog/table_copy.h"
#include "gateway/follow_policy.h"
#include "gateway/peer_rows.h"
#include <array>
#include <random>

namespace cassiashed::gateway {
namespace {

using catalog::Row;
using catalog::RowsTaken;
using catalog::Table;
using catalog::TableReplica;

/// For nodes that are no confirmers. Copies that are not confirmed are read
/// from the store early enough for several attempts within the bound.
constexpr catalog::RefreshOptions ReplicaRefresh = {.AskAgeFraction = 1,
                                                    .ReadAgeFraction = 0.6,
                                                    .AskPeriodFraction = 1,
                                                    .ReadPeriodFraction = 0.15};
/// For confirmers. They read earlier: a node that has just become one may have
/// a call open that waits much longer.
constexpr catalog::RefreshOptions ConfirmerRefresh = {.AskAgeFraction = 1,
                                                      .ReadAgeFraction = 0.3,
                                                      .AskPeriodFraction = 1,
                                                      .ReadPeriodFraction =
                                                          0.15};
/// The nodes' table is not followed but read once.
constexpr std::array<Table, 2> FollowedTables = {Table::Operator,
                                                 Table::Endpoints};
/// For reads that only check for changes, or whether the store answers again.
constexpr Duration NoWait{1};
/// Wait before a node can tell whether the fleet is large: the processes of a
/// deployment start within 0.3 s and read the nodes' table after writing their
/// own row.
constexpr Duration JoinDelay{800};
/// Further wait in a large fleet: nodes with a role send a heartbeat every
/// 400 ms.
constexpr Duration RoleReportDelay{600};
/// Changes of the configuration within this time are read in one call.
constexpr Duration OperatorReadInterval{200};
/// How often a node that does not follow a table checks whether it should.
constexpr Duration RoleCheckPeriod{200};
constexpr Duration InitialBackoff{100};
constexpr Duration MaxBackoff{1500};
/// Wait before the whole read that an answer of a later era calls for. Short,
/// but the calls do not repeat without a pause if answers contradict each
/// other.
constexpr Duration EraReadDelay{10};
using catalog::nameOf;

/// Changes found by a read of the whole table. The batch does not follow on
/// from an earlier version, so receivers stay incomplete until they read the
/// rest.
RowBatch unlinkedBatch(std::vector<Row> Changes,
                       const catalog::RowCoverage &Coverage) {
  return {Coverage.UpTo, Coverage.UpTo, std::move(Changes), false,
          Coverage.Era};
}

class Follower final : public RowFollower {
public:
  Follower(GatewayState &State, StoreClient &Store, OnRows Notify)
      : State_(State), Store_(Store), Notify_(std::move(Notify)),
        Policy_(State) {}

  void start() {
    for (const Table TableId : FollowedTables)
      startFollowing(TableId, true);
  }

  void refreshOperatorTable() override { startRefresh(Table::Operator); }

  std::vector<CoverageReport> ownCoverage() const override {
    std::vector<CoverageReport> Reports;
    for (const Table TableId : FollowedTables)
      if (copyOf(TableId).lastStoreTime())
        Reports.push_back({TableId, replica(TableId).coverage(),
                           *copyOf(TableId).lastStoreTime()});
    return Reports;
  }

  void recordPeerCoverage(const CoverageReport &Report,
                          const http::Address &Peer) override {
    if (Report.Table == Table::Nodes)
      return;
    TableState &Own = stateOf(Report.Table);
    const BootTime Now = BootClock::now();
    const catalog::PeerProof Proof =
        Own.Copy.recordPeerCoverage(Report.Coverage, Report.StoreTime, Now);
    if (Proof == catalog::PeerProof::LacksRows)
      Own.NewerPeerCopy = {Peer, Report.StoreTime};
    else if (Proof == catalog::PeerProof::Fresher)
      Own.NewerPeerCopy.reset();
    noteEra(Report.Coverage.Era);
  }

  void refreshIfStale() override {
    for (const Table TableId : FollowedTables)
      if (hasRead(TableId))
        refreshIfStale(TableId);
  }

  void fetchFrom(Table TableId, http::Address Peer) override {
    if (stateOf(TableId).PeerReadInProgress)
      return; // a second read would only slow the first one down
    stateOf(TableId).PeerReadInProgress = true;
    asio::co_spawn(State_.Context, fetch(TableId, std::move(Peer)),
                   asio::detached);
  }

  void mergeFromPeer(Table TableId, RowBatch Batch) override {
    const std::uint64_t Complete = replica(TableId).completeVersion();
    if (Batch.After > Complete && Batch.Era == replica(TableId).era())
      State_.Log.write("rows_gap", State_.now(), [&](LogLine &Line) {
        Line.field("table", nameOf(TableId))
            .field("complete", Complete)
            .field("after", Batch.After)
            .field("up_to", Batch.UpTo);
      });
    takePeerRows(TableId, std::move(Batch), "peer");
  }

  RowBatch rowsAfter(Table TableId,
                     catalog::StoreVersion After) const override {
    return replica(TableId).batchAfter(After.Version, After.Era);
  }
  std::uint64_t era(Table TableId) const override {
    return replica(TableId).era();
  }
  bool isDoubtful(Table TableId) const override {
    return copyOf(TableId).needsWholeRead();
  }
  bool hasRead(Table TableId) const override {
    return copyOf(TableId).hasRead();
  }
  bool storeAnswers() const override { return StoreAnswers_; }
  TimePoint storeRegainedAt() const override { return RegainedAt_; }

private:
  /// A copy of another node that holds rows which this node lacks.
  struct PeerCopy {
    http::Address Address;
    Duration StoreTime{0}; ///< at which its copy was complete
  };

  struct TableState {
    explicit TableState(catalog::TableFreshness &Freshness) : Copy(Freshness) {}

    catalog::TableCopy Copy;
    std::optional<PeerCopy> NewerPeerCopy;
    int Follower = 0;        ///< number of the coroutine that follows the table
    BootTime RefreshTriedAt; ///< when a refresh was last due
    bool RefreshInProgress = false;  ///< a read from the store
    bool PeerReadInProgress = false; ///< a read from another node
    bool WasWithinBound = true;      ///< in the last log line
  };

  TableState &stateOf(Table TableId) {
    return States_[static_cast<std::size_t>(TableId)];
  }
  const TableState &stateOf(Table TableId) const {
    return States_[static_cast<std::size_t>(TableId)];
  }
  catalog::TableCopy &copyOf(Table TableId) { return stateOf(TableId).Copy; }
  const catalog::TableCopy &copyOf(Table TableId) const {
    return stateOf(TableId).Copy;
  }
  const TableReplica &replica(Table TableId) const {
    return copyOf(TableId).replica();
  }

  catalog::TableFreshness &freshness(Table TableId) const {
    return TableId == Table::Operator ? State_.OperatorFreshness
                                      : State_.EndpointFreshness;
  }

  void refreshIfStale(Table TableId) {
    const BootTime Now = BootClock::now();
    const Duration Bound = Policy_.boundOf(TableId);
    const std::optional<Duration> Age = freshness(TableId).age(Now);
    logStaleness(TableId, Age, Bound);
    TableState &Own = stateOf(TableId);
    const auto SinceRefreshTried =
        std::chrono::duration_cast<Duration>(Now - Own.RefreshTriedAt);
    const bool IsConfirmer = Policy_.confirmerWaitFraction().has_value();
    if (catalog::nextRefresh(Age, Bound, Duration(0), SinceRefreshTried,
                             IsConfirmer ? ConfirmerRefresh : ReplicaRefresh) !=
        catalog::Refresh::ReadStore)
      return;
    Own.RefreshTriedAt = Now;
    const double ReadProbability =
        IsConfirmer ? 1
                    : catalog::storeReadProbability(
                          State_.Nodes->possibleNodes(),
                          hasFreshNewerPeerCopy(TableId, Now));
    // The rows that another node sends would arrive twice, and both reads
    // would share the link of this one.
    if (Own.PeerReadInProgress)
      return;
    if (std::bernoulli_distribution(ReadProbability)(State_.Random))
      startRefresh(TableId);
  }

  /// Whether a node holds rows that this one lacks, in an up-to-date copy.
  bool hasFreshNewerPeerCopy(Table TableId, BootTime Now) const {
    const TableState &Own = stateOf(TableId);
    return Own.NewerPeerCopy &&
           freshness(TableId).isSnapshotWithin(
               Own.NewerPeerCopy->StoreTime,
               std::chrono::duration_cast<Duration>(
                   Policy_.boundOf(TableId) * ReplicaRefresh.ReadAgeFraction),
               Now);
  }

  void logStaleness(Table TableId, std::optional<Duration> Age,
                    Duration Bound) {
    const bool IsWithinBound = Age && *Age <= Bound;
    if (IsWithinBound == stateOf(TableId).WasWithinBound)
      return;
    stateOf(TableId).WasWithinBound = IsWithinBound;
    (IsWithinBound ? logEvent("rows_current") : logWarning("rows_old"))
        .field("table", nameOf(TableId))
        .field("age_ms", Age ? Age->count() : -1)
        .field("bound_ms", Bound.count())
        .field("complete", replica(TableId).lastCoveredChange());
  }

  /// Replaces the coroutine that follows the table. Its call may wait for
  /// versions of an earlier era, which can be higher than all of this one.
  void startFollowing(Table TableId, bool ReadAll) {
    const int Number = ++stateOf(TableId).Follower;
    asio::co_spawn(State_.Context, follow(TableId, ReadAll, Number),
                   asio::detached);
  }

  http::Task<void> follow(Table TableId, bool ReadAll, int Number) {
    Duration Backoff = InitialBackoff;
    // The first call after a failure must not wait for changes: it would show
    // that the store answers again only when something changes.
    bool HasFailed = false;
    while (Number == stateOf(TableId).Follower) {
      if (!ReadAll && !Policy_.updateFollowing(TableId)) {
        co_await http::sleepFor(RoleCheckPeriod);
        continue;
      }
      StoreRows Result;
      ReadAll = ReadAll || copyOf(TableId).needsWholeRead();
      const BootTime SentAt = BootClock::now();
      const std::uint64_t After = replica(TableId).completeVersion();
      if (ReadAll)
        Result = co_await Store_.readAll(TableId);
      else
        Result = co_await Store_.waitForChanges(
            TableId, After, HasFailed ? NoWait : Policy_.longPollWait(TableId));
      // A call that was replaced may fail later than the store came back.
      if (Number == stateOf(TableId).Follower ||
          Result.Status == StoreStatus::Ok)
        recordStoreStatus(TableId, Result);
      HasFailed = Result.Status != StoreStatus::Ok;
      if (Result.Status == StoreStatus::Ok) {
        const RowsTaken Taken =
            applyStoreRows(TableId, Result, ReadAll, After, SentAt, Number);
        if (Taken == RowsTaken::OtherEra) {
          ReadAll = copyOf(TableId).needsWholeRead();
          co_await http::sleepFor(ReadAll ? EraReadDelay : Backoff);
          Backoff = std::min(Backoff * 2, MaxBackoff);
          continue;
        }
        if (ReadAll && Taken == RowsTaken::Merged)
          co_await awaitRoles();
        ReadAll = false;
        Backoff = InitialBackoff;
        if (TableId == Table::Operator)
          co_await http::sleepFor(OperatorReadInterval);
        continue;
      }
      if (Result.Status == StoreStatus::HistoryGone) {
        ReadAll = true;
        continue;
      }
      co_await http::sleepFor(Backoff);
      Backoff = std::min(Backoff * 2, MaxBackoff);
    }
  }

  /// Waits after the first read until the nodes of a large fleet know each
  /// other; otherwise each of them would follow the tables.
  http::Task<void> awaitRoles() {
    co_await http::sleepFor(JoinDelay);
    if (State_.Nodes->hasRoles())
      co_await http::sleepFor(RoleReportDelay);
  }

  void startRefresh(Table TableId) {
    if (!stateOf(TableId).RefreshInProgress)
      asio::co_spawn(State_.Context, refresh(TableId), asio::detached);
  }

  /// Reads changes at once, concurrently with a call that waits for them.
  http::Task<void> refresh(Table TableId) {
    stateOf(TableId).RefreshInProgress = true;
    const BootTime SentAt = BootClock::now();
    const std::uint64_t After = replica(TableId).completeVersion();
    bool ReadAll = copyOf(TableId).needsWholeRead();
    StoreRows Result;
    if (!ReadAll) {
      Result = co_await Store_.waitForChanges(TableId, After, NoWait);
      ReadAll = Result.Status == StoreStatus::HistoryGone ||
                (Result.Status == StoreStatus::Ok &&
                 Result.Era > replica(TableId).era());
    }
    if (ReadAll)
      Result = co_await Store_.readAll(TableId);
    stateOf(TableId).RefreshInProgress = false;
    if (Result.Status == StoreStatus::Ok) {
      (void)applyStoreRows(TableId, Result, ReadAll, After, SentAt);
      co_return;
    }
    State_.Log.write("confirm_failed", State_.now(), [&](LogLine &Line) {
      Line.field("table", nameOf(TableId)).field("reason", Result.Reason);
    });
    if (stateOf(TableId).NewerPeerCopy)
      fetchFrom(TableId, stateOf(TableId).NewerPeerCopy->Address);
  }

  /// `Follower`: number of the coroutine that follows the table, if it read
  /// the rows.
  RowsTaken applyStoreRows(Table TableId, StoreRows &Result, bool ReadAll,
                           std::uint64_t After, BootTime SentAt,
                           int Follower = 0) {
    const catalog::RowCoverage Before = replica(TableId).coverage();
    const std::optional<Duration> AgeBefore =
        freshness(TableId).age(BootClock::now());
    const catalog::TableUpdate Update = copyOf(TableId).mergeFromStore(
        {After, Result.Version, std::move(Result.Rows), ReadAll, Result.Era},
        SentAt, BootClock::now(), Result.StoreTime);
    if (Update.Taken == RowsTaken::OtherEra && Result.Era < Before.Era)
      State_.Log.write("store_era_rejected", State_.now(), [&](LogLine &Line) {
        Line.field("table", nameOf(TableId))
            .field("value", Result.Era)
            .field("era", Before.Era)
            .field("reason", "older than the replica");
      });
    noteEra(Result.Era);
    if (Update.Taken == RowsTaken::OtherEra)
      return Update.Taken;
    const std::vector<Row> &Changes = Update.Changes;
    publish(TableId, Update, Before.Era, AgeBefore, "store");
    stateOf(TableId).NewerPeerCopy.reset();
    if (Update.Taken == RowsTaken::EraBegun) {
      if (Follower != stateOf(TableId).Follower)
        startFollowing(TableId, false);
      // Other nodes read the whole table.
      return Update.Taken;
    }
    // In a large fleet only the best-ranked follower forwards changes. Nodes
    // that miss some learn it from the heartbeats of the others.
    const bool Forwards =
        !State_.Nodes->hasRoles() || State_.Nodes->betterRankedFollowers() == 0;
    if (TableId == Table::Endpoints && Forwards && Before.UpTo > 0 &&
        !Changes.empty())
      State_.Nodes->announceEndpointRows(
          ReadAll ? unlinkedBatch(Changes, replica(TableId).coverage())
                  : rowsAfter(TableId, {replica(TableId).era(),
                                        std::max(Before.LastChange,
                                                 Before.WholeReadVersion)}));
    return Update.Taken;
  }

  void takePeerRows(Table TableId, RowBatch Batch, std::string_view Source) {
    const std::uint64_t Before = replica(TableId).era();
    const catalog::TableUpdate Update =
        copyOf(TableId).mergeFromPeer(std::move(Batch));
    if (Update.Taken == RowsTaken::OtherEra)
      return;
    publish(TableId, Update, Before, freshness(TableId).age(BootClock::now()),
            Source);
    if (Update.Taken != RowsTaken::EraBegun)
      return;
    stateOf(TableId).NewerPeerCopy.reset();
    startFollowing(TableId, false);
    noteEra(replica(TableId).era());
  }

  /// Records an era that the store or another node stated. This node reads the
  /// tables that it follows again; others get them from nodes that do.
  void noteEra(std::uint64_t Era) {
    for (const Table TableId : FollowedTables) {
      catalog::TableCopy &Copy = copyOf(TableId);
      const bool WasKnown = Copy.needsWholeRead();
      Copy.noteEra(Era, BootClock::now());
      const bool Follows =
          State_.Nodes->isFollowing() ||
          (TableId == Table::Operator && !Policy_.hasOperatorFollowers());
      if (Copy.needsWholeRead() && !WasKnown && Copy.hasRead() && Follows)
        startRefresh(TableId);
    }
  }

  /// `Age`: of the replica before the update. The changes are not older.
  void publish(Table TableId, const catalog::TableUpdate &Update,
               std::uint64_t EraBefore, std::optional<Duration> Age,
               std::string_view Source) {
    const std::vector<Row> &Changes = Update.Changes;
    const bool BeginsEra = Update.Taken == RowsTaken::EraBegun;
    State_.Nodes->setLastChanges(replica(Table::Operator).lastChange(),
                                 replica(Table::Endpoints).lastChange());
    if (BeginsEra)
      logWarning("store_era_changed")
          .field("table", nameOf(TableId))
          .field("era", replica(TableId).era())
          .field("before", EraBefore)
          .field("differing_rows", Changes.size())
          .field("complete", replica(TableId).completeVersion())
          .field("source", Source);
    if (Changes.empty() && !BeginsEra)
      return;
    if (TableId == Table::Endpoints && Age)
      State_.Metrics->observeUpdateAge(*Age);
    State_.Log.write("rows_read", State_.now(), [&](LogLine &Line) {
      Line.field("table", nameOf(TableId))
          .field("rows", Changes.size())
          .field("complete", replica(TableId).lastCoveredChange())
          .field("source", Source)
          .field("known_age_ms", Age ? Age->count() : -1);
    });
    Notify_(TableId, Changes, BeginsEra);
  }

  void recordStoreStatus(Table TableId, const StoreRows &Result) {
    const bool Answers = Result.Status == StoreStatus::Ok ||
                         Result.Status == StoreStatus::HistoryGone;
    // A node that gets no answers from the store does not count as a follower.
    if (TableId == Table::Endpoints)
      State_.Nodes->setFollowing(Answers);
    if (Answers == StoreAnswers_)
      return;
    StoreAnswers_ = Answers;
    if (Answers) {
      RegainedAt_ = State_.now();
      logEvent("store_regained").field("table", nameOf(TableId));
    } else {
      logWarning("store_lost")
          .field("table", nameOf(TableId))
          .field("reason", Result.Reason);
    }
  }

  http::Task<void> fetch(Table TableId, http::Address Peer) {
    const std::string PeerHost = Peer.Host;
    std::optional<RowBatch> Batch = co_await readPeerRows(
        TableId, std::move(Peer),
        {replica(TableId).era(), replica(TableId).completeVersion()});
    stateOf(TableId).PeerReadInProgress = false;
    if (Batch)
      takePeerRows(TableId, std::move(*Batch), PeerHost);
  }

  GatewayState &State_;
  StoreClient &Store_;
  OnRows Notify_;
  FollowPolicy Policy_;
  std::array<TableState, FollowedTables.size()> States_ = {
      TableState(State_.OperatorFreshness),
      TableState(State_.EndpointFreshness)};
  bool StoreAnswers_ = true;
  TimePoint RegainedAt_;
};

} // namespace

std::unique_ptr<RowFollower> startRowFollower(GatewayState &State,
                                              StoreClient &Store,
                                              RowFollower::OnRows Notify) {
  auto Result = std::make_unique<Follower>(State, Store, std::move(Notify));
  Result->start();
  return Result;
}

} // namespace cassiashed::gateway
