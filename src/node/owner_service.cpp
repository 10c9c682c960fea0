#include "node/owner_service.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/scheduling/endpoint_ledger.h"
#include "http/client.h"
#include "node/engine_attempt.h"
#include "node/load_report.h"
#include <array>
#include <map>
#include <mutex>

namespace cassiashed {
namespace {

using http::Task;
using scheduling::EndpointLedger;
using scheduling::LedgerEvents;

// Grant ids of two owners of one endpoint differ by the epoch in their upper
// half.
constexpr int EpochShift = 32;

// One lost report, of 2 s, must not send all waiters elsewhere.
constexpr Duration UnreachableLimit = std::chrono::seconds(3);

/// One owned endpoint.
struct Owned {
  EndpointConfig Config;
  http::Address Address;
  std::unique_ptr<EndpointLedger> Ledger;
  std::uint64_t Epoch = 0;
  scheduling::Share Part = scheduling::Share::None;
  std::uint64_t ConfiguredVersion = 0;
  bool Reachable = false;
  bool ConfigLeaving = false;
  TimePoint ReachedAt; ///< last load report
};

/// What has to be done outside the lock after a ledger was used.
struct FollowUp {
  struct Cancellation {
    http::Address Engine;
    std::string Endpoint;
    std::string RequestId;
    std::uint32_t Attempt = 0;
    std::uint64_t GrantId = 0; ///< released once the engine was told
  };
  std::vector<std::pair<std::string, GrantReplyMessage>> Ready;
  std::vector<Cancellation> Cancels;
};

scheduling::LedgerOptions makeLedgerOptions(const EndpointConfig &Config,
                                            std::uint64_t Epoch) {
  scheduling::LedgerOptions Options;
  Options.Endpoint = Config.Name;
  Options.Cold.ColdRequests = Config.ColdRequests;
  if (Config.PrefillTokensPerSecond > 0)
    Options.PrefillTokensPerSecond =
        static_cast<double>(Config.PrefillTokensPerSecond);
  Options.FirstGrantId = (Epoch << EpochShift) + 1;
  return Options;
}

Duration timeUntil(TimePoint Until, TimePoint Now) {
  return std::max(Duration(0),
                  std::chrono::duration_cast<Duration>(Until - Now));
}

scheduling::GrantOutcome toLedgerOutcome(GrantOutcome Outcome) {
  using Ledger = scheduling::GrantOutcome;
  static constexpr std::array<Ledger, 4> Table = {
      Ledger::Completed, Ledger::Cancelled, Ledger::EndpointFailed,
      Ledger::Cancelled};
  return Table[static_cast<std::size_t>(Outcome)];
}

class OwnerServiceImpl final
    : public OwnerService,
      public std::enable_shared_from_this<OwnerServiceImpl> {
public:
  OwnerServiceImpl(http::asio::io_context &Context, OwnerServiceOptions Options,
                   ReadyCallback Ready)
      : Context_(Context), Options_(Options), Ready_(std::move(Ready)) {}

  void start() override {
    http::asio::co_spawn(http::asio::make_strand(Context_),
                         pollLoop(shared_from_this()), http::asio::detached);
  }

  void configure(const ConfigInForce &Config) override {
    const std::lock_guard Lock(Mutex_);
    for (const EndpointConfig &Endpoint : Config.content().Endpoints) {
      if (Endpoint.Kind != EndpointKind::Model)
        continue;
      Owned &Entry = Endpoints_[Endpoint.Name];
      const bool Fresh = !Entry.Ledger;
      Entry.Config = Endpoint;
      Entry.Address = {Endpoint.Address.Host, Endpoint.Address.Port};
      Entry.ConfiguredVersion = Config.version();
      Entry.ConfigLeaving = !Config.isInService(Endpoint);
      if (Entry.Ledger)
        Entry.Ledger->setLeaving(Entry.ConfigLeaving, Clock_.now());
      if (Fresh)
        http::asio::co_spawn(http::asio::make_strand(Context_),
                             reportLoop(shared_from_this(), Endpoint.Name),
                             http::asio::detached);
      if (Fresh)
        makeLedger(Entry);
    }
    for (auto &[Name, Entry] : Endpoints_)
      if (Entry.ConfiguredVersion != Config.version())
        Entry.Ledger->setLeaving(true, Clock_.now());
  }

  void setShare(const std::string &Endpoint, scheduling::Share Part,
                std::uint64_t Epoch) override {
    const std::lock_guard Lock(Mutex_);
    const auto Found = Endpoints_.find(Endpoint);
    if (Found == Endpoints_.end())
      return;
    Owned &Entry = Found->second;
    if (Entry.Epoch != Epoch) {
      // Grants of the former epoch stay in the ledger; only new ids change.
      Entry.Epoch = Epoch;
      if (Entry.Ledger->grants().empty())
        makeLedger(Entry);
    }
    if (Entry.Part == Part)
      return;
    logEvent("share_changed")
        .field("endpoint", Endpoint)
        .field("share", scheduling::nameOf(Part))
        .field("epoch", Epoch);
    Entry.Part = Part;
    Entry.Ledger->setShare(Part, Clock_.now());
  }

  void setShareCheck(
      std::function<scheduling::Share(const std::string &)> Check) override {
    ShareCheck_ = std::move(Check);
  }

  void setNodeCheck(
      std::function<bool(const std::string &, const std::string &)> IsLost)
      override {
    IsNodeLost_ = std::move(IsLost);
  }

  bool hasGrants(const std::string &Endpoint) const override {
    const std::lock_guard Lock(Mutex_);
    const auto Found = Endpoints_.find(Endpoint);
    return Found != Endpoints_.end() && !Found->second.Ledger->grants().empty();
  }

  GrantReplyMessage offer(const GrantRequestMessage &Request) override {
    FollowUp Work;
    GrantReplyMessage Reply;
    Reply.Owner = Options_.Node;
    Reply.RequestId = Request.RequestId;
    Reply.Attempt = Request.Attempt;
    Reply.Endpoint = Request.Endpoint;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = Endpoints_.find(Request.Endpoint);
      if (Found == Endpoints_.end() ||
          Found->second.Part == scheduling::Share::None) {
        Reply.ReasonCode =
            scheduling::nameOf(scheduling::RefusalReason::NoShare);
        return Reply;
      }
      Owned &Entry = Found->second;
      const TimePoint Now = Clock_.now();
      checkShare(Entry, Now);
      const scheduling::OfferAnswer Answer =
          Entry.Ledger->offer(toLedgerRequest(Request, Now), Now);
      fillReply(Reply, Entry, Answer, Now);
      collect(Entry, Now, Work);
    }
    followUp(std::move(Work));
    return Reply;
  }

  HoldState hold(const GrantHoldMessage &Part) override {
    static constexpr std::array<HoldState, 3> States = {
        HoldState::Started, HoldState::Pending, HoldState::Gone};
    const std::lock_guard Lock(Mutex_);
    const auto Found = Endpoints_.find(Part.Endpoint);
    if (Found == Endpoints_.end())
      return HoldState::Gone;
    const TimePoint Now = Clock_.now();
    EndpointLedger &Ledger = *Found->second.Ledger;
    if (Part.Start)
      return States[static_cast<std::size_t>(Ledger.start(Part.GrantId, Now))];
    Ledger.setExpectedStart(Part.GrantId, Now + Duration(Part.ExpectedInMs),
                            Now);
    return HoldState::Pending;
  }

  void release(const GrantReleaseItem &Item) override {
    FollowUp Work;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = Endpoints_.find(Item.Endpoint);
      if (Found == Endpoints_.end())
        return;
      Owned &Entry = Found->second;
      const TimePoint Now = Clock_.now();
      if (Item.GrantId == 0)
        Entry.Ledger->cancel(Item.RequestId, Item.Attempt, Now);
      else
        Entry.Ledger->release(Item.GrantId, toLedgerOutcome(Item.Outcome), Now);
      collect(Entry, Now, Work);
    }
    followUp(std::move(Work));
  }

  void dropNode(const std::string &Node) override {
    FollowUp Work;
    {
      const std::lock_guard Lock(Mutex_);
      const TimePoint Now = Clock_.now();
      for (auto &[Name, Entry] : Endpoints_) {
        for (const scheduling::Grant &Held : Entry.Ledger->grants()) {
          if (Held.Node != Node)
            continue;
          Entry.Ledger->release(Held.Id, scheduling::GrantOutcome::Cancelled,
                                Now);
          addCancel(Entry, Held, Work);
        }
        collect(Entry, Now, Work);
      }
    }
    followUp(std::move(Work));
  }

  Json describe() const override {
    const std::lock_guard Lock(Mutex_);
    Json All = Json::array();
    for (const auto &[Name, Entry] : Endpoints_) {
      if (Entry.Part == scheduling::Share::None)
        continue;
      const scheduling::LedgerStats Stats = Entry.Ledger->stats();
      All.push_back({{"endpoint", Name},
                     {"zone", Entry.Config.Zone},
                     {"share", scheduling::nameOf(Entry.Part)},
                     {"epoch", Entry.Epoch},
                     {"reachable", Entry.Reachable},
                     {"leaving", Entry.ConfigLeaving},
                     {"running", Stats.Running},
                     {"waiting", Stats.Waiting},
                     {"reserved_tokens", Stats.ReservedTokens},
                     {"limit_tokens", Stats.LimitTokens},
                     {"cold_limit", Stats.ColdLimit},
                     {"granted", Stats.Granted},
                     {"refused", Stats.Refused},
                     {"expired", Stats.Expired},
                     {"lost", Stats.Lost}});
    }
    return All;
  }

private:
  /// Lowers the share at once if the lease has lapsed since the last tick.
  void checkShare(Owned &Entry, TimePoint Now) {
    const scheduling::Share Allowed = ShareCheck_(Entry.Config.Name);
    if (Allowed < Entry.Part)
      Entry.Ledger->setShare(Allowed, Now);
  }

  void makeLedger(Owned &Entry) {
    Entry.Ledger = scheduling::makeEndpointLedger(
        makeLedgerOptions(Entry.Config, Entry.Epoch));
    Entry.Ledger->setLeaving(Entry.ConfigLeaving, Clock_.now());
    Entry.Ledger->setShare(Entry.Part, Clock_.now());
  }

  static scheduling::GrantRequest
  toLedgerRequest(const GrantRequestMessage &Request, TimePoint Now) {
    scheduling::GrantRequest Result;
    Result.RequestId = Request.RequestId;
    Result.Attempt = Request.Attempt;
    Result.Node = Request.Node;
    Result.Workspace = Request.Workspace;
    Result.Weight = Request.Weight;
    Result.Priority = Request.Priority;
    Result.PromptTokens = Request.PromptTokens;
    Result.MaxTokens = Request.MaxTokens;
    Result.CachedTokens = Request.CachedTokens;
    Result.Class = static_cast<scheduling::LengthClass>(std::min<std::uint32_t>(
        Request.LengthClass, scheduling::LengthClassCount - 1));
    Result.Deadline = Now + Duration(Request.DeadlineMs);
    if (Request.HoldMs > 0)
      Result.HoldUntil = Now + Duration(Request.HoldMs);
    return Result;
  }

  static void fillReply(GrantReplyMessage &Reply, const Owned &Entry,
                        const scheduling::OfferAnswer &Answer, TimePoint Now) {
    static constexpr std::array<GrantStatus, 3> Statuses = {
        GrantStatus::Granted, GrantStatus::Queued, GrantStatus::Refused};
    Reply.Status = Statuses[static_cast<std::size_t>(Answer.Result)];
    if (Answer.Granted)
      fillGrant(Reply, Entry, *Answer.Granted, Now);
    if (Reply.Status == GrantStatus::Refused)
      Reply.ReasonCode = scheduling::nameOf(Answer.Reason);
    fillLoad(Reply, Answer.Load);
  }

  static void fillLoad(GrantReplyMessage &Reply,
                       const scheduling::LoadHint &Load) {
    Reply.EndpointIncarnation = Load.Incarnation;
    Reply.FreeTokens = Load.FreeTokens;
    for (std::size_t Class = 0; Class < Load.StartDelay.size(); ++Class)
      Reply.StartMs[Class] = static_cast<std::uint32_t>(
          std::chrono::duration_cast<Duration>(Load.StartDelay[Class]).count());
    Reply.PredictedWaitMs = Reply.StartMs[0];
  }

  static void fillGrant(GrantReplyMessage &Reply, const Owned &Entry,
                        const scheduling::Grant &Granted, TimePoint Now) {
    Reply.Status = GrantStatus::Granted;
    Reply.RequestId = Granted.RequestId;
    Reply.Attempt = Granted.Attempt;
    Reply.Endpoint = Entry.Config.Name;
    Reply.GrantId = Granted.Id;
    Reply.EndpointIncarnation = Granted.Incarnation;
    Reply.Epoch = Entry.Epoch;
    Reply.Tokens = Granted.Tokens;
    Reply.SendByMs =
        static_cast<std::uint64_t>(timeUntil(Granted.SendBy, Now).count());
    Reply.ExpiryMs =
        static_cast<std::uint64_t>(timeUntil(Granted.Expiry, Now).count());
  }

  static void addCancel(const Owned &Entry, const scheduling::Grant &Held,
                        FollowUp &Work) {
    Work.Cancels.push_back({Entry.Address, Entry.Config.Name, Held.RequestId,
                            Held.Attempt, Held.Id});
  }

  /// Takes the events of a ledger. Called with the lock held.
  void collect(Owned &Entry, TimePoint Now, FollowUp &Work) {
    checkShare(Entry, Now);
    const LedgerEvents Events = Entry.Ledger->poll(Now);
    for (const scheduling::Grant &Granted : Events.Granted) {
      GrantReplyMessage Reply;
      Reply.Owner = Options_.Node;
      fillLoad(Reply, Entry.Ledger->hint(Now));
      fillGrant(Reply, Entry, Granted, Now);
      Work.Ready.emplace_back(Granted.Node, std::move(Reply));
    }
    for (const scheduling::Refusal &Refused : Events.Refused) {
      GrantReplyMessage Reply;
      Reply.RequestId = Refused.RequestId;
      Reply.Attempt = Refused.Attempt;
      Reply.Endpoint = Entry.Config.Name;
      Reply.ReasonCode = scheduling::nameOf(Refused.Reason);
      fillLoad(Reply, Entry.Ledger->hint(Now));
      Work.Ready.emplace_back(Refused.Node, std::move(Reply));
    }
    for (const scheduling::Grant &Expired : Events.Expired)
      addCancel(Entry, Expired, Work);
    for (const scheduling::Grant &Orphan : Events.Orphans)
      addCancel(Entry, Orphan, Work);
    for (const scheduling::Grant &Lost : Events.Lost)
      logWarning("grant_lost")
          .field("request_id", Lost.RequestId)
          .field("endpoint", Entry.Config.Name)
          .field("incarnation", Lost.Incarnation);
  }

  void followUp(FollowUp Work) {
    for (auto &[Node, Reply] : Work.Ready)
      Ready_(Node, std::move(Reply));
    for (FollowUp::Cancellation &Item : Work.Cancels)
      http::asio::co_spawn(http::asio::make_strand(Context_),
                           cancelHeld(shared_from_this(), std::move(Item)),
                           http::asio::detached);
  }

  static Task<void> cancelHeld(std::shared_ptr<OwnerServiceImpl> Self,
                               FollowUp::Cancellation Item) {
    http::Address Engine = Item.Engine;
    const bool Told = co_await cancelAtEngine(std::move(Engine), Item.RequestId,
                                              Item.Attempt);
    logEvent("held_request_cancelled")
        .field("request_id", Item.RequestId)
        .field("endpoint", Item.Endpoint)
        .field("told", Told);
    if (Told)
      Self->releaseCancelled(Item);
  }

  /// The memory of an expired grant counts as held until the engine was told.
  void releaseCancelled(const FollowUp::Cancellation &Item) {
    const std::lock_guard Lock(Mutex_);
    Endpoints_[Item.Endpoint].Ledger->release(
        Item.GrantId, scheduling::GrantOutcome::Cancelled, Clock_.now());
  }

  static Task<void> pollLoop(std::shared_ptr<OwnerServiceImpl> Self) {
    while (true) {
      co_await http::sleepFor(Self->Options_.PollInterval);
      FollowUp Work;
      {
        const std::lock_guard Lock(Self->Mutex_);
        const TimePoint Now = Self->Clock_.now();
        for (auto &[Name, Entry] : Self->Endpoints_)
          if (Entry.Part != scheduling::Share::None)
            Self->collect(Entry, Now, Work);
      }
      Self->followUp(std::move(Work));
    }
  }

  /// Address of the endpoint, or nothing while this node holds no share.
  std::optional<http::Address> addressToReport(const std::string &Endpoint) {
    const std::lock_guard Lock(Mutex_);
    const Owned &Entry = Endpoints_[Endpoint];
    if (Entry.Part == scheduling::Share::None)
      return std::nullopt;
    return Entry.Address;
  }

  void applyReport(const std::string &Endpoint,
                   const std::optional<scheduling::LoadReport> &Report) {
    FollowUp Work;
    {
      const std::lock_guard Lock(Mutex_);
      Owned &Entry = Endpoints_[Endpoint];
      if (Entry.Reachable != Report.has_value())
        logEvent("endpoint_reachability")
            .field("endpoint", Endpoint)
            .field("reachable", Report.has_value());
      Entry.Reachable = Report.has_value();
      const TimePoint Now = Clock_.now();
      if (Report) {
        Entry.ReachedAt = Now;
        Entry.Ledger->report(*Report, Now);
        cancelAbandoned(Entry, *Report, Work);
      } else if (Now - Entry.ReachedAt < UnreachableLimit) {
        return;
      }
      // Nothing is granted without reports. Waiters are refused, so that their
      // nodes try other endpoints instead of waiting until the deadline.
      Entry.Ledger->setLeaving(Entry.ConfigLeaving || !Report ||
                                   Report->State ==
                                       scheduling::EndpointState::Leaving,
                               Now);
      collect(Entry, Now, Work);
    }
    followUp(std::move(Work));
  }

  /// Cancels what the endpoint holds for entry nodes that have ended, also if
  /// another owner granted it.
  void cancelAbandoned(const Owned &Entry, const scheduling::LoadReport &Report,
                       FollowUp &Work) {
    for (const scheduling::HeldRequest &Held : Report.Requests)
      if (!Held.Node.empty() && IsNodeLost_(Held.RequestId, Held.Node))
        Work.Cancels.push_back(
            {Entry.Address, Entry.Config.Name, Held.RequestId, AnyAttempt, 0});
  }

  static Task<void> reportLoop(std::shared_ptr<OwnerServiceImpl> Self,
                               std::string Endpoint) {
    while (true) {
      const auto Address = Self->addressToReport(Endpoint);
      if (Address) {
        http::Request Query;
        Query.Method = "GET";
        Query.Target = "/v1/load";
        http::Address Engine = *Address;
        const TimePoint Asked = Self->Clock_.now();
        const std::optional<http::Response> Reply = co_await http::fetch(
            std::move(Engine), std::move(Query), Self->Options_.ReportTimeout);
        std::optional<scheduling::LoadReport> Report;
        if (Reply && Reply->Status == 200)
          Report =
              parseLoadReport(Reply->Body, Asked - Self->Options_.ReportLag);
        Self->applyReport(Endpoint, Report);
      }
      co_await http::sleepFor(Self->Options_.ReportInterval);
    }
  }

  SteadyClock Clock_;
  http::asio::io_context &Context_;
  OwnerServiceOptions Options_;
  ReadyCallback Ready_;
  std::function<scheduling::Share(const std::string &)> ShareCheck_;
  std::function<bool(const std::string &, const std::string &)> IsNodeLost_;
  /// Guards Endpoints_. Taken before the lock of the ownership decisions.
  mutable std::mutex Mutex_;
  std::map<std::string, Owned> Endpoints_;
};

} // namespace

std::shared_ptr<OwnerService> makeOwnerService(http::asio::io_context &Context,
                                               OwnerServiceOptions Options,
                                               ReadyCallback Ready) {
  return std::make_shared<OwnerServiceImpl>(Context, Options, std::move(Ready));
}

} // namespace cassiashed
