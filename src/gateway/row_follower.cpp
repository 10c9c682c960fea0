#include "gateway/row_follower.h"

#include "gateway/row_messages.h"
#include "http/client.h"
#include <array>
#include <random>

namespace cassiashed::gateway {
namespace {

using catalog::Row;
using catalog::Table;
using catalog::TableReplica;

/// How long the store holds a call open while nothing changes. Long, because
/// each call is charged. A dead connection is noticed after this time at the
/// latest, and usually earlier through the versions that other nodes report.
constexpr Duration LongPollWait{20000};
/// From this number of nodes on, a few followers read the operator's table for
/// all. In smaller fleets every node reads it: followers whose calls the store
/// leaves unanswered would delay a change for all nodes until the time-out.
constexpr int MinNodesForOperatorFollowers = 100;
/// If keys that cannot be confirmed are refused, the calls of the confirmers
/// wait at most this fraction of the bound on revoked keys.
constexpr double FailClosedWaitFraction = 0.2;
/// The two best-ranked followers are confirmers: their reports confirm the
/// copies of other nodes. The store holds the calls of each open for this
/// fraction of the bound on changes of the table.
constexpr std::array<double, 2> ConfirmerWaitFractions = {0.2, 0.4};
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
/// Another node's rows of one table: some hundred of at most 64 KiB, or a large
/// configuration. Nodes that ask at the same time share the link of the node
/// that answers, so a read goes on as long as bytes arrive.
constexpr http::FetchLimits PeerReadLimits = {.HeadTimeout = Duration(1000),
                                              .PauseTimeout = Duration(1000),
                                              .BodyTimeout = Duration(10000),
                                              .MaxBytes = 16 * 1024 * 1024};

using catalog::nameOf;

/// Changes found by a read of the whole table. The batch does not follow on
/// from an earlier version, so receivers stay incomplete until they read the
/// rest.
RowBatch unlinkedBatch(std::vector<Row> Changes, std::uint64_t Version) {
  return {Version, Version, std::move(Changes)};
}

class Follower final : public RowFollower {
public:
  Follower(GatewayState &State, StoreClient &Store, OnRows Notify)
      : State_(State), Store_(Store), Notify_(std::move(Notify)) {}

  void start() {
    for (const Table TableId : FollowedTables)
      asio::co_spawn(State_.Context, follow(TableId), asio::detached);
  }

  void refreshOperatorTable() override { startRefresh(Table::Operator); }

  std::vector<CoverageReport> ownCoverage() const override {
    std::vector<CoverageReport> Reports;
    for (const Table TableId : FollowedTables)
      if (stateOf(TableId).LastStoreTime)
        Reports.push_back({TableId, replica(TableId).coverage(),
                           *stateOf(TableId).LastStoreTime});
    return Reports;
  }

  void recordPeerCoverage(const CoverageReport &Report,
                          const http::Address &Peer) override {
    if (Report.Table == Table::Nodes)
      return;
    const BootTime Now = BootClock::now();
    catalog::TableFreshness &Freshness = freshness(Report.Table);
    if (!Freshness.wouldImprove(Report.StoreTime, Now))
      return;
    TableState &Own = stateOf(Report.Table);
    if (Own.Replica.recordPeerCoverage(Report.Coverage)) {
      Freshness.recordPeerSnapshot(Report.StoreTime, Now);
      Own.NewerPeerCopy.reset();
    } else {
      Own.NewerPeerCopy = {Peer, Report.StoreTime};
    }
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
    if (Batch.After > Complete)
      State_.Log.write("rows_gap", State_.now(), [&](LogLine &Line) {
        Line.field("table", nameOf(TableId))
            .field("complete", Complete)
            .field("after", Batch.After)
            .field("up_to", Batch.UpTo);
      });
    publishChanges(TableId, replica(TableId).mergeFromPeer(std::move(Batch)),
                   "peer");
  }

  RowBatch rowsAfter(Table TableId, std::uint64_t After) const override {
    return replica(TableId).batchAfter(After);
  }
  bool hasRead(Table TableId) const override {
    return replica(TableId).size() > 0;
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
    TableReplica Replica;
    /// The store's steady clock at its last answer.
    std::optional<Duration> LastStoreTime;
    std::optional<PeerCopy> NewerPeerCopy;
    BootTime RefreshTriedAt;         ///< when a refresh was last due
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
  TableReplica &replica(Table TableId) { return stateOf(TableId).Replica; }
  const TableReplica &replica(Table TableId) const {
    return stateOf(TableId).Replica;
  }

  catalog::TableFreshness &freshness(Table TableId) const {
    return TableId == Table::Operator ? State_.OperatorFreshness
                                      : State_.EndpointFreshness;
  }

  /// Longest allowed time from the acknowledgement of a change until all nodes
  /// act on it.
  Duration boundOf(Table TableId) const {
    const GatewayBounds &Bounds = State_.Settings.Bounds;
    return TableId == Table::Operator ? Bounds.ConfigApply : Bounds.Drain;
  }

  void refreshIfStale(Table TableId) {
    const BootTime Now = BootClock::now();
    const Duration Bound = boundOf(TableId);
    const std::optional<Duration> Age = freshness(TableId).age(Now);
    logStaleness(TableId, Age, Bound);
    TableState &Own = stateOf(TableId);
    const auto SinceRefreshTried =
        std::chrono::duration_cast<Duration>(Now - Own.RefreshTriedAt);
    const bool IsConfirmer = confirmerWaitFraction().has_value();
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
                   boundOf(TableId) * ReplicaRefresh.ReadAgeFraction),
               Now);
  }

  /// How long this node's calls wait for changes, as a fraction of the bound;
  /// nothing if it is no confirmer.
  std::optional<double> confirmerWaitFraction() const {
    const auto Better =
        static_cast<std::size_t>(State_.Nodes->betterRankedFollowers());
    if (!State_.Nodes->isFollowing() || Better >= ConfirmerWaitFractions.size())
      return std::nullopt;
    return ConfirmerWaitFractions.at(Better);
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

  http::Task<void> follow(Table TableId) {
    Duration Backoff = InitialBackoff;
    bool ReadAll = true;
    // The first call after a failure must not wait for changes: it would show
    // that the store answers again only when something changes.
    bool HasFailed = false;
    while (true) {
      if (!ReadAll && !updateFollowing(TableId)) {
        co_await http::sleepFor(RoleCheckPeriod);
        continue;
      }
      StoreRows Result;
      const BootTime SentAt = BootClock::now();
      if (ReadAll)
        Result = co_await Store_.readAll(TableId);
      else
        Result = co_await Store_.waitForChanges(
            TableId, replica(TableId).completeVersion(),
            HasFailed ? NoWait : longPollWait(TableId));
      recordStoreStatus(TableId, Result);
      HasFailed = Result.Status != StoreStatus::Ok;
      if (Result.Status == StoreStatus::Ok) {
        applyStoreRows(TableId, Result, ReadAll, SentAt);
        if (ReadAll)
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

  bool hasOperatorFollowers() const {
    return State_.Nodes->possibleNodes() >= MinNodesForOperatorFollowers;
  }

  Duration longPollWait(Table TableId) const {
    const GatewayBounds &Bounds = State_.Settings.Bounds;
    const std::optional<double> Fraction = confirmerWaitFraction();
    if (!Fraction)
      return LongPollWait;
    Duration Wait =
        std::chrono::duration_cast<Duration>(boundOf(TableId) * *Fraction);
    if (TableId == Table::Operator && Bounds.RevokeFailClosed)
      Wait = std::min(Wait, std::chrono::duration_cast<Duration>(
                                Bounds.Revoke * FailClosedWaitFraction));
    return Wait;
  }

  void startRefresh(Table TableId) {
    if (!stateOf(TableId).RefreshInProgress)
      asio::co_spawn(State_.Context, refresh(TableId), asio::detached);
  }

  /// Reads changes at once, concurrently with a call that waits for them.
  http::Task<void> refresh(Table TableId) {
    stateOf(TableId).RefreshInProgress = true;
    const BootTime SentAt = BootClock::now();
    bool ReadAll = false;
    StoreRows Result = co_await Store_.waitForChanges(
        TableId, replica(TableId).completeVersion(), NoWait);
    if (Result.Status == StoreStatus::HistoryGone) {
      ReadAll = true;
      Result = co_await Store_.readAll(TableId);
    }
    stateOf(TableId).RefreshInProgress = false;
    if (Result.Status == StoreStatus::Ok) {
      applyStoreRows(TableId, Result, ReadAll, SentAt);
      co_return;
    }
    State_.Log.write("confirm_failed", State_.now(), [&](LogLine &Line) {
      Line.field("table", nameOf(TableId)).field("reason", Result.Reason);
    });
    if (stateOf(TableId).NewerPeerCopy)
      fetchFrom(TableId, stateOf(TableId).NewerPeerCopy->Address);
  }

  /// Returns whether this node is to follow the table at the store. The
  /// endpoints' table changes often: a few nodes follow it and forward the
  /// changes. In a large fleet the same holds for the operator's table, which
  /// otherwise all nodes would read at the same time.
  bool updateFollowing(Table TableId) {
    if (TableId != Table::Endpoints && !hasOperatorFollowers())
      return true;
    const bool Should = State_.Nodes->shouldFollow();
    if (!Should)
      State_.Nodes->setFollowing(false);
    return Should;
  }

  void applyStoreRows(Table TableId, StoreRows &Result, bool ReadAll,
                      BootTime SentAt) {
    const std::optional<Duration> StoreTime = Result.StoreTime;
    const catalog::RowCoverage Before = replica(TableId).coverage();
    const std::vector<Row> Changes =
        ReadAll
            ? replica(TableId).replaceAll(std::move(Result.Rows),
                                          Result.Version)
            : replica(TableId).merge(std::move(Result.Rows), Result.Version);
    publishChanges(TableId, Changes, "store");
    freshness(TableId).recordStoreAnswer(SentAt, BootClock::now(), StoreTime);
    stateOf(TableId).LastStoreTime = StoreTime;
    stateOf(TableId).NewerPeerCopy.reset();
    // In a large fleet only the best-ranked follower forwards changes. Nodes
    // that miss some learn it from the heartbeats of the others.
    const bool Forwards =
        !State_.Nodes->hasRoles() || State_.Nodes->betterRankedFollowers() == 0;
    if (TableId == Table::Endpoints && Forwards && Before.UpTo > 0 &&
        !Changes.empty())
      State_.Nodes->announceEndpointRows(
          ReadAll ? unlinkedBatch(Changes, replica(TableId).completeVersion())
                  : rowsAfter(TableId, std::max(Before.LastChange,
                                                Before.WholeReadVersion)));
  }

  void publishChanges(Table TableId, const std::vector<Row> &Changes,
                      std::string_view Source) {
    State_.Nodes->setLastChanges(replica(Table::Operator).lastCoveredChange(),
                                 replica(Table::Endpoints).lastCoveredChange());
    if (Changes.empty())
      return;
    // The changes are not older than the last confirmation of the copy.
    const std::optional<Duration> Age =
        freshness(TableId).age(BootClock::now());
    if (TableId == Table::Endpoints && Age)
      State_.Metrics->observeUpdateAge(*Age);
    State_.Log.write("rows_read", State_.now(), [&](LogLine &Line) {
      Line.field("table", nameOf(TableId))
          .field("rows", Changes.size())
          .field("complete", replica(TableId).lastCoveredChange())
          .field("source", Source)
          .field("known_age_ms", Age ? Age->count() : -1);
    });
    Notify_(TableId, Changes);
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
    http::Request Call;
    Call.Method = "GET";
    Call.Target = "/rows/" + std::string(nameOf(TableId)) + "?after=" +
                  std::to_string(replica(TableId).completeVersion());
    const std::string PeerHost = Peer.Host;
    std::optional<http::Response> Reply =
        co_await http::fetch(std::move(Peer), Call, PeerReadLimits);
    stateOf(TableId).PeerReadInProgress = false;
    std::string Reason = "no answer";
    std::optional<RowBatch> Batch;
    if (Reply && Reply->Status == 200)
      Batch = unpackRows(Reply->Body, Reason);
    if (!Batch) {
      logWarning("peer_rows_failed")
          .field("peer", PeerHost)
          .field("table", nameOf(TableId))
          .field("reason", Reason);
      co_return;
    }
    publishChanges(TableId, replica(TableId).mergeFromPeer(std::move(*Batch)),
                   PeerHost);
  }

  GatewayState &State_;
  StoreClient &Store_;
  OnRows Notify_;
  std::array<TableState, catalog::TableCount> States_;
  bool StoreAnswers_ = true;
  TimePoint RegainedAt_;
};

} // namespace

std::string rowsPath(Table TableId) {
  return "/rows/" + std::string(nameOf(TableId));
}

std::unique_ptr<RowFollower> startRowFollower(GatewayState &State,
                                              StoreClient &Store,
                                              RowFollower::OnRows Notify) {
  auto Result = std::make_unique<Follower>(State, Store, std::move(Notify));
  Result->start();
  return Result;
}

} // namespace cassiashed::gateway
