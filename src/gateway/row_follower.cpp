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

/// How long the store holds a call open while nothing changes. Calls are
/// priced; a connection that went silent is noticed after this time at the
/// latest, and earlier through the versions that other nodes report.
constexpr Duration FollowWait{20000};
/// Nodes from which on a few followers read the operator's table for all. Below
/// it every node does: followers that a silent store turns away would hold up
/// a change for all until their calls time out.
constexpr int OperatorFollowersFrom = 100;
/// Where keys are refused that nobody can vouch for, the followers that vouch
/// hear from the store this often at least, in parts of the bound.
constexpr double ConfirmPart = 0.2;
/// How long the store holds calls open of the two followers that vouch for the
/// others' copies, in parts of the bound on changes of the table.
constexpr std::array<double, 2> VouchWaits = {0.2, 0.4};
/// Copies that nobody vouches for are read from the store: enough of the bound
/// is left for some tries at a slow store.
constexpr catalog::RefreshOptions CopyRefresh = {.AskAgeFraction = 1,
                                                 .ReadAgeFraction = 0.6,
                                                 .AskPeriodFraction = 1,
                                                 .ReadPeriodFraction = 0.15};
/// A node that should vouch reads the store when a better-ranked one no longer
/// does: its own call may wait for long yet.
constexpr catalog::RefreshOptions VoucherRefresh = {.AskAgeFraction = 1,
                                                    .ReadAgeFraction = 0.3,
                                                    .AskPeriodFraction = 1,
                                                    .ReadPeriodFraction = 0.15};
/// The tables that are followed; the nodes' table is read once.
constexpr std::array<Table, 2> Followed = {Table::Operator, Table::Endpoints};
/// A read that only confirms what is known, or that the store is back.
constexpr Duration NoWait{1};
/// Until it is known whether the fleet is large: the processes of a deployment
/// start within 0.3 s and read the nodes' table after they wrote their own row.
constexpr Duration JoinTime{800};
/// Nodes with a role say so each 400 ms.
constexpr Duration RoleTime{600};
/// Changes of the configuration within this time are read with one call.
constexpr Duration OperatorPause{200};
/// How often a node that does not follow a table checks whether it should.
constexpr Duration RoleCheck{200};
constexpr Duration FirstPause{100};
constexpr Duration LongestPause{1500};
constexpr Duration PeerReadLimit{1000};
/// Another node's rows of one table: some hundred of at most 64 KiB.
constexpr std::size_t PeerReadBytes = 16 * 1024 * 1024;

using catalog::nameOf;

/// What a read of the whole table has brought: it links to no earlier change,
/// so copies that take it in stay incomplete until they ask for the rest.
RowBatch unlinkedBatch(std::vector<Row> News, std::uint64_t Version) {
  return {Version, Version, std::move(News)};
}

class Follower final : public RowFollower {
public:
  Follower(GatewayState &State, StoreClient &Store, OnRows Notify)
      : State_(State), Store_(Store), Notify_(std::move(Notify)) {}

  void start() {
    for (const Table Which : Followed)
      asio::co_spawn(State_.Context, follow(Which), asio::detached);
  }

  void confirmOperatorRows() override { startConfirm(Table::Operator); }

  std::vector<CoverageReport> ownCoverage() const override {
    std::vector<CoverageReport> Claims;
    for (const Table Which : Followed)
      if (copy(Which).ReadAt)
        Claims.push_back(
            {Which, mirror(Which).coverage(), *copy(Which).ReadAt});
    return Claims;
  }

  void recordPeerCoverage(const CoverageReport &Claim,
                          const http::Address &Peer) override {
    if (Claim.Which == Table::Nodes)
      return;
    const BootTime Now = BootClock::now();
    catalog::TableFreshness &Freshness = freshness(Claim.Which);
    if (!Freshness.wouldImprove(Claim.StoreTime, Now))
      return;
    Copy &Own = copy(Claim.Which);
    if (Own.Mirror.recordPeerCoverage(Claim.Coverage)) {
      Freshness.recordPeerSnapshot(Claim.StoreTime, Now);
      Own.Ahead.reset();
    } else {
      Own.Ahead = {Peer, Claim.StoreTime};
    }
  }

  void keepCurrent() override {
    for (const Table Which : Followed)
      if (hasRead(Which))
        keepCurrent(Which);
  }

  void fetchFrom(Table Which, http::Address Peer) override {
    asio::co_spawn(State_.Context, fetch(Which, std::move(Peer)),
                   asio::detached);
  }

  void takeFromPeer(Table Which, RowBatch Batch) override {
    const std::uint64_t Complete = mirror(Which).completeVersion();
    if (Batch.After > Complete)
      State_.Log.write("rows_gap", State_.now(), [&](LogLine &Line) {
        Line.field("table", nameOf(Which))
            .field("complete", Complete)
            .field("after", Batch.After)
            .field("up_to", Batch.UpTo);
      });
    report(Which, mirror(Which).mergeFromPeer(std::move(Batch)), "peer");
  }

  RowBatch rowsAfter(Table Which, std::uint64_t After) const override {
    return mirror(Which).batchAfter(After);
  }
  bool hasRead(Table Which) const override { return mirror(Which).size() > 0; }
  bool storeAnswers() const override { return Answers_; }
  TimePoint storeRegainedAt() const override { return RegainedAt_; }

private:
  /// A node that holds rows which this one lacks.
  struct MoreCurrentNode {
    http::Address Where;
    Duration StoreTime{0}; ///< at which its copy was complete
  };

  /// A table as this node holds it.
  struct Copy {
    TableReplica Mirror;
    /// The store's clock at its last answer.
    std::optional<Duration> ReadAt;
    std::optional<MoreCurrentNode> Ahead;
    BootTime TriedAt; ///< the last time that a refresh was due
    bool Confirming = false;
    bool IsCurrent = true; ///< as logged
  };

  Copy &copy(Table Which) { return Copies_[static_cast<std::size_t>(Which)]; }
  const Copy &copy(Table Which) const {
    return Copies_[static_cast<std::size_t>(Which)];
  }
  TableReplica &mirror(Table Which) { return copy(Which).Mirror; }
  const TableReplica &mirror(Table Which) const { return copy(Which).Mirror; }

  catalog::TableFreshness &freshness(Table Which) const {
    return Which == Table::Operator ? State_.OperatorFreshness
                                    : State_.EndpointFreshness;
  }

  /// From the acknowledgement of a change until no node may act without it.
  Duration boundOf(Table Which) const {
    const GatewayBounds &Bounds = State_.Settings.Bounds;
    return Which == Table::Operator ? Bounds.ConfigApply : Bounds.Drain;
  }

  void keepCurrent(Table Which) {
    const BootTime Now = BootClock::now();
    const Duration Bound = boundOf(Which);
    const std::optional<Duration> Age = freshness(Which).age(Now);
    noteAge(Which, Age, Bound);
    Copy &Own = copy(Which);
    const auto SinceTried =
        std::chrono::duration_cast<Duration>(Now - Own.TriedAt);
    const bool Vouches = vouchWait().has_value();
    if (catalog::nextRefresh(Age, Bound, Duration(0), SinceTried,
                             Vouches ? VoucherRefresh : CopyRefresh) !=
        catalog::Refresh::ReadStore)
      return;
    Own.TriedAt = Now;
    const double Share =
        Vouches ? 1
                : catalog::storeReadProbability(State_.Nodes->possibleNodes(),
                                                isOtherCurrent(Which, Now));
    if (std::bernoulli_distribution(Share)(State_.Random))
      startConfirm(Which);
  }

  /// Whether a node that holds rows which this one lacks is current.
  bool isOtherCurrent(Table Which, BootTime Now) const {
    const Copy &Own = copy(Which);
    return Own.Ahead && freshness(Which).isSnapshotWithin(
                            Own.Ahead->StoreTime,
                            std::chrono::duration_cast<Duration>(
                                boundOf(Which) * CopyRefresh.ReadAgeFraction),
                            Now);
  }

  /// How long this node's calls wait for changes, in parts of the bound, if it
  /// vouches for the others' copies.
  std::optional<double> vouchWait() const {
    const auto Better =
        static_cast<std::size_t>(State_.Nodes->betterRankedFollowers());
    if (!State_.Nodes->isFollowing() || Better >= VouchWaits.size())
      return std::nullopt;
    return VouchWaits.at(Better);
  }

  void noteAge(Table Which, std::optional<Duration> Age, Duration Bound) {
    const bool IsCurrent = Age && *Age <= Bound;
    if (IsCurrent == copy(Which).IsCurrent)
      return;
    copy(Which).IsCurrent = IsCurrent;
    (IsCurrent ? logEvent("rows_current") : logWarning("rows_old"))
        .field("table", nameOf(Which))
        .field("age_ms", Age ? Age->count() : -1)
        .field("bound_ms", Bound.count())
        .field("complete", mirror(Which).lastCoveredChange());
  }

  http::Task<void> follow(Table Which) {
    Duration Pause = FirstPause;
    bool ReadAll = true;
    // A call that waits for changes would tell of the store's return only when
    // something changes.
    bool HasFailed = false;
    while (true) {
      if (!ReadAll && !mayFollow(Which)) {
        co_await http::sleepFor(RoleCheck);
        continue;
      }
      StoreRows Result;
      const BootTime SentAt = BootClock::now();
      if (ReadAll)
        Result = co_await Store_.readAll(Which);
      else
        Result = co_await Store_.waitForChanges(
            Which, mirror(Which).completeVersion(),
            HasFailed ? NoWait : followWait(Which));
      noteAnswer(Which, Result);
      HasFailed = Result.Status != StoreStatus::Ok;
      if (Result.Status == StoreStatus::Ok) {
        take(Which, Result, ReadAll, SentAt);
        if (ReadAll)
          co_await awaitRoles();
        ReadAll = false;
        Pause = FirstPause;
        if (Which == Table::Operator)
          co_await http::sleepFor(OperatorPause);
        continue;
      }
      if (Result.Status == StoreStatus::HistoryGone) {
        ReadAll = true;
        continue;
      }
      co_await http::sleepFor(Pause);
      Pause = std::min(Pause * 2, LongestPause);
    }
  }

  /// After the first read: lets the nodes of a large fleet hear of each other,
  /// or each of them would follow the tables.
  http::Task<void> awaitRoles() {
    co_await http::sleepFor(JoinTime);
    if (State_.Nodes->hasRoles())
      co_await http::sleepFor(RoleTime);
  }

  bool hasOperatorFollowers() const {
    return State_.Nodes->possibleNodes() >= OperatorFollowersFrom;
  }

  Duration followWait(Table Which) const {
    const GatewayBounds &Bounds = State_.Settings.Bounds;
    const std::optional<double> Part = vouchWait();
    if (!Part)
      return FollowWait;
    Duration Wait =
        std::chrono::duration_cast<Duration>(boundOf(Which) * *Part);
    if (Which == Table::Operator && Bounds.RevokeFailClosed)
      Wait = std::min(Wait, std::chrono::duration_cast<Duration>(Bounds.Revoke *
                                                                 ConfirmPart));
    return Wait;
  }

  void startConfirm(Table Which) {
    if (!copy(Which).Confirming)
      asio::co_spawn(State_.Context, confirm(Which), asio::detached);
  }

  /// Reads changes at once, beside a call that waits for them.
  http::Task<void> confirm(Table Which) {
    copy(Which).Confirming = true;
    const BootTime SentAt = BootClock::now();
    bool ReadAll = false;
    StoreRows Result = co_await Store_.waitForChanges(
        Which, mirror(Which).completeVersion(), NoWait);
    if (Result.Status == StoreStatus::HistoryGone) {
      ReadAll = true;
      Result = co_await Store_.readAll(Which);
    }
    copy(Which).Confirming = false;
    if (Result.Status == StoreStatus::Ok) {
      take(Which, Result, ReadAll, SentAt);
      co_return;
    }
    State_.Log.write("confirm_failed", State_.now(), [&](LogLine &Line) {
      Line.field("table", nameOf(Which)).field("reason", Result.Reason);
    });
    if (copy(Which).Ahead)
      fetchFrom(Which, copy(Which).Ahead->Where);
  }

  /// Whether this node follows the table at the store. The endpoints' table
  /// changes often; a few nodes follow it and pass the changes on. In a large
  /// fleet the same goes for the operator's table, which all read at once.
  bool mayFollow(Table Which) {
    if (Which != Table::Endpoints && !hasOperatorFollowers())
      return true;
    const bool Should = State_.Nodes->shouldFollow();
    if (!Should)
      State_.Nodes->setFollowing(false);
    return Should;
  }

  void take(Table Which, StoreRows &Result, bool ReadAll, BootTime SentAt) {
    const std::optional<Duration> StoreTime = Result.StoreTime;
    const catalog::RowCoverage Before = mirror(Which).coverage();
    const std::vector<Row> News =
        ReadAll
            ? mirror(Which).replaceAll(std::move(Result.Rows), Result.Version)
            : mirror(Which).merge(std::move(Result.Rows), Result.Version);
    report(Which, News, "store");
    freshness(Which).recordStoreAnswer(SentAt, BootClock::now(), StoreTime);
    copy(Which).ReadAt = StoreTime;
    copy(Which).Ahead.reset();
    // In a large fleet one follower passes news on; nodes that miss some hear
    // of it from the others' heartbeats.
    const bool PassesOn =
        !State_.Nodes->hasRoles() || State_.Nodes->betterRankedFollowers() == 0;
    if (Which == Table::Endpoints && PassesOn && Before.UpTo > 0 &&
        !News.empty())
      State_.Nodes->announceEndpointRows(
          ReadAll ? unlinkedBatch(News, mirror(Which).completeVersion())
                  : rowsAfter(Which, std::max(Before.LastChange,
                                              Before.WholeReadVersion)));
  }

  void report(Table Which, const std::vector<Row> &News,
              std::string_view Source) {
    State_.Nodes->setRowVersions(mirror(Table::Operator).lastCoveredChange(),
                                 mirror(Table::Endpoints).lastCoveredChange());
    if (News.empty())
      return;
    // The news is at most as old as the time up to which the copy was current.
    const std::optional<Duration> Age = freshness(Which).age(BootClock::now());
    if (Which == Table::Endpoints && Age)
      State_.Metrics->observeNewsAge(*Age);
    State_.Log.write("rows_read", State_.now(), [&](LogLine &Line) {
      Line.field("table", nameOf(Which))
          .field("rows", News.size())
          .field("complete", mirror(Which).lastCoveredChange())
          .field("source", Source)
          .field("known_age_ms", Age ? Age->count() : -1);
    });
    Notify_(Which, News);
  }

  void noteAnswer(Table Which, const StoreRows &Result) {
    const bool Answers = Result.Status == StoreStatus::Ok ||
                         Result.Status == StoreStatus::HistoryGone;
    // A node that the store turns away does not count as a follower.
    if (Which == Table::Endpoints)
      State_.Nodes->setFollowing(Answers);
    if (Answers == Answers_)
      return;
    Answers_ = Answers;
    if (Answers) {
      RegainedAt_ = State_.now();
      logEvent("store_regained").field("table", nameOf(Which));
    } else {
      logWarning("store_lost")
          .field("table", nameOf(Which))
          .field("reason", Result.Reason);
    }
  }

  http::Task<void> fetch(Table Which, http::Address Peer) {
    http::Request Call;
    Call.Method = "GET";
    Call.Target = "/rows/" + std::string(nameOf(Which)) +
                  "?after=" + std::to_string(mirror(Which).completeVersion());
    const std::string From = Peer.Host;
    std::optional<http::Response> Reply = co_await http::fetch(
        std::move(Peer), Call, PeerReadLimit, nullptr, PeerReadBytes);
    std::string Reason = "no answer";
    std::optional<RowBatch> Batch;
    if (Reply && Reply->Status == 200)
      Batch = unpackRows(Reply->Body, Reason);
    if (!Batch) {
      logWarning("peer_rows_failed")
          .field("peer", From)
          .field("table", nameOf(Which))
          .field("reason", Reason);
      co_return;
    }
    report(Which, mirror(Which).mergeFromPeer(std::move(*Batch)), From);
  }

  GatewayState &State_;
  StoreClient &Store_;
  OnRows Notify_;
  std::array<Copy, catalog::TableCount> Copies_;
  bool Answers_ = true;
  TimePoint RegainedAt_;
};

} // namespace

std::string rowsPath(Table Which) {
  return "/rows/" + std::string(nameOf(Which));
}

std::unique_ptr<RowFollower> startRowFollower(GatewayState &State,
                                              StoreClient &Store,
                                              RowFollower::OnRows Notify) {
  auto Result = std::make_unique<Follower>(State, Store, std::move(Notify));
  Result->start();
  return Result;
}

} // namespace cassiashed::gateway
