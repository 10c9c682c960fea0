#include "cassiashed/gateway/gateway.h"

#include "cassiashed/base/event_log.h"
#include "gateway/caller_server.h"
#include "gateway/catalog_updater.h"
#include "gateway/row_follower.h"
#include "gateway/row_messages.h"
#include "gateway/shared_placement.h"
#include "http/server.h"
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <filesystem>

namespace cassiashed::gateway {
namespace {

constexpr Duration TickPeriod{100};
constexpr Duration HousekeepingPeriod{1000};
/// The settings file may change without a signal.
constexpr Duration SettingsCheckPeriod{2000};
/// The balancer asks once a second and takes a node out after two misses;
/// until then new connections keep coming.
constexpr Duration BalancerDelay{3000};
/// Before SIGKILL; enough to write the last log lines.
constexpr Duration GraceMargin{400};
constexpr Duration PublishPause{1000};

class Gateway {
public:
  Gateway(const GatewaySettings &Settings, std::string SettingsPath,
          GatewayAdapter Adapter)
      : Context_(1), Adapter_(std::move(Adapter)),
        State_(Context_, Settings, *Adapter_.Protocol), Updater_(State_),
        SettingsPath_(std::move(SettingsPath)), Terminate_(Context_, SIGTERM),
        Reload_(Context_, SIGHUP), Tick_(Context_) {}

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
        .field("active_requests", State_.ActiveRequests);
    return 0;
  }

private:
  bool start(std::string &Reason) {
    const GatewayIdentity &Self = State_.Settings.Gateway;
    if (!startNodes(Reason))
      return false;
    Rows_ = startRowFollower(
        State_, *Adapter_.Store,
        [this](catalog::Table Which, const std::vector<catalog::Row> &News) {
          onRows(Which, News);
        });
    Callers_ = startCallerServer(State_, Self.Listen, Reason);
    if (!Callers_)
      return false;
    Ready_ = serve(Self.Readiness, &Gateway::answerReadiness, Reason);
    Internal_ = serve(Self.Internal, &Gateway::answerNode, Reason);
    if (Self.Metrics)
      Metrics_ = serve(*Self.Metrics, &Gateway::answerMetrics, Reason);
    if (!Ready_ || !Internal_ || (Self.Metrics && !Metrics_))
      return false;
    State_.Dispatcher.setAvailableConnections(
        [this](const catalog::KnownEndpoint &Which) {
          // Idle connections give way to new ones.
          return State_.connectionShare(Which) -
                 State_.Pool.busyCount(Which.Number);
        });
    asio::co_spawn(Context_, joinNodes(), asio::detached);
    watchSignals();
    noteSettingsTime();
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
    Events.WorkStarted = [this](const balancing::Assignment &Work) {
      State_.Load.assign(Work, State_.now());
    };
    Events.FirstToken = [this](std::uint64_t Id) { noteFirstToken(Id); };
    Events.WorkFinished = [this](std::uint64_t Id) { State_.finishWork(Id); };
    Events.Crash = [this](const CrashReport &Note) {
      State_.Crashes.recordCrash(Note.Content, Note.EndpointId, State_.now());
    };
    Events.EndpointSilent = [this](const std::string &Id) {
      const catalog::EndpointRef Known = State_.Directory.find(Id);
      if (Known)
        State_.Health.recordOutcome(
            Known->Number, balancing::EndpointOutcome::ReportedUnresponsive,
            State_.now());
    };
    Events.Outcome = [this](const EndpointOutcomeReport &Note) {
      takeOutcome(Note);
    };
    Events.Question = [this](const PlacementQuestion &Question,
                             const std::string &Host, std::uint32_t Origin) {
      State_.Placement->takeQuestion(Question, Host, Origin);
    };
    Events.Answer = [this](PlacementAnswer Answer) {
      State_.Placement->takeAnswer(std::move(Answer));
    };
    Events.NodeLost = [this](std::uint32_t Origin) {
      State_.Load.finishAllFromNode(Origin, State_.now());
    };
    Events.EndpointRows = [this](RowBatch Rows) {
      Rows_->takeFromPeer(catalog::Table::Endpoints, std::move(Rows));
    };
    Events.EndpointRowsAfter = [this](std::uint64_t After) {
      return Rows_->rowsAfter(catalog::Table::Endpoints, After);
    };
    Events.OperatorAge = [this] {
      return State_.OperatorFreshness.age(BootClock::now());
    };
    Events.OperatorConfirmed = [this](BootTime AskedAt, Duration Age) {
      State_.OperatorFreshness.recordPeerAnswer(AskedAt, Age);
    };
    Events.OwnClaims = [this] {
      return Rows_ ? Rows_->ownCoverage() : std::vector<CoverageReport>();
    };
    Events.Claim = [this](const CoverageReport &Claim,
                          const http::Address &Peer) {
      Rows_->recordPeerCoverage(Claim, Peer);
    };
    Events.NewerRows = [this](catalog::Table Which, http::Address Peer) {
      Rows_->fetchFrom(Which, std::move(Peer));
    };
    State_.Nodes = startNodeNetwork(Context_, std::move(Options),
                                    std::move(Events), Reason);
    return State_.Nodes != nullptr;
  }

  /// Another node's request began to produce.
  void noteFirstToken(std::uint64_t Id) {
    const TimePoint Now = State_.now();
    State_.Load.markStarted(Id, Now);
    const std::string *Writer = State_.Load.decodeEndpointOf(Id);
    const catalog::EndpointRef Known =
        Writer ? State_.Directory.find(*Writer) : nullptr;
    if (!Known)
      return;
    State_.Health.recordBytesReceived(Known->Number, false, Now);
    State_.Health.recordEnd(Known->Number, Id, Now);
  }

  void takeOutcome(const EndpointOutcomeReport &Note) {
    using balancing::EndpointOutcome;
    const catalog::EndpointRef Known = State_.Directory.find(Note.EndpointId);
    if (!Known || Note.Outcome > static_cast<std::uint32_t>(
                                     EndpointOutcome::ReportedUnresponsive))
      return;
    State_.Health.recordOutcome(Known->Number,
                                static_cast<EndpointOutcome>(Note.Outcome),
                                State_.now());
  }

  using Answer = http::Response (Gateway::*)(const http::Request &);

  std::unique_ptr<http::Server> serve(const HostPort &Address, Answer Handle,
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
           Rows_->hasRead(catalog::Table::Endpoints) && knowsNeededKeys();
  }

  /// Callers with keys are better off at a node that knows them.
  bool knowsNeededKeys() const {
    return !State_.Config->HasWorkspaces || State_.knowsKeys();
  }

  /// Keeps the operator's table current where a node must know which keys are
  /// valid.
  void confirmKeys() {
    const GatewayBounds &Bounds = State_.Settings.Bounds;
    if (!Bounds.RevokeFailClosed)
      return;
    const BootTime Now = BootClock::now();
    const std::optional<Duration> Age = State_.OperatorFreshness.age(Now);
    const auto Since = [Now](BootTime At) {
      return std::chrono::duration_cast<Duration>(Now - At);
    };
    const catalog::Refresh Next = catalog::nextRefresh(
        Age, Bounds.Revoke, Since(AskedAt_), Since(ConfirmedAt_));
    if (Next == catalog::Refresh::ReadStore) {
      ConfirmedAt_ = Now;
      Rows_->confirmOperatorRows();
    }
    if (Next != catalog::Refresh::Nothing) {
      AskedAt_ = Now;
      State_.Nodes->askOperatorAge();
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
    const bool Read =
        State_.Config && Rows_->hasRead(catalog::Table::Endpoints);
    return {503, {}, Read ? "keys unknown\n" : "no configuration\n"};
  }

  http::Response answerMetrics(const http::Request & /*Call*/) {
    updateGauges();
    return {200, {}, State_.Metrics->format()};
  }

  /// `GET /rows/TABLE?after=VERSION`, asked by other nodes.
  http::Response answerNode(const http::Request &Call) {
    const std::string_view Target = Call.Target;
    std::uint64_t After = 0;
    const std::size_t Query = Target.find("?after=");
    if (Query != std::string_view::npos) {
      const std::string_view Number = Target.substr(Query + 7);
      std::from_chars(Number.data(), Number.data() + Number.size(), After);
    }
    const std::string_view Path = Target.substr(0, Query);
    for (const catalog::Table Each :
         {catalog::Table::Operator, catalog::Table::Endpoints})
      if (Path == rowsPath(Each))
        return {200, {}, packRows(Rows_->rowsAfter(Each, After))};
    return {404, {}, "no such table\n"};
  }

  void onRows(catalog::Table Which, const std::vector<catalog::Row> &News) {
    const bool WasReady = isReady();
    Updater_.apply(Which, News, Rows_->storeRegainedAt());
    if (!WasReady && isReady())
      logEvent("ready")
          .field("config", State_.Config->Version)
          .field("endpoints", State_.Directory.all().size());
  }

  /// Writes this node's address to the store, then reads those of the others:
  /// of two nodes that start at once, the later writer finds the other.
  http::Task<void> joinNodes() {
    const GatewayIdentity &Self = State_.Settings.Gateway;
    bool Written = false;
    while (true) {
      StoreRows Result;
      if (!Written)
        Result = co_await Adapter_.Store->writeNode(
            Self.Name,
            encodeNodeRow(Self.Internal.Host, State_.Settings.Limits.CpuShare));
      else
        Result = co_await Adapter_.Store->readAll(catalog::Table::Nodes);
      if (Result.Status != StoreStatus::Ok) {
        logWarning("nodes_table_failed")
            .field("step", Written ? "read" : "write")
            .field("reason", Result.Reason);
        co_await http::sleepFor(PublishPause);
        continue;
      }
      if (Written) {
        onRows(catalog::Table::Nodes, Result.Rows);
        co_return;
      }
      Written = true;
    }
  }

  void tick() {
    const TimePoint Now = State_.now();
    Updater_.tick(Now);
    State_.Load.expire(Now);
    confirmKeys();
    Rows_->keepCurrent();
    if (Now - LastHousekeeping_ >= HousekeepingPeriod) {
      LastHousekeeping_ = Now;
      State_.Pool.dropExpired(Now);
    }
    if (Now - LastSettingsCheck_ >= SettingsCheckPeriod) {
      LastSettingsCheck_ = Now;
      if (settingsTime() != SettingsTime_)
        reload("file changed");
    }
    if (State_.Stopping)
      continueStop(Now);
    Tick_.expires_after(TickPeriod);
    Tick_.async_wait([this](Code Failure) {
      if (!Failure)
        tick();
    });
  }

  void watchSignals() {
    Terminate_.async_wait([this](Code Failure, int) {
      if (Failure)
        return;
      beginStop();
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

  void beginStop() {
    if (State_.Stopping)
      return; // a second signal changes nothing
    State_.Stopping = true;
    State_.StopBegan = State_.now();
    logEvent("stopping")
        .field("active_requests", State_.ActiveRequests)
        .field("connections", Callers_->connectionCount());
  }

  void continueStop(TimePoint Now) {
    const Duration Elapsed =
        std::chrono::duration_cast<Duration>(Now - State_.StopBegan);
    if (Elapsed < BalancerDelay)
      return;
    Callers_->closeIdle();
    const bool Idle = State_.ActiveRequests == 0;
    if (Idle || Elapsed >= State_.Settings.Bounds.Grace - GraceMargin)
      Context_.stop();
  }

  std::filesystem::file_time_type settingsTime() const {
    std::error_code Ignored;
    return std::filesystem::last_write_time(SettingsPath_, Ignored);
  }
  void noteSettingsTime() { SettingsTime_ = settingsTime(); }

  void reload(std::string_view Cause) {
    noteSettingsTime();
    Problems Found;
    const auto Loaded = loadGatewaySettings(SettingsPath_, Found);
    if (!Loaded) {
      logWarning("settings_rejected")
          .field("cause", Cause)
          .field("problem", Found.empty() ? "" : formatProblem(Found.front()));
      return;
    }
    // Addresses stay: they cannot change in a running process.
    State_.Settings.Bounds = Loaded->Bounds;
    State_.Settings.Limits = Loaded->Limits;
    State_.applyBounds();
    for (const HostPort &Seed : Loaded->Cluster.Seeds)
      State_.Nodes->addNode("", Seed.Host, 0);
    logEvent("settings_reloaded").field("cause", Cause);
  }

  void setAge(std::string_view Name, const catalog::TableFreshness &Copy) {
    const std::optional<Duration> Age = Copy.age(BootClock::now());
    State_.Metrics->setGauge(
        Name, Age ? std::chrono::duration<double>(*Age).count() : -1);
  }

  void updateGauges() {
    GatewayMetrics &Metrics = *State_.Metrics;
    Metrics.setGauge("config_version",
                     State_.Config ? static_cast<double>(State_.Config->Version)
                                   : 0);
    Metrics.setGauge("active_requests",
                     static_cast<double>(State_.ActiveRequests));
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
    Metrics.setGauge("store_answers", Rows_->storeAnswers() ? 1 : 0);
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
  asio::steady_timer Tick_;
  std::unique_ptr<RowFollower> Rows_;
  std::unique_ptr<CallerServer> Callers_;
  std::unique_ptr<http::Server> Ready_;
  std::unique_ptr<http::Server> Internal_;
  std::unique_ptr<http::Server> Metrics_;
  TimePoint LastHousekeeping_;
  TimePoint LastSettingsCheck_;
  BootTime AskedAt_;     ///< other nodes, for their rows' age
  BootTime ConfirmedAt_; ///< the last read that only confirms rows
  bool KnewKeys_ = true;
  std::filesystem::file_time_type SettingsTime_;
};

} // namespace

int runGateway(const GatewaySettings &Settings, const std::string &SettingsPath,
               GatewayAdapter Adapter) {
  logToStandardOutput();
  // A write to a closed connection is an error of that connection only.
  std::signal(SIGPIPE, SIG_IGN);
  // Never destroyed: the process ends right after, and coroutines that still
  // wait would be torn down while they refer to each other.
  auto *Process = new Gateway(Settings, SettingsPath, std::move(Adapter));
  return Process->run();
}

} // namespace cassiashed::gateway
