#include "gateway/node_network.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/hash.h"
#include "http/asio.h"
#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <map>
#include <random>

namespace cassiashed::gateway {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using Code = boost::system::error_code;

constexpr Duration HeartbeatPeriod{1000};
/// Above this number of nodes heartbeats are spread further apart, so that a
/// node spends the same on them at any size.
constexpr int NodesPerHeartbeat = 40;
/// Ends and first tokens are collected this long; a prediction that is this
/// old is still good.
constexpr Duration CollectPeriod{20};
/// A node that was not heard for this long gets heartbeats only.
constexpr Duration SilentAfter{5000};
/// Row versions of a peer are taken over after this time, in which the store
/// itself usually delivers them.
constexpr Duration CatchUpDelay{150};
/// Below the size that fits one Ethernet frame, so that no datagram is split.
constexpr std::size_t MaxItemsPerMessage = 30;
constexpr std::size_t MaxKnownNodes = 32;
constexpr std::size_t MaxRowBytesPerMessage = 6000;
/// Nodes that follow the endpoints' table: enough that some are left when a
/// zone and a third of the other nodes lose the store at once.
constexpr int FollowerCount = 4;
/// A follower says so this often; one that is not heard for the longer time
/// is replaced, well within the bounds on leaving endpoints.
constexpr Duration FollowerHeartbeat{400};
constexpr Duration FollowerSilence{1100};
/// Nodes that are asked at once how current their rows are: one may have died.
constexpr std::size_t AskedNodes = 2;
/// Questions whose answers are still taken.
constexpr std::size_t OpenQuestions = 8;

struct Peer {
  std::string Name; ///< empty for a seed that was not heard yet
  Udp::endpoint Where;
  std::uint64_t Incarnation = 0;
  std::uint32_t Origin = 0;
  bool WasHeard = false;
  bool Lost = false;
  bool Following = false;
  std::uint64_t Rank = 0; ///< nodes with a lower one follow first
  TimePoint LastHeard;
};

class Network final : public NodeNetwork {
public:
  Network(asio::io_context &Context, NodeNetworkOptions Options,
          NodeNetworkEvents Events)
      : Options_(std::move(Options)), Events_(std::move(Events)),
        Rank_(hashBytes(Options_.Name)), Socket_(Context), Heartbeat_(Context),
        Collect_(Context) {}

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
      if (Host != Options_.Internal.Host)
        (void)peerAt(Host);
    receive();
    beat();
    return true;
  }

  void addNode(const std::string &Name, const std::string &Host) override {
    if (Host == Options_.Internal.Host)
      return;
    Peer *Entry = peerAt(Host);
    if (Entry)
      Entry->Name = Name;
  }

  void removeNode(const std::string &Name) override {
    for (auto Entry = Peers_.begin(); Entry != Peers_.end();)
      Entry =
          Entry->second.Name == Name ? Peers_.erase(Entry) : std::next(Entry);
  }

  void setRowVersions(std::uint64_t OperatorRow,
                      std::uint64_t EndpointRow) override {
    OperatorRow_ = OperatorRow;
    EndpointRow_ = EndpointRow;
  }
  bool shouldFollow() const override {
    return betterFollowers() < FollowerCount;
  }
  bool isFirstFollower() const override { return betterFollowers() == 0; }
  void askOperatorAge() override {
    NodeMessage Message = makeMessage();
    Message.FreshnessAskedAt =
        static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count());
    Questions_.push_back(Message.FreshnessAskedAt);
    if (Questions_.size() > OpenQuestions)
      Questions_.pop_front();
    const std::string Bytes = packMessage(Message);
    for (const Peer *Each : nodesToAsk())
      send(Bytes, Each->Where);
  }
  void setFollowing(bool Following) override {
    if (Following == Following_)
      return;
    Following_ = Following;
    beat();
  }

  void announceStart(const balancing::Assignment &Work) override {
    Pending_.Started.push_back(describeWork(Work));
    flush();
  }
  void announceFirstToken(std::uint64_t Id) override {
    Pending_.FirstTokens.push_back(Id);
    collect();
  }
  void announceFinish(std::uint64_t Id) override {
    Pending_.Finished.push_back(Id);
    collect();
  }
  void announceCrash(const CrashNote &Note) override {
    Pending_.Crashes.push_back(Note);
    flush();
  }

  void announceSilence(const std::string &EndpointId) override {
    Pending_.SilentEndpoints.push_back(EndpointId);
    flush();
  }
  void announceEndpointRows(const std::vector<catalog::Row> &Rows) override {
    std::size_t Bytes = 0;
    for (const catalog::Row &Each : Rows) {
      if (Bytes > MaxRowBytesPerMessage) {
        flush();
        Bytes = 0;
      }
      Bytes += Each.Key.size() + Each.Value.size();
      Pending_.EndpointRows.push_back(
          {Each.Key, Each.Value, Each.Version, Each.Removed});
    }
    flush();
  }

  int possibleNodes() const override {
    return static_cast<int>(Peers_.size()) + 1;
  }
  int liveNodes() const override {
    int Count = 1;
    const TimePoint Now = std::chrono::steady_clock::now();
    for (const auto &[Host, Entry] : Peers_)
      if (isLive(Entry, Now))
        ++Count;
    return Count;
  }

private:
  static bool isLive(const Peer &Entry, TimePoint Now) {
    return Entry.WasHeard && Now - Entry.LastHeard < SilentAfter;
  }

  /// Nodes that come before this one and say that they follow the table.
  int betterFollowers() const {
    const TimePoint Now = std::chrono::steady_clock::now();
    return static_cast<int>(
        std::count_if(Peers_.begin(), Peers_.end(), [&](const auto &Known) {
          return Known.second.Following && Known.second.Rank < Rank_ &&
                 Now - Known.second.LastHeard < FollowerSilence;
        }));
  }

  /// The first followers, and others at random where these are too few.
  std::vector<const Peer *> nodesToAsk() {
    const TimePoint Now = std::chrono::steady_clock::now();
    std::vector<const Peer *> Live;
    for (const auto &[Host, Entry] : Peers_)
      if (isLive(Entry, Now))
        Live.push_back(&Entry);
    std::shuffle(Live.begin(), Live.end(), Random_);
    std::stable_sort(Live.begin(), Live.end(),
                     [](const Peer *Left, const Peer *Right) {
                       if (Left->Following != Right->Following)
                         return Left->Following;
                       return Left->Following && Left->Rank < Right->Rank;
                     });
    // The first follower knows best; the other one asked varies.
    if (Live.size() > AskedNodes)
      std::shuffle(Live.begin() + 1, Live.end(), Random_);
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
    const auto Question = std::find(Questions_.begin(), Questions_.end(),
                                    Message.FreshnessAnswerTo);
    if (Question == Questions_.end() || Message.OperatorRow > OperatorRow_ ||
        Message.OperatorAgeMs < 0)
      return;
    Events_.OperatorConfirmed(BootTime(std::chrono::nanoseconds(*Question)),
                              Duration(Message.OperatorAgeMs));
  }

  Peer *peerAt(const std::string &Host) {
    const auto Found = Peers_.find(Host);
    if (Found != Peers_.end())
      return &Found->second;
    Code Failure;
    const auto Ip = asio::ip::make_address(Host, Failure);
    if (Failure) {
      logWarning("node_address_invalid").field("address", Host);
      return nullptr;
    }
    Peer Entry;
    Entry.Where = Udp::endpoint(Ip, Options_.Internal.Port);
    Entry.Origin = NextOrigin_++;
    return &Peers_.emplace(Host, Entry).first->second;
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
    const TimePoint Now = std::chrono::steady_clock::now();
    if (From->Incarnation != Message->Incarnation) {
      if (From->WasHeard)
        Events_.NodeLost(From->Origin);
      From->Incarnation = Message->Incarnation;
    }
    if (!From->WasHeard || From->Lost)
      logEvent("node_heard")
          .field("node", Message->Node)
          .field("address", Sender_.address().to_string())
          .field("incarnation", Message->Incarnation);
    From->Name = Message->Node;
    From->WasHeard = true;
    From->Lost = false;
    From->LastHeard = Now;
    From->Following = Message->Following;
    From->Rank = hashBytes(Message->Node);
    for (const std::string &Host : Message->KnownNodes)
      if (Host != Options_.Internal.Host)
        (void)peerAt(Host);
    const std::uint32_t Origin = From->Origin;
    for (const WorkStarted &Work : Message->Started)
      Events_.WorkStarted(toAssignment(Work, Origin));
    for (const std::uint64_t Id : Message->FirstTokens)
      Events_.FirstToken(Id);
    for (const std::uint64_t Id : Message->Finished)
      Events_.WorkFinished(Id);
    for (const CrashNote &Note : Message->Crashes)
      Events_.Crash(Note);
    for (const std::string &Id : Message->SilentEndpoints)
      Events_.EndpointSilent(Id);
    if (!Message->EndpointRows.empty()) {
      std::vector<catalog::Row> Rows;
      for (const EndpointRowNews &Each : Message->EndpointRows)
        Rows.push_back({Each.Key, Each.Value, Each.Version, Each.Removed});
      Events_.EndpointRows(std::move(Rows));
    }
    noteVersions(*Message);
    if (Message->FreshnessAskedAt != 0)
      answerFreshness(Message->FreshnessAskedAt);
    if (Message->FreshnessAnswerTo != 0)
      takeFreshness(*Message);
  }

  void noteVersions(const NodeMessage &Message) {
    const bool Newer = Message.OperatorRow > OperatorRow_ ||
                       Message.EndpointRow > EndpointRow_;
    if (!Newer || CatchingUp_)
      return;
    CatchingUp_ = true;
    const http::Address From{Sender_.address().to_string(),
                             Options_.Internal.Port};
    const std::uint64_t OperatorRow = Message.OperatorRow;
    const std::uint64_t EndpointRow = Message.EndpointRow;
    auto Timer = std::make_shared<asio::steady_timer>(Socket_.get_executor(),
                                                      CatchUpDelay);
    Timer->async_wait(
        [this, Timer, From, OperatorRow, EndpointRow](Code Failure) {
          CatchingUp_ = false;
          if (Failure)
            return;
          if (OperatorRow > OperatorRow_)
            Events_.NewerRows(catalog::Table::Operator, From);
          if (EndpointRow > EndpointRow_)
            Events_.NewerRows(catalog::Table::Endpoints, From);
        });
  }

  void beat() {
    const TimePoint Now = std::chrono::steady_clock::now();
    for (auto &[Host, Entry] : Peers_)
      if (Entry.WasHeard && !Entry.Lost && !isLive(Entry, Now)) {
        Entry.Lost = true;
        logWarning("node_silent")
            .field("node", Entry.Name)
            .field("address", Host);
        Events_.NodeLost(Entry.Origin);
      }
    NodeMessage Message = makeMessage();
    for (const auto &[Host, Entry] : Peers_)
      if (isLive(Entry, Now) && Message.KnownNodes.size() < MaxKnownNodes)
        Message.KnownNodes.push_back(Host);
    const std::string Bytes = packMessage(Message);
    for (const auto &[Host, Entry] : Peers_)
      send(Bytes, Entry.Where);
    const int Factor = 1 + static_cast<int>(Peers_.size()) / NodesPerHeartbeat;
    Heartbeat_.expires_after(Following_ ? FollowerHeartbeat
                                        : HeartbeatPeriod * Factor);
    Heartbeat_.async_wait([this](Code Failure) {
      if (!Failure)
        beat();
    });
  }

  NodeMessage makeMessage() const {
    NodeMessage Message;
    Message.Node = Options_.Name;
    Message.Incarnation = Options_.Incarnation;
    Message.OperatorRow = OperatorRow_;
    Message.EndpointRow = EndpointRow_;
    Message.Following = Following_;
    return Message;
  }

  void collect() {
    if (Pending_.FirstTokens.size() + Pending_.Finished.size() >=
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

  void flush() {
    if (Pending_.Started.empty() && Pending_.FirstTokens.empty() &&
        Pending_.Finished.empty() && Pending_.Crashes.empty() &&
        Pending_.EndpointRows.empty() && Pending_.SilentEndpoints.empty())
      return;
    NodeMessage Message = makeMessage();
    Message.Started.swap(Pending_.Started);
    Message.FirstTokens.swap(Pending_.FirstTokens);
    Message.Finished.swap(Pending_.Finished);
    Message.Crashes.swap(Pending_.Crashes);
    Message.SilentEndpoints.swap(Pending_.SilentEndpoints);
    Message.EndpointRows.swap(Pending_.EndpointRows);
    const std::string Bytes = packMessage(Message);
    const TimePoint Now = std::chrono::steady_clock::now();
    for (const auto &[Host, Entry] : Peers_)
      if (isLive(Entry, Now))
        send(Bytes, Entry.Where);
  }

  void send(const std::string &Bytes, const Udp::endpoint &Where) {
    Code Ignored; // a hint that is lost is made up for by the next one
    Socket_.send_to(asio::buffer(Bytes), Where, 0, Ignored);
  }

  NodeNetworkOptions Options_;
  NodeNetworkEvents Events_;
  std::uint64_t Rank_;
  Udp::socket Socket_;
  Udp::endpoint Sender_;
  std::array<char, 16 * 1024> Received_{};
  asio::steady_timer Heartbeat_;
  asio::steady_timer Collect_;
  bool Collecting_ = false;
  bool CatchingUp_ = false;
  bool Following_ = false;
  std::map<std::string, Peer> Peers_; ///< by IP address
  std::uint32_t NextOrigin_ = 1;
  std::uint64_t OperatorRow_ = 0;
  std::uint64_t EndpointRow_ = 0;
  NodeMessage Pending_;
  std::deque<std::uint64_t> Questions_; ///< stamps of the latest ones
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
