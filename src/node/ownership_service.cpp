#include "node/ownership_service.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/wire/config_messages.h"
#include "cassiashed/wire/membership_messages.h"
#include "node/one_shot.h"
#include <array>
#include <map>
#include <mutex>

namespace cassiashed {
namespace {

using http::Task;

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HostListInterval = std::chrono::seconds(5);
constexpr Duration RequestTimeout = std::chrono::seconds(1);

class OwnershipServiceImpl final
    : public OwnershipService,
      public std::enable_shared_from_this<OwnershipServiceImpl> {
public:
  explicit OwnershipServiceImpl(OwnershipParts Parts)
      : Parts_(std::move(Parts)), Decisions_(makeOwnership(Parts_.Options)) {}

  void start() override {
    http::asio::co_spawn(http::asio::make_strand(Parts_.Context),
                         loop(shared_from_this()), http::asio::detached);
    http::asio::co_spawn(http::asio::make_strand(Parts_.Context),
                         hostLoop(shared_from_this()), http::asio::detached);
  }

  void configure(const ConfigInForce &Config) override {
    std::map<std::string, std::string> Regions;
    for (const ZoneConfig &Zone : Config.content().Zones)
      Regions[Zone.Name] = Zone.Region;
    std::vector<std::string> Endpoints;
    for (const EndpointConfig &Entry : Config.content().Endpoints)
      if (Entry.Kind == EndpointKind::Model &&
          Regions[Entry.Zone] == Parts_.Region)
        Endpoints.push_back(Entry.Name);
    const std::lock_guard Lock(Mutex_);
    RegionOfZone_ = std::move(Regions);
    Endpoints_ = Endpoints;
    Decisions_->setEndpoints(std::move(Endpoints));
  }

  std::optional<OwnerAddress>
  findOwner(const std::string &Endpoint) const override {
    std::optional<OwnerHint> Hint;
    {
      const std::lock_guard Lock(Mutex_);
      Hint = Decisions_->ownerOf(Endpoint);
    }
    return Hint ? findNode(Hint->Node) : std::nullopt;
  }

  std::optional<OwnerAddress> findNode(const std::string &Node) const override {
    const std::lock_guard Lock(Parts_.State.Mutex);
    for (const MemberRecord &Member : Parts_.State.Members->members())
      if (Member.Name == Node)
        return OwnerAddress{Member.Name, Member.Address};
    return std::nullopt;
  }

  void reportWrongOwner(const std::string &Endpoint) override {
    const std::lock_guard Lock(Mutex_);
    Decisions_->refresh(Endpoint);
  }

  Message answerPromise(const ReceivedMessage &Received) override {
    std::string Reason;
    const auto Body = unpackBody<PromiseRequest>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    const std::lock_guard Lock(Mutex_);
    return packMessage(MessageKind::PromiseReply,
                       Decisions_->onPromiseRequest(*Body, Clock_.now()));
  }

  Message answerRelease(const ReceivedMessage &Received) override {
    std::string Reason;
    const auto Body = unpackBody<ReleaseRequest>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    noteUse();
    const std::lock_guard Lock(Mutex_);
    return packMessage(MessageKind::ReleaseReply,
                       Decisions_->onReleaseRequest(*Body, Clock_.now()));
  }

  Share shareNow(const std::string &Endpoint) const override {
    const std::lock_guard Lock(Mutex_);
    return Decisions_->shareOf(Endpoint, Clock_.now());
  }

  bool knowsOwners() const override {
    const std::lock_guard Lock(Mutex_);
    std::size_t Known = 0;
    for (const std::string &Endpoint : Endpoints_) {
      const std::optional<OwnerHint> Hint = Decisions_->ownerOf(Endpoint);
      Known += Hint && Hint->Epoch > 0 ? 1 : 0;
    }
    return Known * 2 >= Endpoints_.size();
  }

  void beginShutdown() override {
    const std::lock_guard Lock(Mutex_);
    Decisions_->beginShutdown();
  }

  bool isReleased() const override {
    const std::lock_guard Lock(Mutex_);
    return Decisions_->isReleased();
  }

  bool isSuperseded() const override {
    const std::lock_guard Lock(Mutex_);
    return Decisions_->isSuperseded();
  }

private:
  static Task<void> loop(std::shared_ptr<OwnershipServiceImpl> Self) {
    while (true) {
      Self->noteNodes();
      Self->noteUse();
      OwnershipActions Actions;
      {
        const std::lock_guard Lock(Self->Mutex_);
        Actions = Self->Decisions_->tick(Self->Clock_.now());
      }
      Self->perform(std::move(Actions));
      co_await http::sleepFor(TickInterval);
    }
  }

  /// Passes the live nodes of this region to the decisions.
  void noteNodes() {
    std::vector<MemberRecord> Members;
    {
      const std::lock_guard Lock(Parts_.State.Mutex);
      Members = Parts_.State.Members->members();
    }
    const std::lock_guard Lock(Mutex_);
    std::vector<RegionNode> Nodes;
    for (const MemberRecord &Member : Members) {
      const auto Region = RegionOfZone_.find(Member.Zone);
      const bool SameRegion =
          Region != RegionOfZone_.end() && Region->second == Parts_.Region;
      if (SameRegion && Member.State != MemberState::Dead)
        Nodes.push_back({Member.Name, Member.Zone, Member.Incarnation,
                         Member.State == MemberState::Leaving});
    }
    Decisions_->setNodes(std::move(Nodes), Clock_.now());
  }

  void noteUse() {
    std::vector<std::string> Endpoints;
    {
      const std::lock_guard Lock(Mutex_);
      Endpoints = Endpoints_;
    }
    for (const std::string &Endpoint : Endpoints) {
      const bool InUse = Parts_.Owners.hasGrants(Endpoint);
      const std::lock_guard Lock(Mutex_);
      Decisions_->setInUse(Endpoint, InUse);
    }
  }

  void perform(OwnershipActions Actions) {
    for (const ShareChange &Change : Actions.Shares)
      Parts_.Owners.setShare(Change.Endpoint, toLedgerShare(Change.Value),
                             Change.Epoch);
    for (OwnershipCommit &Commit : Actions.Commits)
      post([Self = shared_from_this(), Work = std::move(Commit)] {
        std::string Reason;
        const auto Result =
            Self->Parts_.Platform.commit(Work.Writes, Work.Mode, Reason);
        const std::lock_guard Lock(Self->Mutex_);
        Self->Decisions_->onCommit(Work.Id, Result, Self->Clock_.now());
      });
    if (Actions.Read)
      post([Self = shared_from_this(), Work = std::move(*Actions.Read)] {
        std::string Reason;
        const auto Rows = Self->Parts_.Platform.read(Work.Keys, Reason);
        const std::lock_guard Lock(Self->Mutex_);
        Self->Decisions_->onRead(Work.Id, Rows, Self->Clock_.now());
      });
    if (Actions.Scan)
      post([Self = shared_from_this(), Work = std::move(*Actions.Scan)] {
        std::string Reason;
        const auto Rows = Self->Parts_.Platform.scan(Work.Prefix, Reason);
        const std::lock_guard Lock(Self->Mutex_);
        Self->Decisions_->onScan(Work.Id, Rows, Self->Clock_.now());
      });
    for (OwnershipRequest &Request : Actions.Requests)
      send(std::move(Request));
  }

  template <typename Function> void post(Function Work) {
    http::asio::post(Parts_.Blocking, std::move(Work));
  }

  void send(OwnershipRequest Request) {
    const std::optional<OwnerAddress> Peer = findNode(Request.Node);
    if (const auto *Promise = std::get_if<PromiseRequest>(&Request.Body))
      call<PromiseReply>(Peer, MessageKind::PromiseRequest, *Promise,
                         [Self = shared_from_this(), Id = Request.Id](
                             const std::optional<PromiseReply> &Reply) {
                           const std::lock_guard Lock(Self->Mutex_);
                           Self->Decisions_->onPromiseReply(Id, Reply,
                                                            Self->Clock_.now());
                         });
    else
      call<ReleaseReply>(Peer, MessageKind::ReleaseRequest,
                         std::get<ReleaseRequest>(Request.Body),
                         [Self = shared_from_this(), Id = Request.Id](
                             const std::optional<ReleaseReply> &Reply) {
                           const std::lock_guard Lock(Self->Mutex_);
                           Self->Decisions_->onReleaseReply(Id, Reply,
                                                            Self->Clock_.now());
                         });
  }

  /// `Done` gets nothing if the peer did not answer.
  template <typename Reply, typename Body, typename Function>
  void call(const std::optional<OwnerAddress> &Peer, MessageKind Kind,
            const Body &Content, Function Done) {
    if (!Peer) {
      Done(std::nullopt);
      return;
    }
    Parts_.Peers.call(Peer->Peer, packMessage(Kind, Content), RequestTimeout,
                      [Done](const CallResult &Result) {
                        std::string Reason;
                        std::optional<Reply> Answer;
                        if (Result.Failure == CallFailure::None)
                          Answer = unpackBody<Reply>(Result.Reply.Body, Reason);
                        Done(Answer);
                      });
  }

  static Task<void> hostLoop(std::shared_ptr<OwnershipServiceImpl> Self) {
    while (true) {
      auto Work = [Self] {
        std::string Reason;
        return Self->Parts_.Platform.list(Reason);
      };
      const std::optional<std::vector<HostEntry>> Hosts =
          co_await runBlocking(Self->Parts_.Blocking, std::move(Work));
      if (Hosts)
        Self->noteHosts(*Hosts);
      co_await http::sleepFor(HostListInterval);
    }
  }

  /// A list that does not contain this node lags too far to prove that another
  /// host is gone.
  void noteHosts(const std::vector<HostEntry> &Hosts) {
    std::set<std::string> Names;
    for (const HostEntry &Host : Hosts)
      Names.insert(Host.Name);
    if (Names.count(Parts_.Options.Node) == 0)
      return;
    const std::lock_guard Lock(Mutex_);
    Decisions_->setHosts(std::move(Names), Clock_.now());
  }

  SteadyClock Clock_;
  OwnershipParts Parts_;
  mutable std::mutex Mutex_; ///< guards what follows; a leaf in the lock order
  std::unique_ptr<Ownership> Decisions_;
  std::map<std::string, std::string> RegionOfZone_;
  std::vector<std::string> Endpoints_;
};

} // namespace

scheduling::Share toLedgerShare(Share Value) {
  static constexpr std::array<scheduling::Share, 4> Table = {
      scheduling::Share::None, scheduling::Share::Half,
      scheduling::Share::OtherHalf, scheduling::Share::Full};
  return Table[static_cast<std::size_t>(Value)];
}

std::shared_ptr<OwnershipService> makeOwnershipService(OwnershipParts Parts) {
  return std::make_shared<OwnershipServiceImpl>(std::move(Parts));
}

} // namespace cassiashed
