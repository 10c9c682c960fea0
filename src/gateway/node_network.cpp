#include "gateway/node_network.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/hash.h"
#include "gateway/peer_table.h"
#include "gateway/row_broadcast.h"
#include "http/asio.h"
#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <set>

namespace cassiashed::gateway {
namespace {

namespace asio = boost::asio;
using Code = boost::system::error_code;

constexpr Duration HeartbeatPeriod{1000};
/// The heartbeat period grows by one period for each such number of nodes, so
/// that the rate of heartbeats of a node is bounded.
constexpr int NodesPerHeartbeatPeriod = 40;
/// Heartbeats to all nodes after the start, so that nodes that read the nodes'
/// table earlier learn of this one.
constexpr int IntroductionHeartbeats = 3;
/// Ends and first tokens are batched for this long; load predictions are still
/// good with this delay.
constexpr Duration BatchPeriod{20};
/// Time before missing rows are read from a peer. Usually they arrive from the
/// store in this time.
constexpr Duration CatchUpDelay{150};
/// Nodes of a large fleet add a random delay up to this, since a few followers
/// serve the new rows to all of them.
constexpr int CatchUpSpreadMs = 300;
/// Keeps datagrams below the size of an Ethernet frame, so that they are not
/// fragmented.
constexpr std::size_t MaxItemsPerMessage = 30;
constexpr std::size_t MaxKnownNodes = 32;
/// Nodes that follow tables for all: enough that some remain when a zone and a
/// third of the other nodes lose the store at once.
constexpr int FollowerCount = 4;
/// Nodes that are queried in turn for one placement. All requests are reported
/// to each of them.
constexpr std::size_t PlacerCount = 3;
/// Best-ranked nodes that can become placers when others fail.
constexpr std::size_t PlacerCandidateCount = 6;
/// Heartbeat period of nodes with a role.
constexpr Duration RoleHeartbeat{400};
/// Requests last some seconds; a process that has run this long has received
/// reports of nearly all requests in flight.
constexpr Duration FleetLoadKnownAfter{4000};
/// A placer that did not reply in time is queried last for this long.
constexpr Duration PlacerBackoff{1000};
/// Nodes that are asked at once for the age of their copy: one may have failed.
constexpr std::size_t FreshnessQueryNodes = 2;
/// Freshness queries whose replies are still accepted.
constexpr std::size_t MaxOpenFreshnessQueries = 8;

/// Messages that the operating system rejected, in total and since the last log
/// line.
struct UnsentCounters {
  std::uint64_t Total = 0;
  std::uint64_t SinceLogged = 0;
  std::size_t LastBytes = 0;
  std::string LastReason;
};

class Network final : public NodeNetwork {
public:
  Network(asio::io_context &Context, NodeNetworkOptions Options,
          NodeNetworkEvents Events)
      : Options_(std::move(Options)), Events_(std::move(Events)),
        Peers_(Options_.Internal.Host,
               {Options_.CpuShare, hashBytes(Options_.Name)}),
        StartedAt_(now()), Socket_(Context), HeartbeatTimer_(Context),
        FlushTimer_(Context),
        RowBroadcast_(Context, Options_.LinkMbps, broadcastHooks()) {}

  bool open(std::string &Reason) {
    Code Failure;
    const auto Ip = asio::ip::make_address(Options_.Internal.Host, Failure);
    const Udp::endpoint Local(Ip, Options_.Internal.Port);
    if (!Failure)
      Socket_.open(Local.protocol(), Failure);
    if (!Failure)
      Socket_.bind(Local, Failure);
    if (!Failure)
      Socket_.non_blocking(true, Failure);
    if (Failure) {
      Reason = "cannot bind " + Options_.Internal.Host + ":" +
               std::to_string(Options_.Internal.Port) +
               "/udp: " + Failure.message();
      return false;
    }
    for (const std::string &Host : Options_.SeedHosts)
      (void)findOrAddPeer(Host);
    receive();
    sendHeartbeat();
    return true;
  }

  void addNode(const std::string &Name, const std::string &Host,
               double CpuShare) override {
    Peer *Node = findOrAddPeer(Host);
    if (!Node)
      return;
    Node->Name = Name;
    if (!Name.empty())
      Node->Rank = {CpuShare, hashBytes(Name)};
  }
  void removeNode(const std::string &Name) override { Peers_.remove(Name); }

  void setLastChanges(catalog::StoreVersion LastOperatorChange,
                      catalog::StoreVersion LastEndpointChange) override {
    const bool IsNewer = LastOperatorChange > LastOperatorChange_;
    const bool IsNewerEra = LastOperatorChange.Era > LastOperatorChange_.Era ||
                            LastEndpointChange.Era > LastEndpointChange_.Era;
    LastOperatorChange_ = LastOperatorChange;
    LastEndpointChange_ = LastEndpointChange;
    // Followers push endpoint rows to all nodes. Operator rows are pulled from
    // them, so the heartbeat has to report the new version at once.
    // A table of a new era is always pulled.
    if (Following_ && ((IsNewer && hasRoles()) || IsNewerEra))
      sendHeartbeat();
  }
  bool hasRoles() const override { return Peers_.hasRoles(); }
  bool shouldFollow() const override {
    return betterRankedFollowers() < FollowerCount;
  }
  int betterRankedFollowers() const override {
    return Peers_.betterRankedFollowers(now());
  }
  void setFollowing(bool Following) override {
    if (Following == Following_)
      return;
    Following_ = Following;
    sendHeartbeat();
  }
  bool isFollowing() const override { return Following_; }
  void queryOperatorTableAge() override {
    NodeMessage Message = makeMessage();
    Message.FreshnessQueryAt =
        static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count());
    FreshnessQueries_.push_back(Message.FreshnessQueryAt);
    if (FreshnessQueries_.size() > MaxOpenFreshnessQueries)
      FreshnessQueries_.pop_front();
    const std::string Bytes = packMessage(Message);
    for (const Peer *Target : freshnessQueryTargets())
      send(Bytes, Target->UdpAddress);
  }

  std::vector<std::string> placers() const override {
    return Peers_.placers(PlacerCount, knowsFleetLoad(), now());
  }
  int coldPlacerCount() const override {
    return static_cast<int>(PlacerCandidateCount);
  }
  bool canPlaceOnColdEndpoints() const override {
    return Peers_.isAmongBestRanked(PlacerCandidateCount);
  }
  const std::string &ownHost() const override { return Options_.Internal.Host; }
  void sendPlacementQuery(const std::string &Host,
                          const PlacementQuery &Query) override {
    NodeMessage Message = makeMessage();
    Message.PlacementQueries.push_back(Query);
    sendTo(Host, Message);
  }
  void sendPlacementReply(const std::string &Host,
                          const PlacementReply &Reply) override {
    NodeMessage Message = makeMessage();
    Message.PlacementReplies.push_back(Reply);
    sendTo(Host, Message);
  }
  void recordPlacerUnresponsive(const std::string &Host) override {
    if (Peer *Node = Peers_.find(Host))
      Node->SuspectUntil = now() + PlacerBackoff;
  }

  void announceStart(const balancing::Assignment &Started,
                     const std::string &Requester) override {
    AssignmentMessage Message = toAssignmentMessage(Started);
    Message.Requester = Requester;
    PendingReports_.Started.push_back(std::move(Message));
    flush();
  }
  void announceFirstToken(std::uint64_t Id) override {
    PendingReports_.FirstTokens.push_back(Id);
    scheduleFlush();
  }
  void announceFinish(std::uint64_t Id) override {
    PendingReports_.Finished.push_back(Id);
    scheduleFlush();
  }
  void announceUnresponsive(const std::string &EndpointId) override {
    PendingReports_.UnresponsiveEndpoints.push_back(EndpointId);
    flush();
  }
  void announceOutcome(const std::string &EndpointId,
                       balancing::EndpointOutcome Outcome) override {
    if (!hasRoles())
      return;
    PendingReports_.Outcomes.push_back(
        {EndpointId, static_cast<std::uint32_t>(Outcome)});
    scheduleFlush();
  }
  void announceCrash(const CrashReport &Report) override {
    NodeMessage Message = makeMessage();
    Message.Crashes.push_back(Report);
    sendToAll(Message);
  }
  void announceEndpointRows(const RowBatch &Batch) override {
    RowBroadcast_.announce(Batch);
  }

  int possibleNodes() const override { return Peers_.possibleCount(); }
  int liveNodes() const override { return Peers_.liveCount(now()); }
  std::uint64_t unsentMessages() const override { return Unsent_.Total; }

private:
  RowBroadcastHooks broadcastHooks() {
    return {[this] { return makeMessage(); },
            [this] { return targetsFromRandomStart(); },
            [this](const std::string &Bytes, const Udp::endpoint &Target) {
              send(Bytes, Target);
            },
            [this](std::uint64_t After) {
              return Events_.EndpointRowsAfter(After);
            }};
  }
  static TimePoint now() { return std::chrono::steady_clock::now(); }
  bool knowsFleetLoad() const {
    return now() - StartedAt_ > FleetLoadKnownAfter;
  }

  Peer *findOrAddPeer(const std::string &Host) {
    return Peers_.findOrAdd(Host, Options_.Internal.Port);
  }

  /// The best-ranked follower, whose copy is the most recent, and another node.
  std::vector<const Peer *> freshnessQueryTargets() {
    const TimePoint Now = now();
    std::vector<const Peer *> Live;
    for (const auto &[Host, Node] : Peers_.all())
      if (PeerTable::isLive(Node, Now))
        Live.push_back(&Node);
    std::shuffle(Live.begin(), Live.end(), Random_);
    const auto First = std::min_element(
        Live.begin(), Live.end(), [](const Peer *Left, const Peer *Right) {
          if (Left->Following != Right->Following)
            return Left->Following;
          return Left->Following && ranksBefore(Left->Rank, Right->Rank);
        });
    if (First != Live.end())
      std::iter_swap(Live.begin(), First);
    Live.resize(std::min(Live.size(), FreshnessQueryNodes));
    return Live;
  }

  void replyToFreshnessQuery(std::uint64_t QueryAt) {
    const std::optional<Duration> Age = Events_.OperatorTableAge();
    if (!Age)
      return;
    NodeMessage Reply = makeMessage();
    Reply.FreshnessReplyTo = QueryAt;
    Reply.OperatorTableAgeMs = Age->count();
    send(packMessage(Reply), Sender_);
  }

  void handleFreshnessReply(const NodeMessage &Message) {
    // Only replies to own queries count, and only from nodes that know of no
    // change that this one lacks.
    const auto Query =
        std::find(FreshnessQueries_.begin(), FreshnessQueries_.end(),
                  Message.FreshnessReplyTo);
    if (Query == FreshnessQueries_.end() ||
        Message.OperatorEra != LastOperatorChange_.Era ||
        Message.lastOperatorChange() > LastOperatorChange_ ||
        Message.OperatorTableAgeMs < 0)
      return;
    Events_.OperatorTableConfirmed(BootTime(std::chrono::nanoseconds(*Query)),
                                   Duration(Message.OperatorTableAgeMs));
  }

  void receive() {
    Socket_.async_receive_from(
        asio::buffer(ReceiveBuffer_), Sender_,
        [this](Code Failure, std::size_t Size) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            handleDatagram(std::string_view(ReceiveBuffer_.data(), Size));
          receive();
        });
  }

  void handleDatagram(std::string_view Bytes) {
    std::string Reason;
    const std::optional<NodeMessage> Message = unpackMessage(Bytes, Reason);
    if (!Message) {
      logWarning("node_message_rejected")
          .field("from", Sender_.address().to_string())
          .field("reason", Reason);
      return;
    }
    Peer *From = findOrAddPeer(Sender_.address().to_string());
    if (!From || Message->Node == Options_.Name)
      return;
    updatePeer(*From, *Message);
    for (const std::string &Host : Message->KnownNodes)
      (void)findOrAddPeer(Host);
    handleRequestReports(*Message, From->Origin);
    for (const PlacementQuery &Query : Message->PlacementQueries)
      Events_.Query(Query, From->Host, From->Origin);
    for (const PlacementReply &Reply : Message->PlacementReplies)
      Events_.Reply(Reply);
    if (!Message->EndpointRows.empty()) {
      RowBatch Batch{
          Message->RowsAfter, Message->RowsUpTo, {}, false, Message->RowsEra};
      for (const EndpointRowChange &Change : Message->EndpointRows)
        Batch.Rows.push_back(
            {Change.Key, Change.Value, Change.Version, Change.Removed});
      Events_.EndpointRows(std::move(Batch));
    }
    handleCoverage(*Message, *From);
    scheduleCatchUp(*Message);
    if (Message->FreshnessQueryAt != 0)
      replyToFreshnessQuery(Message->FreshnessQueryAt);
    if (Message->FreshnessReplyTo != 0)
      handleFreshnessReply(*Message);
  }

  void updatePeer(Peer &From, const NodeMessage &Message) {
    if (From.Incarnation != Message.Incarnation) {
      if (From.HasSentMessage)
        Events_.NodeLost(From.Origin);
      From.Incarnation = Message.Incarnation;
    }
    if (!From.HasSentMessage || From.Lost)
      logEvent("node_heard")
          .field("node", Message.Node)
          .field("address", From.Host)
          .field("incarnation", Message.Incarnation);
    From.Name = Message.Node;
    From.HasSentMessage = true;
    From.Lost = false;
    From.LastMessageAt = now();
    From.Following = Message.Following;
    From.KnowsFleetLoad = Message.KnowsFleetLoad;
    From.Rank = {Message.CpuShare, hashBytes(Message.Node)};
    From.LastOperatorChange = Message.lastOperatorChange();
    From.LastEndpointChange = Message.lastEndpointChange();
  }

  void handleRequestReports(const NodeMessage &Message, std::uint32_t Origin) {
    for (const AssignmentMessage &Started : Message.Started) {
      if (Started.Requester == Options_.Internal.Host)
        continue;
      const Peer *Requester = Started.Requester.empty()
                                  ? nullptr
                                  : findOrAddPeer(Started.Requester);
      Events_.RequestStarted(
          toAssignment(Started, Requester ? Requester->Origin : Origin));
    }
    for (const std::uint64_t Id : Message.FirstTokens)
      Events_.FirstToken(Id);
    for (const std::uint64_t Id : Message.Finished)
      Events_.RequestFinished(Id);
    for (const CrashReport &Report : Message.Crashes)
      Events_.Crash(Report);
    for (const std::string &Id : Message.UnresponsiveEndpoints)
      Events_.EndpointUnresponsive(Id);
    for (const EndpointOutcomeReport &Report : Message.Outcomes)
      Events_.Outcome(Report);
  }

  void handleCoverage(const NodeMessage &Message, const Peer &From) {
    for (const CoverageMessage &Received : Message.Coverage) {
      const std::optional<CoverageReport> Report = toCoverageReport(Received);
      if (Report)
        Events_.PeerCoverage(*Report, {From.Host, Options_.Internal.Port});
      else
        logWarning("node_message_rejected")
            .field("from", From.Host)
            .field("reason", "coverage out of range");
    }
  }

  void scheduleCatchUp(const NodeMessage &Message) {
    const bool IsNewer = Message.lastOperatorChange() > LastOperatorChange_ ||
                         Message.lastEndpointChange() > LastEndpointChange_;
    if (!IsNewer || CatchUpScheduled_)
      return;
    CatchUpScheduled_ = true;
    Duration Delay = CatchUpDelay;
    if (hasRoles())
      Delay += Duration(
          std::uniform_int_distribution<int>(0, CatchUpSpreadMs)(Random_));
    auto Timer =
        std::make_shared<asio::steady_timer>(Socket_.get_executor(), Delay);
    Timer->async_wait([this, Timer](Code Failure) {
      CatchUpScheduled_ = false;
      if (Failure)
        return;
      catchUp(catalog::Table::Operator, &Peer::LastOperatorChange,
              LastOperatorChange_);
      catchUp(catalog::Table::Endpoints, &Peer::LastEndpointChange,
              LastEndpointChange_);
    });
  }

  /// Reads rows newer than `Own` from a random one of the nodes that hold the
  /// newest.
  void catchUp(catalog::Table TableId, catalog::StoreVersion Peer::*Row,
               catalog::StoreVersion Own) {
    const TimePoint Now = now();
    catalog::StoreVersion Newest = Own;
    for (const auto &[Host, Node] : Peers_.all())
      if (PeerTable::isLive(Node, Now))
        Newest = std::max(Newest, Node.*Row);
    if (Newest <= Own)
      return;
    logEvent("rows_missing")
        .field("table", catalog::nameOf(TableId))
        .field("complete", Own.Version)
        .field("newest", Newest.Version)
        .field("era", Newest.Era);
    std::vector<const Peer *> Holders;
    for (const auto &[Host, Node] : Peers_.all())
      if (PeerTable::isLive(Node, Now) && Node.*Row == Newest)
        Holders.push_back(&Node);
    const std::size_t Picked = std::uniform_int_distribution<std::size_t>(
        0, Holders.size() - 1)(Random_);
    Events_.NewerRows(TableId, {Holders[Picked]->Host, Options_.Internal.Port});
  }

  bool sendsHeartbeatsToAll() const {
    return !hasRoles() || Following_ ||
           HeartbeatCount_ < IntroductionHeartbeats ||
           Peers_.isAmongBestRanked(PlacerCandidateCount);
  }

  void sendHeartbeat() {
    const TimePoint Now = now();
    logUnsent();
    for (auto &[Host, Node] : Peers_.all())
      if (Node.HasSentMessage && !Node.Lost && !PeerTable::isLive(Node, Now))
        markLost(Node);
    NodeMessage Message = makeMessage();
    if (Following_)
      for (const CoverageReport &Report : Events_.OwnCoverage())
        Message.Coverage.push_back(toCoverageMessage(Report));
    Duration Period = HeartbeatPeriod;
    if (!hasRoles()) {
      for (const auto &[Host, Node] : Peers_.all())
        if (PeerTable::isLive(Node, Now) &&
            Message.KnownNodes.size() < MaxKnownNodes)
          Message.KnownNodes.push_back(Host);
      Period *= 1 + Peers_.possibleCount() / NodesPerHeartbeatPeriod;
      if (Following_)
        Period = RoleHeartbeat;
    } else if (sendsHeartbeatsToAll()) {
      Period = RoleHeartbeat;
      for (const Peer *Candidate : Peers_.bestRanked(PlacerCandidateCount))
        Message.KnownNodes.push_back(Candidate->Host);
    }
    if (sendsHeartbeatsToAll())
      sendToAll(Message);
    else
      sendToBestRanked(Message);
    ++HeartbeatCount_;
    HeartbeatTimer_.expires_after(Period);
    HeartbeatTimer_.async_wait([this](Code Failure) {
      if (!Failure)
        sendHeartbeat();
    });
  }

  void markLost(Peer &Node) {
    Node.Lost = true;
    // Nodes of a large fleet send heartbeats to those with roles, and to all
    // only when they start: other nodes cannot tell that a node is lost.
    if (hasRoles() && !Peers_.isAmongBestRanked(PlacerCandidateCount))
      return;
    logWarning("node_silent")
        .field("node", Node.Name)
        .field("address", Node.Host);
    Events_.NodeLost(Node.Origin);
  }

  NodeMessage makeMessage() const {
    NodeMessage Message;
    Message.Node = Options_.Name;
    Message.Incarnation = Options_.Incarnation;
    Message.LastOperatorChange = LastOperatorChange_.Version;
    Message.LastEndpointChange = LastEndpointChange_.Version;
    Message.OperatorEra = LastOperatorChange_.Era;
    Message.EndpointEra = LastEndpointChange_.Era;
    Message.Following = Following_;
    Message.CpuShare = Options_.CpuShare;
    Message.KnowsFleetLoad = knowsFleetLoad();
    return Message;
  }

  void scheduleFlush() {
    if (PendingReports_.FirstTokens.size() + PendingReports_.Finished.size() >=
        MaxItemsPerMessage) {
      flush();
      return;
    }
    if (FlushScheduled_)
      return;
    FlushScheduled_ = true;
    FlushTimer_.expires_after(BatchPeriod);
    FlushTimer_.async_wait([this](Code Failure) {
      FlushScheduled_ = false;
      if (!Failure)
        flush();
    });
  }

  /// Sends the pending reports: to all in a small fleet, to those that place
  /// requests in a large one.
  void flush() {
    if (PendingReports_.Started.empty() &&
        PendingReports_.FirstTokens.empty() &&
        PendingReports_.Finished.empty() &&
        PendingReports_.UnresponsiveEndpoints.empty() &&
        PendingReports_.Outcomes.empty())
      return;
    NodeMessage Message = makeMessage();
    Message.Started.swap(PendingReports_.Started);
    Message.FirstTokens.swap(PendingReports_.FirstTokens);
    Message.Finished.swap(PendingReports_.Finished);
    Message.UnresponsiveEndpoints.swap(PendingReports_.UnresponsiveEndpoints);
    Message.Outcomes.swap(PendingReports_.Outcomes);
    if (!hasRoles()) {
      sendToLive(Message);
      return;
    }
    // Also to the best-ranked nodes that have just started: they become placers
    // once they know the load of the fleet.
    std::set<std::string> Hosts;
    for (std::string &Host : placers())
      Hosts.insert(std::move(Host));
    for (const Peer *Candidate : Peers_.bestRanked(PlacerCount))
      Hosts.insert(Candidate->Host);
    const std::string Bytes = packMessage(Message);
    for (const std::string &Host : Hosts)
      if (const Peer *Target = Peers_.find(Host))
        send(Bytes, Target->UdpAddress);
  }

  void sendTo(const std::string &Host, const NodeMessage &Message) {
    if (const Peer *Node = Peers_.find(Host))
      send(packMessage(Message), Node->UdpAddress);
  }
  /// Addresses of all nodes, starting at a random one: a full link drops the
  /// end of a burst, and it must not be the same nodes each time.
  std::vector<Udp::endpoint> targetsFromRandomStart() {
    std::vector<Udp::endpoint> Targets;
    Targets.reserve(Peers_.all().size());
    for (const auto &[Host, Node] : Peers_.all())
      Targets.push_back(Node.UdpAddress);
    if (Targets.empty())
      return Targets;
    const auto First = std::uniform_int_distribution<std::ptrdiff_t>(
        0, static_cast<std::ptrdiff_t>(Targets.size()) - 1)(Random_);
    std::rotate(Targets.begin(), Targets.begin() + First, Targets.end());
    return Targets;
  }
  void sendToAll(const NodeMessage &Message) {
    const std::string Bytes = packMessage(Message);
    for (const Udp::endpoint &Target : targetsFromRandomStart())
      send(Bytes, Target);
  }
  void sendToBestRanked(const NodeMessage &Message) {
    const std::string Bytes = packMessage(Message);
    for (const Peer *Target : Peers_.bestRanked(PlacerCandidateCount))
      send(Bytes, Target->UdpAddress);
  }
  void sendToLive(const NodeMessage &Message) {
    const std::string Bytes = packMessage(Message);
    const TimePoint Now = now();
    for (const auto &[Host, Node] : Peers_.all())
      if (PeerTable::isLive(Node, Now))
        send(Bytes, Node.UdpAddress);
  }

  /// Failures are only counted: the next message makes up for a lost one.
  void send(const std::string &Bytes, const Udp::endpoint &Target) {
    Code Failure;
    Socket_.send_to(asio::buffer(Bytes), Target, 0, Failure);
    if (!Failure)
      return;
    ++Unsent_.Total;
    ++Unsent_.SinceLogged;
    Unsent_.LastBytes = Bytes.size();
    Unsent_.LastReason = Failure.message();
  }

  void logUnsent() {
    if (Unsent_.SinceLogged == 0)
      return;
    logWarning("messages_unsent")
        .field("count", Unsent_.SinceLogged)
        .field("total", Unsent_.Total)
        .field("last_bytes", Unsent_.LastBytes)
        .field("reason", Unsent_.LastReason);
    Unsent_.SinceLogged = 0;
  }

  NodeNetworkOptions Options_;
  NodeNetworkEvents Events_;
  PeerTable Peers_;
  TimePoint StartedAt_;
  Udp::socket Socket_;
  Udp::endpoint Sender_;
  std::array<char, 16 * 1024> ReceiveBuffer_{};
  asio::steady_timer HeartbeatTimer_;
  asio::steady_timer FlushTimer_;
  RowBroadcast RowBroadcast_;
  int HeartbeatCount_ = 0;
  bool FlushScheduled_ = false;
  bool CatchUpScheduled_ = false;
  bool Following_ = false;
  catalog::StoreVersion LastOperatorChange_;
  catalog::StoreVersion LastEndpointChange_;
  UnsentCounters Unsent_;
  NodeMessage PendingReports_; ///< reports about requests, batched
  std::deque<std::uint64_t> FreshnessQueries_; ///< time stamps, newest last
  std::minstd_rand Random_{std::random_device{}()};
};

} // namespace

std::unique_ptr<NodeNetwork> startNodeNetwork(asio::io_context &Context,
                                              NodeNetworkOptions Options,
                                              NodeNetworkEvents Events,
                                              std::string &Reason) {
  auto Result =
      std::make_unique<Network>(Context, std::move(Options), std::move(Events));
  if (!Result->open(Reason))
    return nullptr;
  return Result;
}

} // namespace cassiashed::gateway
