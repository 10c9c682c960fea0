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
/// Above this number of nodes heartbeats are spread further apart, so that a
/// node spends the same on them at any size.
constexpr int NodesPerHeartbeat = 40;
/// Heartbeats to all nodes after the start, so that those that have read the
/// nodes' table before hear of this one.
constexpr int IntroductionBeats = 3;
/// Ends and first tokens are collected this long; a prediction that is this
/// old is still good.
constexpr Duration CollectPeriod{20};
/// Row versions of a peer are taken over after this time, in which the store
/// itself usually delivers them.
constexpr Duration CatchUpDelay{150};
/// Nodes of a large fleet spread their reads of new rows over this time, since
/// a few followers serve all of them.
constexpr int CatchUpSpreadMs = 300;
/// Below the size that fits one Ethernet frame, so that no datagram is split.
constexpr std::size_t MaxItemsPerMessage = 30;
constexpr std::size_t MaxKnownNodes = 32;
/// Nodes that follow tables for all: enough that some are left when a zone and
/// a third of the other nodes lose the store at once.
constexpr int FollowerCount = 4;
/// Nodes asked in turn for one placement, and told of all work.
constexpr std::size_t PlacerCount = 3;
/// Best-ranked nodes that may act as placers in turn.
constexpr std::size_t PlacerReserve = 6;
/// A node with a role says so this often.
constexpr Duration RoleHeartbeat{400};
/// Work lasts some seconds; a process that has run this long has heard of
/// nearly all that is under way.
constexpr Duration KnowsWorkAfter{4000};
/// A placer that did not answer in time is asked last for this long.
constexpr Duration PlacerPause{1000};
/// Nodes that are asked at once how current their rows are: one may have died.
constexpr std::size_t AskedNodes = 2;
/// Freshness questions whose answers are still taken.
constexpr std::size_t OpenFreshnessQuestions = 8;

/// Messages that the system did not take, and what was logged of them.
struct Unsent {
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
        StartedAt_(now()), Socket_(Context), Heartbeat_(Context),
        Collect_(Context),
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
      (void)peerAt(Host);
    receive();
    beat();
    return true;
  }

  void addNode(const std::string &Name, const std::string &Host,
               double CpuShare) override {
    Peer *Entry = peerAt(Host);
    if (!Entry)
      return;
    Entry->Name = Name;
    if (!Name.empty())
      Entry->Rank = {CpuShare, hashBytes(Name)};
  }
  void removeNode(const std::string &Name) override { Peers_.remove(Name); }

  void setRowVersions(std::uint64_t OperatorRow,
                      std::uint64_t EndpointRow) override {
    const bool IsNews = OperatorRow > OperatorRow_;
    OperatorRow_ = OperatorRow;
    EndpointRow_ = EndpointRow;
    // Followers pass endpoint rows on themselves; operator rows are read from
    // them.
    if (IsNews && Following_ && hasRoles())
      beat();
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
    beat();
  }
  bool isFollowing() const override { return Following_; }
  void askOperatorAge() override {
    NodeMessage Message = makeMessage();
    Message.FreshnessAskedAt =
        static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count());
    FreshnessQuestions_.push_back(Message.FreshnessAskedAt);
    if (FreshnessQuestions_.size() > OpenFreshnessQuestions)
      FreshnessQuestions_.pop_front();
    const std::string Bytes = packMessage(Message);
    for (const Peer *Each : nodesToAsk())
      send(Bytes, Each->Where);
  }

  std::vector<std::string> placers() const override {
    return Peers_.placers(PlacerCount, knowsWork(), now());
  }
  int coldPlacerCount() const override {
    return static_cast<int>(PlacerReserve);
  }
  bool mayPlaceOnCold() const override {
    return Peers_.isAmongBest(PlacerReserve);
  }
  const std::string &ownHost() const override { return Options_.Internal.Host; }
  void ask(const std::string &Host,
           const PlacementQuestion &Question) override {
    NodeMessage Message = makeMessage();
    Message.Questions.push_back(Question);
    sendTo(Host, Message);
  }
  void answer(const std::string &Host, const PlacementAnswer &Answer) override {
    NodeMessage Message = makeMessage();
    Message.Answers.push_back(Answer);
    sendTo(Host, Message);
  }
  void notePlacerSilent(const std::string &Host) override {
    if (Peer *Entry = Peers_.find(Host))
      Entry->SuspectUntil = now() + PlacerPause;
  }

  void announceStart(const balancing::Assignment &Work,
                     const std::string &Requester) override {
    WorkStarted Note = describeWork(Work);
    Note.Requester = Requester;
    Work_.Started.push_back(std::move(Note));
    flush();
  }
  void announceFirstToken(std::uint64_t Id) override {
    Work_.FirstTokens.push_back(Id);
    collect();
  }
  void announceFinish(std::uint64_t Id) override {
    Work_.Finished.push_back(Id);
    collect();
  }
  void announceUnresponsive(const std::string &EndpointId) override {
    Work_.SilentEndpoints.push_back(EndpointId);
    flush();
  }
  void announceOutcome(const std::string &EndpointId,
                       balancing::EndpointOutcome Outcome) override {
    if (!hasRoles())
      return;
    Work_.Outcomes.push_back({EndpointId, static_cast<std::uint32_t>(Outcome)});
    collect();
  }
  void announceCrash(const CrashReport &Note) override {
    NodeMessage Message = makeMessage();
    Message.Crashes.push_back(Note);
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
    return {[this] { return makeMessage(); }, [this] { return allInTurn(); },
            [this](const std::string &Bytes, const Udp::endpoint &Where) {
              send(Bytes, Where);
            },
            [this](std::uint64_t After) {
              return Events_.EndpointRowsAfter(After);
            }};
  }
  static TimePoint now() { return std::chrono::steady_clock::now(); }
  bool knowsWork() const { return now() - StartedAt_ > KnowsWorkAfter; }

  Peer *peerAt(const std::string &Host) {
    return Peers_.at(Host, Options_.Internal.Port);
  }

  /// The first follower, which knows best, and another node.
  std::vector<const Peer *> nodesToAsk() {
    const TimePoint Now = now();
    std::vector<const Peer *> Live;
    for (const auto &[Host, Entry] : Peers_.all())
      if (PeerTable::isLive(Entry, Now))
        Live.push_back(&Entry);
    std::shuffle(Live.begin(), Live.end(), Random_);
    const auto First = std::min_element(
        Live.begin(), Live.end(), [](const Peer *Left, const Peer *Right) {
          if (Left->Following != Right->Following)
            return Left->Following;
          return Left->Following && ranksBefore(Left->Rank, Right->Rank);
        });
    if (First != Live.end())
      std::iter_swap(Live.begin(), First);
    Live.resize(std::min(Live.size(), AskedNodes));
    return Live;
  }

  void answerFreshness(std::uint64_t AskedAt) {
    const std::optional<Duration> Age = Events_.OperatorAge();
    if (!Age)
      return;
    NodeMessage Reply = makeMessage();
    Reply.FreshnessAnswerTo = AskedAt;
    Reply.OperatorAgeMs = Age->count();
    send(packMessage(Reply), Sender_);
  }

  void takeFreshness(const NodeMessage &Message) {
    // Only answers to own questions count, and only from nodes that know no
    // change that this one lacks.
    const auto Question =
        std::find(FreshnessQuestions_.begin(), FreshnessQuestions_.end(),
                  Message.FreshnessAnswerTo);
    if (Question == FreshnessQuestions_.end() ||
        Message.OperatorRow > OperatorRow_ || Message.OperatorAgeMs < 0)
      return;
    Events_.OperatorConfirmed(BootTime(std::chrono::nanoseconds(*Question)),
                              Duration(Message.OperatorAgeMs));
  }

  void receive() {
    Socket_.async_receive_from(
        asio::buffer(Received_), Sender_,
        [this](Code Failure, std::size_t Size) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            take(std::string_view(Received_.data(), Size));
          receive();
        });
  }

  void take(std::string_view Bytes) {
    std::string Reason;
    const std::optional<NodeMessage> Message = unpackMessage(Bytes, Reason);
    if (!Message) {
      logWarning("node_message_rejected")
          .field("from", Sender_.address().to_string())
          .field("reason", Reason);
      return;
    }
    Peer *From = peerAt(Sender_.address().to_string());
    if (!From || Message->Node == Options_.Name)
      return;
    recordBytesReceived(*From, *Message);
    for (const std::string &Host : Message->KnownNodes)
      (void)peerAt(Host);
    takeWork(*Message, From->Origin);
    for (const PlacementQuestion &Each : Message->Questions)
      Events_.Question(Each, From->Host, From->Origin);
    for (const PlacementAnswer &Each : Message->Answers)
      Events_.Answer(Each);
    if (!Message->EndpointRows.empty()) {
      RowBatch Batch{Message->RowsAfter, Message->RowsUpTo, {}};
      for (const EndpointRowChange &Each : Message->EndpointRows)
        Batch.Rows.push_back(
            {Each.Key, Each.Value, Each.Version, Each.Removed});
      Events_.EndpointRows(std::move(Batch));
    }
    takeCoverage(*Message, *From);
    noteVersions(*Message);
    if (Message->FreshnessAskedAt != 0)
      answerFreshness(Message->FreshnessAskedAt);
    if (Message->FreshnessAnswerTo != 0)
      takeFreshness(*Message);
  }

  void recordBytesReceived(Peer &From, const NodeMessage &Message) {
    if (From.Incarnation != Message.Incarnation) {
      if (From.WasHeard)
        Events_.NodeLost(From.Origin);
      From.Incarnation = Message.Incarnation;
    }
    if (!From.WasHeard || From.Lost)
      logEvent("node_heard")
          .field("node", Message.Node)
          .field("address", From.Host)
          .field("incarnation", Message.Incarnation);
    From.Name = Message.Node;
    From.WasHeard = true;
    From.Lost = false;
    From.LastHeard = now();
    From.Following = Message.Following;
    From.KnowsFleetLoad = Message.KnowsFleetLoad;
    From.Rank = {Message.CpuShare, hashBytes(Message.Node)};
    From.OperatorRow = Message.OperatorRow;
    From.EndpointRow = Message.EndpointRow;
  }

  void takeWork(const NodeMessage &Message, std::uint32_t Origin) {
    for (const WorkStarted &Work : Message.Started) {
      if (Work.Requester == Options_.Internal.Host)
        continue;
      const Peer *Requester =
          Work.Requester.empty() ? nullptr : peerAt(Work.Requester);
      Events_.WorkStarted(
          toAssignment(Work, Requester ? Requester->Origin : Origin));
    }
    for (const std::uint64_t Id : Message.FirstTokens)
      Events_.FirstToken(Id);
    for (const std::uint64_t Id : Message.Finished)
      Events_.WorkFinished(Id);
    for (const CrashReport &Note : Message.Crashes)
      Events_.Crash(Note);
    for (const std::string &Id : Message.SilentEndpoints)
      Events_.EndpointSilent(Id);
    for (const EndpointOutcomeReport &Note : Message.Outcomes)
      Events_.Outcome(Note);
  }

  void takeCoverage(const NodeMessage &Message, const Peer &From) {
    for (const CoverageMessage &Note : Message.Coverage) {
      const std::optional<CoverageReport> Claim = toClaim(Note);
      if (Claim)
        Events_.Claim(*Claim, {From.Host, Options_.Internal.Port});
      else
        logWarning("node_message_rejected")
            .field("from", From.Host)
            .field("reason", "coverage out of range");
    }
  }

  void noteVersions(const NodeMessage &Message) {
    const bool IsNewer = Message.OperatorRow > OperatorRow_ ||
                         Message.EndpointRow > EndpointRow_;
    if (!IsNewer || CatchingUp_)
      return;
    CatchingUp_ = true;
    Duration Delay = CatchUpDelay;
    if (hasRoles())
      Delay += Duration(
          std::uniform_int_distribution<int>(0, CatchUpSpreadMs)(Random_));
    auto Timer =
        std::make_shared<asio::steady_timer>(Socket_.get_executor(), Delay);
    Timer->async_wait([this, Timer](Code Failure) {
      CatchingUp_ = false;
      if (Failure)
        return;
      catchUp(catalog::Table::Operator, &Peer::OperatorRow, OperatorRow_);
      catchUp(catalog::Table::Endpoints, &Peer::EndpointRow, EndpointRow_);
    });
  }

  /// Reads rows newer than `Own` from one of the nodes that hold the newest.
  void catchUp(catalog::Table Which, std::uint64_t Peer::*Row,
               std::uint64_t Own) {
    const TimePoint Now = now();
    std::uint64_t Newest = Own;
    for (const auto &[Host, Entry] : Peers_.all())
      if (PeerTable::isLive(Entry, Now))
        Newest = std::max(Newest, Entry.*Row);
    if (Newest <= Own)
      return;
    logEvent("rows_missing")
        .field("table", catalog::nameOf(Which))
        .field("complete", Own)
        .field("newest", Newest);
    std::vector<const Peer *> Holders;
    for (const auto &[Host, Entry] : Peers_.all())
      if (PeerTable::isLive(Entry, Now) && Entry.*Row == Newest)
        Holders.push_back(&Entry);
    const std::size_t Picked = std::uniform_int_distribution<std::size_t>(
        0, Holders.size() - 1)(Random_);
    Events_.NewerRows(Which, {Holders[Picked]->Host, Options_.Internal.Port});
  }

  /// Whether this node's heartbeats go to all nodes.
  bool beatsToAll() const {
    return !hasRoles() || Following_ || BeatCount_ < IntroductionBeats ||
           Peers_.isAmongBest(PlacerReserve);
  }

  void beat() {
    const TimePoint Now = now();
    logUnsent();
    for (auto &[Host, Entry] : Peers_.all())
      if (Entry.WasHeard && !Entry.Lost && !PeerTable::isLive(Entry, Now))
        loseNode(Entry);
    NodeMessage Message = makeMessage();
    if (Following_)
      for (const CoverageReport &Each : Events_.OwnClaims())
        Message.Coverage.push_back(describeClaim(Each));
    Duration Period = HeartbeatPeriod;
    if (!hasRoles()) {
      for (const auto &[Host, Entry] : Peers_.all())
        if (PeerTable::isLive(Entry, Now) &&
            Message.KnownNodes.size() < MaxKnownNodes)
          Message.KnownNodes.push_back(Host);
      Period *= 1 + Peers_.possibleCount() / NodesPerHeartbeat;
      if (Following_)
        Period = RoleHeartbeat;
    } else if (beatsToAll()) {
      Period = RoleHeartbeat;
      for (const Peer *Each : Peers_.best(PlacerReserve))
        Message.KnownNodes.push_back(Each->Host);
    }
    if (beatsToAll())
      sendToAll(Message);
    else
      sendToBest(Message);
    ++BeatCount_;
    Heartbeat_.expires_after(Period);
    Heartbeat_.async_wait([this](Code Failure) {
      if (!Failure)
        beat();
    });
  }

  void loseNode(Peer &Entry) {
    Entry.Lost = true;
    // Nodes of a large fleet are only heard by those with roles, and by all
    // when they start.
    if (hasRoles() && !Peers_.isAmongBest(PlacerReserve))
      return;
    logWarning("node_silent")
        .field("node", Entry.Name)
        .field("address", Entry.Host);
    Events_.NodeLost(Entry.Origin);
  }

  NodeMessage makeMessage() const {
    NodeMessage Message;
    Message.Node = Options_.Name;
    Message.Incarnation = Options_.Incarnation;
    Message.OperatorRow = OperatorRow_;
    Message.EndpointRow = EndpointRow_;
    Message.Following = Following_;
    Message.CpuShare = Options_.CpuShare;
    Message.KnowsFleetLoad = knowsWork();
    return Message;
  }

  void collect() {
    if (Work_.FirstTokens.size() + Work_.Finished.size() >=
        MaxItemsPerMessage) {
      flush();
      return;
    }
    if (Collecting_)
      return;
    Collecting_ = true;
    Collect_.expires_after(CollectPeriod);
    Collect_.async_wait([this](Code Failure) {
      Collecting_ = false;
      if (!Failure)
        flush();
    });
  }

  /// Sends what was collected about work: to all in a small fleet, to those
  /// that place requests in a large one.
  void flush() {
    if (Work_.Started.empty() && Work_.FirstTokens.empty() &&
        Work_.Finished.empty() && Work_.SilentEndpoints.empty() &&
        Work_.Outcomes.empty())
      return;
    NodeMessage Message = makeMessage();
    Message.Started.swap(Work_.Started);
    Message.FirstTokens.swap(Work_.FirstTokens);
    Message.Finished.swap(Work_.Finished);
    Message.SilentEndpoints.swap(Work_.SilentEndpoints);
    Message.Outcomes.swap(Work_.Outcomes);
    if (!hasRoles()) {
      sendToLive(Message);
      return;
    }
    // Also to the best-ranked ones that have just started: they place requests
    // as soon as they know enough.
    std::set<std::string> Hosts;
    for (std::string &Host : placers())
      Hosts.insert(std::move(Host));
    for (const Peer *Each : Peers_.best(PlacerCount))
      Hosts.insert(Each->Host);
    const std::string Bytes = packMessage(Message);
    for (const std::string &Host : Hosts)
      if (const Peer *Each = Peers_.find(Host))
        send(Bytes, Each->Where);
  }

  void sendTo(const std::string &Host, const NodeMessage &Message) {
    if (const Peer *Entry = Peers_.find(Host))
      send(packMessage(Message), Entry->Where);
  }
  /// Addresses of all nodes, beginning with any: otherwise the same nodes are
  /// the last ones at each sender, whose link drops the end of a burst.
  std::vector<Udp::endpoint> allInTurn() {
    std::vector<Udp::endpoint> Targets;
    Targets.reserve(Peers_.all().size());
    for (const auto &[Host, Entry] : Peers_.all())
      Targets.push_back(Entry.Where);
    if (Targets.empty())
      return Targets;
    const auto First = std::uniform_int_distribution<std::ptrdiff_t>(
        0, static_cast<std::ptrdiff_t>(Targets.size()) - 1)(Random_);
    std::rotate(Targets.begin(), Targets.begin() + First, Targets.end());
    return Targets;
  }
  void sendToAll(const NodeMessage &Message) {
    const std::string Bytes = packMessage(Message);
    for (const Udp::endpoint &Each : allInTurn())
      send(Bytes, Each);
  }
  void sendToBest(const NodeMessage &Message) {
    const std::string Bytes = packMessage(Message);
    for (const Peer *Each : Peers_.best(PlacerReserve))
      send(Bytes, Each->Where);
  }
  void sendToLive(const NodeMessage &Message) {
    const std::string Bytes = packMessage(Message);
    const TimePoint Now = now();
    for (const auto &[Host, Entry] : Peers_.all())
      if (PeerTable::isLive(Entry, Now))
        send(Bytes, Entry.Where);
  }

  /// A message that is lost is made up for by the next one, but has to show.
  void send(const std::string &Bytes, const Udp::endpoint &Where) {
    Code Failure;
    Socket_.send_to(asio::buffer(Bytes), Where, 0, Failure);
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
  std::array<char, 16 * 1024> Received_{};
  asio::steady_timer Heartbeat_;
  asio::steady_timer Collect_;
  RowBroadcast RowBroadcast_;
  int BeatCount_ = 0;
  bool Collecting_ = false;
  bool CatchingUp_ = false;
  bool Following_ = false;
  std::uint64_t OperatorRow_ = 0;
  std::uint64_t EndpointRow_ = 0;
  Unsent Unsent_;
  NodeMessage Work_;                             ///< collected notes about work
  std::deque<std::uint64_t> FreshnessQuestions_; ///< stamps of the latest ones
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
