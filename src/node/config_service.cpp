#include "node/config_service.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/hash.h"
#include "cassiashed/base/invariant.h"
#include "cassiashed/store/config_store.h"
#include "cassiashed/wire/config_messages.h"
#include "node/one_shot.h"
#include <algorithm>
#include <atomic>

namespace cassiashed {
namespace {

using http::Task;

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration SettleInterval = std::chrono::seconds(1);
constexpr Duration PullTimeout = std::chrono::seconds(1);

/// Bounds what a peer can make this node collect.
constexpr std::uint64_t MaxConfigBytes = 64ULL * 1024 * 1024;

struct ConfigSource {
  std::uint64_t Version = 0;
  std::string Hash;
  std::string Text;
};

bool isSameOrder(const ZoneOrder &Left, const ZoneOrder &Right) {
  return Left.Zone == Right.Zone && Left.Out == Right.Out &&
         Left.Number == Right.Number && Left.Id == Right.Id;
}

class ConfigServiceImpl final
    : public ConfigService,
      public std::enable_shared_from_this<ConfigServiceImpl> {
public:
  explicit ConfigServiceImpl(ConfigServiceParts Parts)
      : Parts_(std::move(Parts)) {}

  void start() override {
    http::asio::co_spawn(http::asio::make_strand(Parts_.Context),
                         loop(shared_from_this()), http::asio::detached);
  }

  bool isCurrent() const override {
    const std::lock_guard Lock(Parts_.State.Mutex);
    return Parts_.State.Sync->isCurrent(Clock_.now());
  }

  Message answerPull(const ReceivedMessage &Received) const override {
    std::string Reason;
    const auto Pull = unpackBody<ConfigPull>(Received.Content.Body, Reason);
    if (!Pull)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    ConfigText Reply;
    Reply.Version = Pull->Version;
    Reply.Offset = Pull->Offset;
    const auto Current = Parts_.Table.current();
    if (Current && Current->version() == Pull->Version &&
        Pull->Offset <= Current->text().size()) {
      Reply.TotalBytes = Current->text().size();
      Reply.ObjectName = hashHex(Current->text());
      Reply.Text =
          Current->text().substr(Pull->Offset, ConfigText::MaxTextBytes);
    }
    return packMessage(MessageKind::ConfigText, Reply);
  }

private:
  static Task<void> loop(std::shared_ptr<ConfigServiceImpl> Self) {
    while (true) {
      if (Self->isPollDue())
        Self->startPoll();
      co_await Self->fetchWanted();
      Self->applyOrders();
      co_await Self->settleOrders();
      co_await http::sleepFor(TickInterval);
    }
  }

  bool isPollDue() {
    const std::lock_guard Lock(Parts_.State.Mutex);
    const std::size_t Count = Parts_.State.Members->liveMembers().size();
    return !PollOpen_ && Parts_.State.Sync->takePollDue(Clock_.now(), Count);
  }

  /// The poll runs beside the loop, so that a slow table service does not keep
  /// a version from being pulled from a peer.
  void startPoll() {
    PollOpen_ = true;
    http::asio::post(Parts_.Blocking, [Self = shared_from_this()] {
      std::string Reason;
      const TimePoint Start = Self->Clock_.now();
      const auto Head = readConfigHead(Self->Parts_.Platform, Reason);
      std::optional<std::uint64_t> Version;
      if (Head)
        Version = Head->Version;
      {
        const std::lock_guard Lock(Self->Parts_.State.Mutex);
        Self->Parts_.State.Sync->onRowRead(Start, Version, Self->Clock_.now());
      }
      Self->logReachability(Reason);
      Self->PollOpen_ = false;
    });
  }

  void logReachability(const std::string &Reason) {
    const bool Reachable = Reason.empty();
    if (Reachable_.exchange(Reachable) == Reachable)
      return;
    if (Reachable)
      logEvent("table_reachable");
    else
      logWarning("table_unreachable").field("reason", Reason);
  }

  std::optional<ConfigWant> wanted() {
    const std::lock_guard Lock(Parts_.State.Mutex);
    return Parts_.State.Sync->wanted();
  }

  Task<void> fetchWanted() {
    const std::optional<ConfigWant> Want = wanted();
    if (!Want)
      co_return;
    std::optional<ConfigSource> Source;
    if (!Want->Peer.empty())
      Source = co_await pullFromPeer(*Want);
    if (!Source)
      Source = co_await readFromStore();
    if (!Source || Source->Version < Want->Version)
      co_return;
    Problems Errors;
    std::optional<Deployment> Parsed =
        parseDeployment(Source->Text, Source->Hash, Errors);
    if (!Parsed) {
      logError("config_invalid")
          .field("version", Source->Version)
          .field("problem",
                 Errors.empty() ? "unknown" : formatProblem(Errors.front()));
      co_return;
    }
    putInForce(*Source, std::move(*Parsed));
  }

  Task<std::optional<ConfigSource>> pullFromPeer(ConfigWant Want) {
    const std::string Address = Parts_.FindPeer(Want.Peer);
    ConfigSource Source;
    Source.Version = Want.Version;
    std::uint64_t Total = 1;
    while (!Address.empty() && Source.Text.size() < Total) {
      ConfigPull Pull;
      Pull.Version = Want.Version;
      Pull.Offset = Source.Text.size();
      const std::optional<ConfigText> Piece = co_await pullPiece(Address, Pull);
      if (!Piece || Piece->Text.empty() || Piece->TotalBytes > MaxConfigBytes)
        co_return std::nullopt;
      Total = Piece->TotalBytes;
      Source.Hash = Piece->ObjectName;
      Source.Text += Piece->Text;
    }
    if (Address.empty() || hashHex(Source.Text) != Source.Hash)
      co_return std::nullopt;
    co_return Source;
  }

  Task<std::optional<ConfigText>> pullPiece(std::string Address,
                                            ConfigPull Pull) {
    auto Answer = std::make_shared<OneShot<CallResult>>(
        co_await http::asio::this_coro::executor);
    Parts_.Peers.call(
        Address, packMessage(MessageKind::ConfigPull, Pull), PullTimeout,
        [Answer](CallResult Result) { Answer->set(std::move(Result)); });
    const std::optional<CallResult> Result =
        co_await Answer->wait(TimePoint::max());
    if (Result->Failure != CallFailure::None)
      co_return std::nullopt;
    std::string Reason;
    co_return unpackBody<ConfigText>(Result->Reply.Body, Reason);
  }

  Task<std::optional<ConfigSource>> readFromStore() {
    auto Work = [Self = shared_from_this()]() -> std::optional<ConfigSource> {
      std::string Reason;
      const auto Head = readConfigHead(Self->Parts_.Platform, Reason);
      if (!Head || Head->Version == 0)
        return std::nullopt;
      auto Text = readConfigText(Self->Parts_.Platform, *Head, Reason);
      if (!Text)
        return std::nullopt;
      return ConfigSource{Head->Version, Head->Hash, std::move(*Text)};
    };
    std::optional<ConfigSource> Source =
        co_await runBlocking(Parts_.Blocking, std::move(Work));
    co_return Source;
  }

  void putInForce(const ConfigSource &Source, Deployment Content) {
    if (Base_ && Base_->version() >= Source.Version)
      return;
    Base_ = std::make_shared<const ConfigInForce>(Source.Version, Source.Text,
                                                  std::move(Content));
    publish(ordersInEffect());
    logEvent("config_in_force").field("version", Source.Version);
    const std::lock_guard Lock(Parts_.State.Mutex);
    Parts_.State.Sync->onInForce(Source.Version, Clock_.now());
  }

  /// Zone orders that no version contains yet.
  std::vector<ZoneOrder> ordersInEffect() {
    std::vector<ZoneOrder> Orders;
    const std::lock_guard Lock(Parts_.State.Mutex);
    for (const ZoneConfig &Zone : Base_->content().Zones)
      if (const auto Order = Parts_.State.Sync->orderInEffect(Zone.Name))
        Orders.push_back(*Order);
    return Orders;
  }

  void applyOrders() {
    if (!Base_)
      return;
    std::vector<ZoneOrder> Orders = ordersInEffect();
    const bool Same = std::equal(Orders.begin(), Orders.end(), Applied_.begin(),
                                 Applied_.end(), isSameOrder);
    if (!Same)
      publish(std::move(Orders));
  }

  /// Commits the zone orders of an outage once the table service answers, and
  /// drops those that the version in force contains.
  Task<void> settleOrders() {
    if (!Base_ || Clock_.now() < NextSettle_)
      co_return;
    NextSettle_ = Clock_.now() + SettleInterval;
    for (const ZoneOrder &Order : openOrders()) {
      if (contains(*Base_, Order)) {
        const std::lock_guard Lock(Parts_.State.Mutex);
        Parts_.State.Sync->onOrderCommitted(Order.Id, Base_->version(),
                                            Clock_.now());
      } else if (Parts_.IsWitness && Reachable_) {
        auto Work = [Self = shared_from_this(), Order] {
          return Self->commitOrder(Order);
        };
        co_await runBlocking(Parts_.Blocking, std::move(Work));
      }
    }
  }

  std::vector<ZoneOrder> openOrders() {
    const std::lock_guard Lock(Parts_.State.Mutex);
    return Parts_.State.Sync->openOrders();
  }

  static bool contains(const ConfigInForce &Config, const ZoneOrder &Order) {
    for (const ZoneConfig &Zone : Config.content().Zones)
      if (Zone.Name == Order.Zone)
        return (Zone.State == ZoneState::Out) == Order.Out;
    return false;
  }

  /// Several witnesses may try; the conditional write lets one succeed and the
  /// others find the order in the new version.
  bool commitOrder(const ZoneOrder &Order) {
    std::string Reason;
    const auto Head = readConfigHead(Parts_.Platform, Reason);
    const auto Text =
        Head ? readConfigText(Parts_.Platform, *Head, Reason) : std::nullopt;
    Problems Errors;
    auto Content =
        Text ? parseDeployment(*Text, Head->Object, Errors) : std::nullopt;
    ZoneConfig *Zone = Content ? findZone(*Content, Order.Zone) : nullptr;
    const ZoneState Ordered = Order.Out ? ZoneState::Out : ZoneState::In;
    if (!Zone || Zone->State == Ordered)
      return false;
    Zone->State = Ordered;
    Content->Replaces = Head->Version;
    Content->Note = "zone order " + Order.Id;
    PublishRequest Request;
    Request.Text = formatDeployment(*Content);
    Request.Replaces = Head->Version;
    Request.ApplyId = Parts_.Node + "-" + Order.Id;
    Request.Author = Parts_.Node;
    Request.Note = Content->Note;
    const PublishResult Result =
        publishConfig(Parts_.Platform, Parts_.Platform, Request);
    const bool Applied = Result.Outcome == PublishOutcome::Applied;
    logEvent("zone_order_committed")
        .field("order", Order.Id)
        .field("applied", Applied)
        .field("version", Result.Head.Version);
    return Applied;
  }

  /// Puts the base version with the orders laid over it in force.
  void publish(std::vector<ZoneOrder> Orders) {
    Deployment Content = Base_->content();
    for (const ZoneOrder &Order : Orders)
      if (ZoneConfig *Zone = findZone(Content, Order.Zone)) {
        Zone->State = Order.Out ? ZoneState::Out : ZoneState::In;
        logEvent("zone_order_in_force")
            .field("zone", Order.Zone)
            .field("state", nameOf(Zone->State))
            .field("order", Order.Id);
      }
    auto Next = std::make_shared<const ConfigInForce>(
        Base_->version(), Base_->text(), std::move(Content), ++Revision_);
    CASSIASHED_INVARIANT(Parts_.Table.replace(Next),
                         "an older configuration would come into force");
    Applied_ = std::move(Orders);
    Parts_.Listener(Next);
  }

  SteadyClock Clock_;
  ConfigServiceParts Parts_;
  std::atomic<bool> PollOpen_ = false;
  std::atomic<bool> Reachable_ = false;
  // Used on the loop's strand only.
  std::shared_ptr<const ConfigInForce> Base_; ///< without zone orders
  std::vector<ZoneOrder> Applied_;
  std::uint64_t Revision_ = 0;
  TimePoint NextSettle_{};
};

} // namespace

std::shared_ptr<ConfigService> makeConfigService(ConfigServiceParts Parts) {
  return std::make_shared<ConfigServiceImpl>(std::move(Parts));
}

} // namespace cassiashed
