#include "cassiashed/node/node.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/control/operator_server.h"
#include "cassiashed/wire/quarantine_messages.h"
#include "http/server.h"
#include "node/broadcast.h"
#include "node/config_service.h"
#include "node/fleet_broker.h"
#include "node/front.h"
#include "node/gossip_service.h"
#include "node/operator_routes.h"
#include "node/owner_client.h"
#include "node/owner_service.h"
#include "node/ownership_service.h"
#include "node/peer_service.h"
#include "node/recorded_call.h"
#include "node/status_service.h"
#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/thread_pool.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

namespace cassiashed {
namespace {

using http::Task;

constexpr std::size_t BlockingThreads = 4;

// The balancer needs some seconds to notice that the node is not ready.
constexpr Duration DrainNotice = std::chrono::seconds(5);
constexpr Duration OwnerPatience = std::chrono::seconds(15);
constexpr Duration HandoverPatience = std::chrono::seconds(15);
constexpr Duration DrainCheck = std::chrono::milliseconds(50);

/// Distinguishes restarts of a node; increases with wall-clock time.
std::uint64_t makeIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

http::ServerOptions makeServerOptions(const Settings &Options) {
  http::ServerOptions Result;
  Result.Host = Options.Node.Listen.Host;
  Result.Port = Options.Node.Listen.Port;
  Result.MaxHeadBytes = Options.Limits.HeadBytes;
  Result.MaxBodyBytes = Options.Limits.BodyBytes;
  return Result;
}

/// Incarnation of the entry node in a request id made by `makeContext`; 0 if
/// the id has another form.
std::uint64_t incarnationOf(const std::string &RequestId,
                            const std::string &Node) {
  constexpr int Hexadecimal = 16;
  const std::string Prefix = Node + '-';
  if (RequestId.rfind(Prefix, 0) != 0)
    return 0;
  return std::strtoull(RequestId.c_str() + Prefix.size(), nullptr, Hexadecimal);
}

/// All parts of one node. Members are in the order of their dependencies.
class NodeProcess {
public:
  explicit NodeProcess(const Settings &Options)
      : Options_(Options), Incarnation_(makeIncarnation()),
        Blocking_(BlockingThreads), Metrics_(makeMetrics()),
        Crashes_(makeCrashGuard()),
        Platform_(makePlatformClient(
            {Options.Platform.Address.Host, Options.Platform.Address.Port})) {}

  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  ~NodeProcess() {
    Operator_.reset();
    Context_.stop();
    Peers_.reset();
    for (std::thread &Worker : Workers_)
      Worker.join();
    Blocking_.join();
  }

  /// Returns false and sets `Reason` if the node cannot start.
  bool start(std::string &Reason) {
    OwnerServiceOptions Owner;
    Owner.Node = Options_.Node.Name;
    Owners_ = makeOwnerService(
        Context_, std::move(Owner),
        [this](const std::string &Node, GrantReplyMessage Reply) {
          sendReady(Node, std::move(Reply));
        });
    makeMembership();
    if (!startPeers(Reason))
      return false;
    startMembership();
    OwnerClient_ = makeOwnerClient(Options_.Node.Name, *Owners_, *Ownership_,
                                   Peers_.get());
    startRequestPath();
    if (!startOperatorPort(Reason) || !startMetricsPort(Reason))
      return false;
    Server_ = http::startServer(
        Context_, makeServerOptions(Options_),
        [this](http::Request Call, http::ResponseWriter &Reply) {
          return Front_->handle(std::move(Call), Reply);
        },
        describeReadFailure, Reason);
    if (!Server_)
      return false;
    PeerService_.open();
    Owners_->start();
    Gossip_->start();
    Ownership_->start();
    Config_->start();
    logEvent("node_started")
        .field("node", Options_.Node.Name)
        .field("zone", Options_.Node.Zone)
        .field("incarnation", Incarnation_)
        .field("port", Server_->port());
    return true;
  }

  void run() {
    http::asio::signal_set Signals(Context_, SIGTERM, SIGINT);
    awaitSignal(Signals);
    for (std::uint32_t Index = 0; Index < Options_.Node.Workers; ++Index)
      Workers_.emplace_back([this] { Context_.run(); });
    for (std::thread &Worker : Workers_)
      Worker.join();
    Workers_.clear();
  }

private:
  void makeMembership() {
    ConfigSyncOptions Sync;
    Sync.Node = Options_.Node.Name;
    GossipOptions Members;
    Members.Self.Name = Options_.Node.Name;
    Members.Self.Address = formatHostPort(Options_.Node.Peer);
    Members.Self.Zone = Options_.Node.Zone;
    Members.Self.Incarnation = Incarnation_;
    for (const Seed &Entry : Options_.Cluster.Seeds) {
      Sync.Witnesses.push_back(Entry.Name);
      Members.Seeds.push_back(formatHostPort(Entry.Peer));
    }
    State_.Sync = makeConfigSync(std::move(Sync));
    State_.Members = makeGossip(std::move(Members), *State_.Sync);
  }

  void startMembership() {
    Gossip_ = makeGossipService(
        Context_, State_, *Peers_,
        [this](const std::string &Node) { Owners_->dropNode(Node); });
    startOwnership();
    Config_ = makeConfigService(
        {Options_.Node.Name, isWitness(), Context_, Blocking_, *Platform_,
         *Peers_, State_, Table_,
         [this](const std::string &Node) { return Gossip_->addressOf(Node); },
         [this](const std::shared_ptr<const ConfigInForce> &Next) {
           applyConfig(*Next);
         }});
  }

  bool isWitness() const {
    for (const Seed &Entry : Options_.Cluster.Seeds)
      if (Entry.Name == Options_.Node.Name)
        return true;
    return Options_.Cluster.Seeds.empty();
  }

  void startOwnership() {
    OwnershipOptions Ownership;
    Ownership.Node = Options_.Node.Name;
    Ownership.Address = formatHostPort(Options_.Node.Peer);
    Ownership.Zone = Options_.Node.Zone;
    Ownership.Incarnation = Incarnation_;
    Ownership.RenewInterval = Options_.Lease.Renewal;
    Ownership.LeaseTime = Options_.Lease.Validity;
    Ownership_ = makeOwnershipService({Context_, Blocking_, *Platform_, *Peers_,
                                       State_, *Owners_, std::move(Ownership),
                                       Options_.Node.Region});
    Owners_->setNodeCheck(
        [this](const std::string &RequestId, const std::string &Node) {
          return Gossip_->isKnownLost(Node, incarnationOf(RequestId, Node));
        });
    Owners_->setShareCheck([this](const std::string &Endpoint) {
      return toLedgerShare(Ownership_->shareNow(Endpoint));
    });
  }

  bool startPeers(std::string &Reason) {
    PeerService_.on(MessageKind::Gossip,
                    [this](const ReceivedMessage &Received) {
                      return Gossip_->answer(Received);
                    });
    PeerService_.on(MessageKind::ConfigPull,
                    [this](const ReceivedMessage &Received) {
                      return Config_->answerPull(Received);
                    });
    PeerService_.on(MessageKind::GrantRequest,
                    [this](const ReceivedMessage &Received) {
                      return answerGrantRequest(Received);
                    });
    PeerService_.on(MessageKind::StatusQuery,
                    [this](const ReceivedMessage &Received) {
                      return answerStatusQuery(Received);
                    });
    PeerService_.on(MessageKind::QuarantineNotice,
                    [this](const ReceivedMessage &Received) {
                      return takeNotices(Received);
                    });
    PeerService_.on(MessageKind::GrantHold,
                    [this](const ReceivedMessage &Received) {
                      return answerHold(Received);
                    });
    PeerService_.on(MessageKind::PromiseRequest,
                    [this](const ReceivedMessage &Received) {
                      return Ownership_->answerPromise(Received);
                    });
    PeerService_.on(MessageKind::ReleaseRequest,
                    [this](const ReceivedMessage &Received) {
                      return Ownership_->answerRelease(Received);
                    });
    PeerService_.on(MessageKind::GrantReady,
                    [this](const ReceivedMessage &Received) {
                      return takeGrantReady(Received);
                    });
    PeerService_.on(MessageKind::GrantRelease,
                    [this](const ReceivedMessage &Received) {
                      return takeGrantRelease(Received);
                    });
    PeerTransportOptions Transport;
    Transport.ListenAddress = formatHostPort(Options_.Node.Peer);
    Transport.ClusterKey = Options_.Cluster.Key;
    Transport.NodeName = Options_.Node.Name;
    Transport.Incarnation = Incarnation_;
    Peers_ = makePeerTransport(
        std::move(Transport),
        [this](ReceivedMessage Received, const ReplyFunction &Reply) {
          PeerService_.handle(std::move(Received), Reply);
        },
        Reason);
    return Peers_ != nullptr;
  }

  void startRequestPath() {
    FleetBrokerOptions Broker;
    Broker.Seed = std::random_device()();
    Broker.Routing.HomeZone = Options_.Node.Zone;
    Broker.Routing.Policy = routing::parseRoutingPolicy(nameOf(Options_.Policy))
                                .value_or(routing::RoutingPolicy::LengthAware);
    Broker_ =
        makeFleetBroker(std::move(Broker), *OwnerClient_, *Crashes_, *Metrics_);
    Crashes_->setSender([this](std::vector<routing::QuarantineNotice> Notices) {
      return sendNotices(std::move(Notices));
    });
    startCalls();
    FrontOptions Callers;
    Callers.Node = Options_.Node.Name;
    Callers.Incarnation = Incarnation_;
    Callers.MaxStreams = Options_.Limits.MaxStreams;
    Callers.SlowReaderStall = Options_.Limits.SlowReaderStall;
    FrontGates Gates;
    Gates.Ready = [this] { return checkReady(); };
    Gates.Admit = [this] { return checkAdmission(); };
    Front_ =
        makeFront(std::move(Callers), Table_,
                  {*Broker_, *OwnerClient_, *Crashes_, *Services_, *Metrics_},
                  std::move(Gates));
  }

  NodeStatus describeSelf() const {
    NodeStatus Self;
    Self.Node = Options_.Node.Name;
    Self.Zone = Options_.Node.Zone;
    Self.Incarnation = Incarnation_;
    Self.Current = Config_->isCurrent();
    Self.Draining = Draining_;
    Self.ActiveRequests = Server_ ? Server_->activeRequests() : 0;
    return Self;
  }

  bool startOperatorPort(std::string &Reason) {
    Status_ = std::make_unique<StatusService>(
        StatusParts{*Peers_, State_, Table_, *Owners_, *Crashes_,
                    [this] { return describeSelf(); }});
    const HostPort &Address = Options_.Node.Operator;
    OperatorParts Parts{Context_, State_,    Table_,
                        *Status_, *Crashes_, [this] { startDrain(); }};
    Operator_ =
        startOperatorServer({Address.Host, Address.Port, Options_.Cluster.Key},
                            makeOperatorRoutes(std::move(Parts)), Reason);
    return Operator_ != nullptr;
  }

  bool startMetricsPort(std::string &Reason) {
    if (!Options_.Node.Metrics)
      return true;
    http::ServerOptions Listen;
    Listen.Host = Options_.Node.Metrics->Host;
    Listen.Port = Options_.Node.Metrics->Port;
    MetricsServer_ = http::startServer(
        Context_, std::move(Listen),
        [this](http::Request Call, http::ResponseWriter &Reply) {
          return sendMetrics(std::move(Call), Reply);
        },
        describeReadFailure, Reason);
    return MetricsServer_ != nullptr;
  }

  Task<void> sendMetrics(http::Request Call, http::ResponseWriter &Reply) {
    const int Status = Call.Target == "/metrics" ? 200 : 404;
    updateGauges();
    std::string Body = Status == 200 ? Metrics_->format() : std::string();
    co_await Reply.send(Status, "text/plain; version=0.0.4", std::move(Body));
  }

  void updateGauges() {
    const TransportTotals Totals = Peers_->totals();
    const auto Config = Table_.current();
    Metrics_->setGauge("active_requests",
                       static_cast<double>(Server_->activeRequests()));
    Metrics_->setGauge("config_version",
                       Config ? static_cast<double>(Config->version()) : 0);
    Metrics_->setGauge("current", Config_->isCurrent() ? 1 : 0);
    Metrics_->setGauge("control_bytes_in",
                       static_cast<double>(Totals.Control.BytesIn));
    Metrics_->setGauge("control_bytes_out",
                       static_cast<double>(Totals.Control.BytesOut));
    Metrics_->setGauge("request_bytes_in",
                       static_cast<double>(Totals.Request.BytesIn));
    Metrics_->setGauge("request_bytes_out",
                       static_cast<double>(Totals.Request.BytesOut));
    Metrics_->setGauge("dropped_unauthenticated",
                       static_cast<double>(Totals.DroppedUnauthenticated));
  }

  Message answerStatusQuery(const ReceivedMessage & /*Received*/) {
    return packMessage(MessageKind::StatusReply,
                       StatusReply{Status_->describeNode().dump()});
  }

  Message takeNotices(const ReceivedMessage &Received) {
    std::string Reason;
    const auto Body =
        unpackBody<QuarantineNoticeMessage>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    for (const QuarantineNoticeItem &Item : Body->Items)
      if (const auto Notice = toNotice(Item))
        Crashes_->merge(*Notice);
    return Message{MessageKind::Acknowledge, {}};
  }

  std::vector<std::string> otherAddresses() {
    std::vector<std::string> Addresses;
    const std::lock_guard Lock(State_.Mutex);
    for (const MemberRecord &Member : State_.Members->liveMembers())
      if (Member.Name != Options_.Node.Name)
        Addresses.push_back(Member.Address);
    return Addresses;
  }

  Task<void> sendNotices(std::vector<routing::QuarantineNotice> Notices) {
    // Longer than a round trip between zones; a node that does not answer in
    // this time is not waited for.
    constexpr Duration NoticeTimeout = std::chrono::milliseconds(300);
    QuarantineNoticeMessage Body;
    for (const routing::QuarantineNotice &Notice : Notices)
      Body.Items.push_back(toItem(Notice));
    Message Content = packMessage(MessageKind::QuarantineNotice, Body);
    std::vector<std::string> Addresses = otherAddresses();
    co_await broadcast(*Peers_, std::move(Addresses), std::move(Content),
                       NoticeTimeout);
  }

  void startCalls() {
    RecordedCallContext Recording;
    Recording.Node = Options_.Node.Name;
    Recording.Incarnation = Incarnation_;
    Recording.Blocking = &Blocking_;
    Recording.Table = makeCallTable(Context_, Blocking_, *Platform_);
    Recording.Objects = Platform_.get();
    Recording.IsAlive = [this](const std::string &Node,
                               std::uint64_t Incarnation) {
      return Gossip_->mayBeRunning(Node, Incarnation);
    };
    Recording.Table->start();
    Services_ = makeServiceCaller(Table_, std::move(Recording));
  }

  void applyConfig(const ConfigInForce &Config) {
    Broker_->configure(Config);
    Owners_->configure(Config);
    Crashes_->configure(Config);
    std::vector<std::string> Names;
    for (const WorkspaceConfig &Entry : Config.content().Workspaces)
      Names.push_back(Entry.Name);
    Metrics_->nameWorkspaces(Names);
    Ownership_->configure(Config);
  }

  std::optional<Error> checkAdmission() const {
    if (!Config_->isCurrent())
      return Error{ErrorKind::NotCurrent};
    return std::nullopt;
  }

  std::optional<Error> checkReady() const {
    if (Draining_)
      return Error{ErrorKind::Draining};
    // The balancer waits until requests can be granted. During an outage of
    // the table service the owners stay unknown and are asked all the same.
    if (!Ownership_->knowsOwners() && Clock_.now() < Started_ + OwnerPatience)
      return Error{ErrorKind::NotCurrent, "the owners are not known yet"};
    return checkAdmission();
  }

  void sendReady(const std::string &Node, GrantReplyMessage Reply) {
    if (Node == Options_.Node.Name) {
      if (!OwnerClient_->deliver(Reply))
        giveBack(Reply);
      return;
    }
    // A lost message ends with the grant's expiry.
    Peers_->call(Gossip_->addressOf(Node),
                 packMessage(MessageKind::GrantReady, Reply),
                 std::chrono::seconds(1), [](const CallResult &) {});
  }

  void giveBack(const GrantReplyMessage &Reply) {
    if (Reply.Status != GrantStatus::Granted)
      return;
    GrantReleaseItem Item;
    Item.RequestId = Reply.RequestId;
    Item.Attempt = Reply.Attempt;
    Item.Endpoint = Reply.Endpoint;
    Item.GrantId = Reply.GrantId;
    Item.Outcome = GrantOutcome::NotSent;
    OwnerClient_->release(Reply.Owner, std::move(Item));
  }

  Message answerGrantRequest(const ReceivedMessage &Received) {
    std::string Reason;
    const auto Body =
        unpackBody<GrantRequestMessage>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    return packMessage(MessageKind::GrantReply, Owners_->offer(*Body));
  }

  Message answerHold(const ReceivedMessage &Received) {
    std::string Reason;
    const auto Body =
        unpackBody<GrantHoldMessage>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    return packMessage(MessageKind::GrantHoldReply,
                       GrantHoldReply{Owners_->hold(*Body)});
  }

  Message takeGrantReady(const ReceivedMessage &Received) {
    std::string Reason;
    const auto Body =
        unpackBody<GrantReplyMessage>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    if (!OwnerClient_->deliver(*Body))
      giveBack(*Body);
    return Message{MessageKind::Acknowledge, {}};
  }

  Message takeGrantRelease(const ReceivedMessage &Received) {
    std::string Reason;
    const auto Body =
        unpackBody<GrantReleaseMessage>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    for (const GrantReleaseItem &Item : Body->Items)
      Owners_->release(Item);
    return Message{MessageKind::Acknowledge, {}};
  }

  void awaitSignal(http::asio::signal_set &Signals) {
    Signals.async_wait(
        [this, &Signals](boost::system::error_code Failure, int Signal) {
          if (Failure)
            return;
          logEvent("signal").field("number", Signal);
          startDrain();
          awaitSignal(Signals);
        });
  }

  void startDrain() {
    if (Draining_.exchange(true))
      return;
    http::asio::co_spawn(http::asio::make_strand(Context_), drain(),
                         http::asio::detached);
  }

  Task<void> drain() {
    logEvent("drain_started").field("active", Server_->activeRequests());
    co_await http::sleepFor(DrainNotice);
    {
      const std::lock_guard Lock(State_.Mutex);
      State_.Members->setLeaving();
    }
    Ownership_->beginShutdown();
    Server_->stopAccepting();
    while (Server_->activeRequests() > 0)
      co_await http::sleepFor(DrainCheck);
    // Without the table service the endpoints cannot be handed over; their
    // standbys take them when the lease lapses.
    const TimePoint Until = Clock_.now() + HandoverPatience;
    while (!Ownership_->isReleased() && Clock_.now() < Until)
      co_await http::sleepFor(DrainCheck);
    logEvent("drain_finished");
    Context_.stop();
  }

  SteadyClock Clock_;
  Settings Options_;
  std::uint64_t Incarnation_;
  http::asio::io_context Context_;
  http::asio::thread_pool Blocking_;
  std::unique_ptr<Metrics> Metrics_;
  std::unique_ptr<CrashGuard> Crashes_;
  std::unique_ptr<PlatformClient> Platform_;
  ConfigTable Table_;
  MembershipState State_;
  PeerService PeerService_;
  std::shared_ptr<OwnerService> Owners_;
  std::unique_ptr<PeerTransport> Peers_;
  std::shared_ptr<GossipService> Gossip_;
  std::shared_ptr<ConfigService> Config_;
  std::shared_ptr<OwnershipService> Ownership_;
  std::unique_ptr<OwnerClient> OwnerClient_;
  std::unique_ptr<FleetBroker> Broker_;
  std::unique_ptr<ServiceCaller> Services_;
  std::unique_ptr<Front> Front_;
  std::unique_ptr<StatusService> Status_;
  std::unique_ptr<OperatorServer> Operator_;
  std::unique_ptr<http::Server> MetricsServer_;
  std::unique_ptr<http::Server> Server_;
  std::vector<std::thread> Workers_;
  std::atomic<bool> Draining_ = false;
  const TimePoint Started_ = SteadyClock().now();
};

} // namespace

int runNode(const Settings &Options) {
  NodeProcess Process(Options);
  std::string Reason;
  if (!Process.start(Reason)) {
    logError("node_start_failed").field("reason", Reason);
    return 1;
  }
  Process.run();
  logEvent("node_stopped").field("node", Options.Node.Name);
  return 0;
}

} // namespace cassiashed
