#include "cassiashed/gateway/gateway.h"

#include "cassiashed/base/event_log.h"
#include "gateway/caller_server.h"
#include "gateway/catalog_updater.h"
#include "gateway/exchange.h"
#include "gateway/node_row.h"
#include "gateway/peer_rows.h"
#include "gateway/row_follower.h"
#include "gateway/row_messages.h"
#include "gateway/shared_placement.h"
#include "http/peer_limits.h"
#include "http/server.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>

namespace cassiashed::gateway {
namespace {

constexpr Duration TickPeriod{100};
constexpr Duration HousekeepingPeriod{1000};
/// How often the settings file is checked for changes without a signal.
constexpr Duration SettingsCheckPeriod{2000};
/// The external load balancer checks readiness once a second and removes a node
/// after two failures; until then new connections arrive.
constexpr Duration BalancerDelay{3000};
/// Time left before SIGKILL to write the last log lines.
constexpr Duration ShutdownMargin{400};
/// Time left before SIGKILL when requests without an answer get one that says
/// so. Answers that have started go on until `ShutdownMargin`.
constexpr Duration FinalAnswerMargin{800};

class Gateway {
public:
  Gateway(const GatewaySettings &Settings, std::string SettingsPath,
          GatewayAdapter Adapter)
      : Context_(1), Adapter_(std::move(Adapter)),
        State_(Context_, Settings, *Adapter_.Protocol), Updater_(State_),
        SettingsPath_(std::move(SettingsPath)), Terminate_(Context_, SIGTERM),
        Reload_(Context_, SIGHUP), TickTimer_(Context_) {}

  int run() {
    std::string Reason;
    if (!start(Reason)) {
      logError("start_failed").field("reason", Reason);
      return 1;
    }
    const GatewayIdentity &Self = State_.Settings.Gateway;
    logEvent("started")
        .field("node", Self.Name)
        .field("zone", Self.Zone)
        .field("listen", formatHostPort(Self.Listen))
        .field("store", formatHostPort(State_.Settings.Store));
    Context_.run();
    logEvent("stopped")
        .field("node", Self.Name)
        .field("active_requests", State_.ActiveRequests.size())
        .field("connections", Callers_->connectionCount())
        .field("unread_connections", Callers_->unreadCount());
    return 0;
  }

private:
  bool start(std::string &Reason) {
    const GatewayIdentity &Self = State_.Settings.Gateway;
    if (!startNodes(Reason))
      return false;
    NodeRow_ = makeNodeRow(State_, *Adapter_.Store,
                           [this](const std::vector<catalog::Row> &Rows) {
                             onRows(catalog::Table::Nodes, Rows, false);
                           });
    RowFollower_ = startRowFollower(
        State_, *Adapter_.Store,
        [this](catalog::Table TableId, const std::vector<catalog::Row> &Changes,
               bool BeginsEra) { onRows(TableId, Changes, BeginsEra); });
    Callers_ = startCallerServer(State_, Self.Listen, Reason);
    if (!Callers_)
      return false;
    Ready_ = serve(Self.Readiness, &Gateway::answerReadiness, Reason);
    Internal_ = serve(Self.Internal, &Gateway::answerRowsRequest, Reason);
    if (Self.Metrics)
      Metrics_ = serve(*Self.Metrics, &Gateway::answerMetrics, Reason);
    if (!Ready_ || !Internal_ || (Self.Metrics && !Metrics_))
      return false;
    State_.Dispatcher.setAvailableConnections(
        [this](const catalog::KnownEndpoint &Endpoint) {
          // Idle connections do not count: they are closed for new ones.
          return State_.connectionShare(Endpoint) -
                 State_.Pool.busyCount(Endpoint.Number);
        });
    NodeRow_->start();
    watchSignals();
    recordSettingsTime();
    tick();
    return true;
  }

  bool startNodes(std::string &Reason) {
    NodeNetworkOptions Options;
    Options.Name = State_.Settings.Gateway.Name;
    Options.Incarnation = State_.Random();
    Options.CpuShare = State_.Settings.Limits.CpuShare;
    Options.LinkMbps = State_.Settings.Limits.LinkMbps;
    Options.Internal = {State_.Settings.Gateway.Internal.Host,
                        State_.Settings.Gateway.Internal.Port};
    for (const HostPort &Seed : State_.Settings.Cluster.Seeds)
      Options.SeedHosts.push_back(Seed.Host);
    NodeNetworkEvents Events;
    Events.RequestStarted = [this](const balancing::Assignment &Started) {
      State_.Load.assign(Started, State_.now());
    };
    Events.FirstToken = [this](std::uint64_t Id) { recordFirstToken(Id); };
    Events.RequestFinished = [this](std::uint64_t Id) {
      State_.finishWork(Id);
    };
    Events.Crash = [this](const CrashReport &Report) {
      State_.Crashes.recordCrash(Report.Content, Report.EndpointId,
                                 State_.now());
    };
    Events.EndpointUnresponsive = [this](const std::string &Id) {
      const catalog::EndpointRef Known = State_.Directory.find(Id);
      if (Known)
        State_.Health.recordOutcome(
            Known->Number, balancing::EndpointOutcome::ReportedUnresponsive,
            State_.now());
    };
    Events.Outcome = [this](const EndpointOutcomeReport &Report) {
      recordPeerOutcome(Report);
    };
    Events.Query = [this](const PlacementQuery &Query, const std::string &Host,
                          std::uint32_t Origin) {
      State_.Placement->handleQuery(Query, Host, Origin);
    };
    Events.Reply = [this](PlacementReply Reply) {
      State_.Placement->handleReply(std::move(Reply));
    };
    Events.NodeLost = [this](std::uint32_t Origin) {
      State_.Load.finishAllFromNode(Origin, State_.now());
    };
    Events.EndpointRows = [this](RowBatch Rows) {
      RowFollower_->mergeFromPeer(catalog::Table::Endpoints, std::move(Rows));
    };
    Events.EndpointRowsAfter = [this](std::uint64_t After) {
      const catalog::Table Endpoints = catalog::Table::Endpoints;
      return RowFollower_->rowsAfter(Endpoints,
                                     {RowFollower_->era(Endpoints), After});
    };
    Events.OperatorTableAge = [this] {
      return State_.OperatorFreshness.age(BootClock::now());
    };
    Events.OperatorTableConfirmed = [this](BootTime AskedAt, Duration Age) {
      if (!RowFollower_->isDoubtful(catalog::Table::Operator))
        State_.OperatorFreshness.recordPeerAnswer(AskedAt, Age);
    };
    Events.OwnCoverage = [this] {
      return RowFollower_ ? RowFollower_->ownCoverage()
                          : std::vector<CoverageReport>();
    };
    Events.PeerCoverage = [this](const CoverageReport &Report,
                                 const http::Address &Peer) {
      RowFollower_->recordPeerCoverage(Report, Peer);
    };
    Events.NewerRows = [this](catalog::Table TableId, http::Address Peer) {
      RowFollower_->fetchFrom(TableId, std::move(Peer));
    };
    State_.Nodes = startNodeNetwork(Context_, std::move(Options),
                                    std::move(Events), Reason);
    return State_.Nodes != nullptr;
  }

  /// Records the first token of a request of another node.
  void recordFirstToken(std::uint64_t Id) {
    const TimePoint Now = State_.now();
    State_.Load.markStarted(Id, Now);
    const std::string *DecodeEndpointId = State_.Load.decodeEndpointOf(Id);
    const catalog::EndpointRef Known =
        DecodeEndpointId ? State_.Directory.find(*DecodeEndpointId) : nullptr;
    if (!Known)
      return;
    State_.Health.recordBytesReceived(Known->Number, false, Now);
    State_.Health.recordEnd(Known->Number, Id, Now);
  }

  void recordPeerOutcome(const EndpointOutcomeReport &Report) {
    using balancing::EndpointOutcome;
    const catalog::EndpointRef Known = State_.Directory.find(Report.EndpointId);
    if (!Known || Report.Outcome > static_cast<std::uint32_t>(
                                       EndpointOutcome::ReportedUnresponsive))
      return;
    State_.Health.recordOutcome(Known->Number,
                                static_cast<EndpointOutcome>(Report.Outcome),
                                State_.now());
  }

  using Handler = http::Response (Gateway::*)(const http::Request &);

  std::unique_ptr<http::Server> serve(const HostPort &Address, Handler Handle,
                                      std::string &Reason) {
    http::ServerOptions Options;
    Options.Host = Address.Host;
    Options.Port = Address.Port;
    return http::startServer(
        Context_, Options,
        [this, Handle](http::Request Call,
                       http::ResponseWriter &Writer) -> http::Task<void> {
          http::Response Reply = (this->*Handle)(Call);
          co_await Writer.send(Reply.Status, "text/plain",
                               std::move(Reply.Body), std::move(Reply.Fields));
        },
        [](http::ReadFailure) {
          return http::Response{400, {}, "request cannot be read\n"};
        },
        Reason);
  }

  bool isReady() const {
    return !State_.Stopping && State_.Config &&
           RowFollower_->hasRead(catalog::Table::Endpoints) &&
           knowsNeededKeys();
  }

  /// A node that cannot check the keys of callers should get no requests.
  bool knowsNeededKeys() const {
    return !State_.Config->HasWorkspaces || State_.knowsKeys();
  }

  /// Keeps the copy of the operator's table up to date if keys must be refused
  /// while it is too old.
  void refreshKeys() {
    const GatewayBounds &Bounds = State_.Settings.Bounds;
    if (!Bounds.RevokeFailClosed)
      return;
    const BootTime Now = BootClock::now();
    const std::optional<Duration> Age = State_.OperatorFreshness.age(Now);
    const auto Since = [Now](BootTime At) {
      return std::chrono::duration_cast<Duration>(Now - At);
    };
    const catalog::Refresh Next = catalog::nextRefresh(
        Age, Bounds.Revoke, Since(AgeQueriedAt_), Since(RefreshedAt_));
    if (Next == catalog::Refresh::ReadStore) {
      RefreshedAt_ = Now;
      RowFollower_->refreshOperatorTable();
    }
    if (Next != catalog::Refresh::Nothing) {
      AgeQueriedAt_ = Now;
      State_.Nodes->queryOperatorTableAge();
    }
    const bool Knows = State_.knowsKeys();
    if (Knows == KnewKeys_)
      return;
    KnewKeys_ = Knows;
    (Knows ? logEvent("keys_known") : logWarning("keys_unknown"))
        .field("age_ms", Age ? Age->count() : -1)
        .field("bound_ms", Bounds.Revoke.count())
        .field("config", State_.Config ? State_.Config->Version : 0);
  }

  http::Response answerReadiness(const http::Request & /*Call*/) {
    if (isReady())
      return {200, {}, "ready\n"};
    if (State_.Stopping)
      return {503, {}, "stopping\n"};
    const bool HasRead =
        State_.Config && RowFollower_->hasRead(catalog::Table::Endpoints);
    return {503, {}, HasRead ? "keys unknown\n" : "no configuration\n"};
  }

  http::Response answerMetrics(const http::Request & /*Call*/) {
    updateGauges();
    return {200, {}, State_.Metrics->format()};
  }

  /// `GET /rows/TABLE?after=VERSION&era=ERA`, sent by other nodes.
  http::Response answerRowsRequest(const http::Request &Call) {
    const std::string_view Target = Call.Target;
    const std::size_t Query = Target.find('?');
    const catalog::StoreVersion After = parseRowsQuery(
        Query == std::string_view::npos ? "" : Target.substr(Query));
    const std::string_view Path = Target.substr(0, Query);
    for (const catalog::Table Table :
         {catalog::Table::Operator, catalog::Table::Endpoints})
      if (Path == rowsPath(Table))
        return {200, {}, packRows(RowFollower_->rowsAfter(Table, After))};
    return {404, {}, "no such table\n"};
  }

  void onRows(catalog::Table TableId, const std::vector<catalog::Row> &Changes,
              bool BeginsEra) {
    const bool WasReady = isReady();
    Updater_.apply(TableId, Changes, RowFollower_->storeRegainedAt(),
                   BeginsEra);
    if (TableId != catalog::Table::Nodes)
      NodeRow_->noteEra(RowFollower_->era(TableId));
    if (!WasReady && isReady())
      logEvent("ready")
          .field("config", State_.Config->Version)
          .field("endpoints", State_.Directory.all().size());
  }

  void tick() {
    const TimePoint Now = State_.now();
    Updater_.tick(Now);
    State_.Load.expire(Now);
    refreshKeys();
    RowFollower_->refreshIfStale();
    if (Now - LastHousekeeping_ >= HousekeepingPeriod) {
      LastHousekeeping_ = Now;
      State_.Pool.closeExpired(Now);
      http::extendPeerLimits();
    }
    if (Now - LastSettingsCheck_ >= SettingsCheckPeriod) {
      LastSettingsCheck_ = Now;
      if (settingsTime() != SettingsTime_)
        reload("file changed");
    }
    if (State_.Stopping)
      continueShutdown(Now);
    TickTimer_.expires_after(TickPeriod);
    TickTimer_.async_wait([this](Code Failure) {
      if (!Failure)
        tick();
    });
  }

  void watchSignals() {
    Terminate_.async_wait([this](Code Failure, int) {
      if (Failure)
        return;
      beginShutdown();
      watchSignals();
    });
    Reload_.async_wait([this](Code Failure, int) { onReload(Failure); });
  }

  void onReload(Code Failure) {
    if (Failure)
      return;
    reload("signal");
    Reload_.async_wait([this](Code Next, int) { onReload(Next); });
  }

  void beginShutdown() {
    if (State_.Stopping)
      return; // a second signal changes nothing
    State_.Stopping = true;
    State_.StoppingSince = State_.now();
    logEvent("stopping")
        .field("active_requests", State_.ActiveRequests.size())
        .field("connections", Callers_->connectionCount());
  }

  void continueShutdown(TimePoint Now) {
    const Duration Elapsed =
        std::chrono::duration_cast<Duration>(Now - State_.StoppingSince);
    const Duration Grace = State_.Settings.Bounds.Grace;
    // A tick lies between the two, also in a process that was held up, so that
    // the connections that were waiting get an answer.
    if (AcceptingEnded_ && Elapsed >= Grace - ShutdownMargin)
      Context_.stop();
    if (Elapsed >= Grace - FinalAnswerMargin) {
      endUnansweredRequests(State_);
      endAccepting();
    }
    if (Elapsed < BalancerDelay)
      return;
    Callers_->closeIdle();
    // A request may be arriving on any connection that is still open.
    if (Callers_->connectionCount() == 0 && Callers_->stopAccepting())
      Context_.stop();
  }

  /// Later connections are refused by the kernel, rather than reset when the
  /// process ends.
  void endAccepting() {
    while (!AcceptingEnded_)
      AcceptingEnded_ = Callers_->stopAccepting();
  }

  std::filesystem::file_time_type settingsTime() const {
    std::error_code Ignored;
    return std::filesystem::last_write_time(SettingsPath_, Ignored);
  }
  void recordSettingsTime() { SettingsTime_ = settingsTime(); }

  void reload(std::string_view Cause) {
    recordSettingsTime();
    Problems Found;
    const auto Loaded = loadGatewaySettings(SettingsPath_, Found);
    if (!Loaded) {
      logWarning("settings_rejected")
          .field("cause", Cause)
          .field("problem", Found.empty() ? "" : formatProblem(Found.front()));
      return;
    }
    // Changed addresses are ignored: a running process cannot change them.
    State_.Settings.Bounds = Loaded->Bounds;
    State_.Settings.Limits = Loaded->Limits;
    State_.applyBounds();
    for (const HostPort &Seed : Loaded->Cluster.Seeds)
      State_.Nodes->addNode("", Seed.Host, 0);
    logEvent("settings_reloaded").field("cause", Cause);
  }

  void setAge(std::string_view Name, const catalog::TableFreshness &Freshness) {
    const std::optional<Duration> Age = Freshness.age(BootClock::now());
    State_.Metrics->setGauge(
        Name, Age ? std::chrono::duration<double>(*Age).count() : -1);
  }

  void updateGauges() {
    GatewayMetrics &Metrics = *State_.Metrics;
    Metrics.setGauge("config_version",
                     State_.Config ? static_cast<double>(State_.Config->Version)
                                   : 0);
    Metrics.setGauge("active_requests",
                     static_cast<double>(State_.ActiveRequests.size()));
    Metrics.setGauge("endpoints",
                     static_cast<double>(State_.Directory.all().size()));
    Metrics.setGauge("endpoint_connections",
                     static_cast<double>(State_.Pool.openTotal()));
    Metrics.setGauge("caller_connections",
                     static_cast<double>(Callers_->connectionCount()));
    Metrics.setGauge("known_work",
                     static_cast<double>(State_.Load.assignmentCount()));
    Metrics.setGauge("live_nodes", State_.Nodes->liveNodes());
    Metrics.setGauge("possible_nodes", State_.Nodes->possibleNodes());
    Metrics.setGauge("messages_unsent",
                     static_cast<double>(State_.Nodes->unsentMessages()));
    Metrics.setGauge("store_answers", RowFollower_->storeAnswers() ? 1 : 0);
    Metrics.setGauge("store_era",
                     static_cast<double>(std::max(
                         RowFollower_->era(catalog::Table::Operator),
                         RowFollower_->era(catalog::Table::Endpoints))));
    Metrics.setGauge("ready", isReady() ? 1 : 0);
    setAge("operator_rows_age_seconds", State_.OperatorFreshness);
    setAge("endpoint_rows_age_seconds", State_.EndpointFreshness);
  }

  asio::io_context Context_;
  GatewayAdapter Adapter_;
  GatewayState State_;
  CatalogUpdater Updater_;
  std::string SettingsPath_;
  asio::signal_set Terminate_;
  asio::signal_set Reload_;
  asio::steady_timer TickTimer_;
  std::unique_ptr<RowFollower> RowFollower_;
  std::unique_ptr<NodeRow> NodeRow_;
  std::unique_ptr<CallerServer> Callers_;
  std::unique_ptr<http::Server> Ready_;
  std::unique_ptr<http::Server> Internal_;
  std::unique_ptr<http::Server> Metrics_;
  TimePoint LastHousekeeping_;
  TimePoint LastSettingsCheck_;
  BootTime AgeQueriedAt_; ///< when other nodes were last asked
  BootTime RefreshedAt_;  ///< when a refresh was last started
  bool KnewKeys_ = true;
  bool AcceptingEnded_ = false; ///< callers can no longer connect
  std::filesystem::file_time_type SettingsTime_;
};

} // namespace

int runGateway(const GatewaySettings &Settings, const std::string &SettingsPath,
               GatewayAdapter Adapter) {
  logToStandardOutput();
  // A write to a closed connection is an error of that connection only.
  std::signal(SIGPIPE, SIG_IGN);
  // Never destroyed: the process exits right after, and suspended coroutines
  // would be destroyed while they refer to each other.
  auto *Process = new Gateway(Settings, SettingsPath, std::move(Adapter));
  return Process->run();
}

} // namespace cassiashed::gateway
