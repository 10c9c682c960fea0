#include "node/fleet_broker.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/routing/retry_budget.h"
#include "cassiashed/scheduling/grant.h"
#include "cassiashed/scheduling/group_reservation.h"
#include "cassiashed/scheduling/length_class.h"
#include "node/one_shot.h"
#include <algorithm>
#include <map>
#include <mutex>
#include <random>

namespace cassiashed {
namespace {

using http::Task;
using routing::Candidate;
using routing::RoutingPolicy;

constexpr Duration OwnerChangePause = std::chrono::milliseconds(100);

/// Endpoints asked for one request before it is refused.
constexpr std::size_t MaxRounds = 2;

/// Part of an engine's memory that one prompt may need; the ledger never
/// reserves the last 5 %.
constexpr double SingleEnginePart = 0.94;

/// Part of each engine's memory that a prompt on several engines uses. The
/// rest stays for shorter requests, which run beside it for minutes.
constexpr double GangEnginePart = 0.55;
constexpr std::size_t MaxGangEngines = 8;

/// Refusals that say nothing about the load: ownership is changing.
bool isOwnerChange(const std::string &Code) {
  return Code == OwnerUnknown || Code == OwnerUnreachable ||
         Code == scheduling::nameOf(scheduling::RefusalReason::NoShare) ||
         Code == scheduling::nameOf(scheduling::RefusalReason::Leaving);
}

ErrorKind kindOf(const std::string &Code) {
  for (int Index = 0; Index < scheduling::RefusalReasonCount; ++Index) {
    const auto Reason = static_cast<scheduling::RefusalReason>(Index);
    if (Code == scheduling::nameOf(Reason))
      return scheduling::errorKindOf(Reason);
  }
  return Code == GaveUp ? ErrorKind::CallerGone : ErrorKind::NoCapacity;
}

class FleetBrokerImpl final : public FleetBroker {
public:
  FleetBrokerImpl(FleetBrokerOptions Options, OwnerClient &Owners,
                  CrashGuard &Crashes, Metrics &Counters)
      : Options_(std::move(Options)), Owners_(Owners), Crashes_(Crashes),
        Metrics_(Counters), Router_(routing::makeRouter(Options_.Routing)),
        Random_(Options_.Seed) {}

  void configure(const ConfigInForce &Config) override {
    std::vector<routing::EndpointConfig> Endpoints;
    std::map<std::string, EndpointPlace> Places;
    for (const EndpointConfig &Entry : Config.content().Endpoints) {
      if (Entry.Kind != EndpointKind::Model)
        continue;
      routing::EndpointConfig Known;
      Known.Name = Entry.Name;
      Known.Zone = Entry.Zone;
      Known.Models = Entry.Models;
      Known.CapacityTokens = Entry.CapacityTokens;
      if (Entry.PrefillTokensPerSecond > 0)
        Known.PrefillTokensPerSecond =
            static_cast<double>(Entry.PrefillTokensPerSecond);
      Known.InService = Config.isInService(Entry);
      Endpoints.push_back(std::move(Known));
      Places[Entry.Name] = {{Entry.Address.Host, Entry.Address.Port},
                            Entry.Zone};
    }
    const std::lock_guard Lock(Mutex_);
    Fleet_.configure(std::move(Endpoints));
    Places_ = std::move(Places);
  }

  std::optional<std::vector<GangEngine>>
  planEngines(const GrantQuery &Query) override {
    const std::uint64_t Total = tokensOf(Query);
    const std::lock_guard Lock(Mutex_);
    std::vector<scheduling::ReservationPart> Rooms;
    for (const std::uint32_t Position :
         Fleet_.endpointsOfModel(Query.Request->Model)) {
      const routing::EndpointView &Entry = Fleet_.endpoints()[Position];
      if (!Entry.acceptsNewRequests())
        continue;
      const auto Capacity = static_cast<double>(Entry.Config.CapacityTokens);
      if (static_cast<double>(Total) <= Capacity * SingleEnginePart)
        return std::vector<GangEngine>{};
      Rooms.push_back({Entry.Config.Name,
                       static_cast<std::uint64_t>(Capacity * GangEnginePart)});
    }
    // The single-engine path says that no endpoint is in service.
    if (Rooms.empty())
      return std::vector<GangEngine>{};
    std::shuffle(Rooms.begin(), Rooms.end(), Random_);
    const auto Parts =
        scheduling::planGroupReservation(Total, Rooms, MaxGangEngines);
    if (!Parts)
      return std::nullopt;
    // Equal parts: the last engine also needs room for the answer.
    std::vector<GangEngine> Engines;
    for (const scheduling::ReservationPart &Part : *Parts) {
      const EndpointPlace &Place = Places_[Part.Endpoint];
      Engines.push_back({Part.Endpoint, Place.Zone, Place.Address,
                         (Total + Parts->size() - 1) / Parts->size()});
    }
    return Engines;
  }

  Task<GrantAnswer> acquire(GrantQuery Query) override {
    const std::string &Content = Query.Request->ContentHash;
    GrantAnswer Answer;
    if (auto Refused = co_await Crashes_.admit(Content, Query.Deadline)) {
      Answer.Refusal = std::move(*Refused);
      co_return Answer;
    }
    Answer = co_await askOwners(Query);
    if (Answer.Grant)
      Crashes_.begin(placeOf(*Answer.Grant), Content);
    else
      Crashes_.abandon(Content);
    co_return Answer;
  }

  void giveUp(const std::string &RequestId) override {
    Owners_.giveUp(RequestId);
  }

  void release(const GrantQuery &Query, const EngineGrant &Grant,
               const AttemptResult &Result) override {
    GrantReleaseItem Item;
    Item.RequestId = Query.RequestId;
    Item.Attempt = Query.Attempt;
    Item.Endpoint = Grant.Endpoint;
    Item.GrantId = Grant.Id;
    Item.Tokens = Result.Tokens;
    Item.Outcome = outcomeOf(Result.End);
    Owners_.release(Grant.Owner, std::move(Item));
    Crashes_.end(placeOf(Grant), Query.Request->ContentHash,
                 Result.End == AttemptEnd::Complete);
    const std::lock_guard Lock(Mutex_);
    Fleet_.recordFinished(Grant.Endpoint, tokensOf(Query));
  }

  bool takeRetry(const std::string &Model, std::uint32_t Attempt) override {
    const int RetriesSoFar = static_cast<int>(Attempt) - 1;
    const std::lock_guard Lock(Mutex_);
    return Retries_.trySpendRetry(Model, RetriesSoFar);
  }

  void recordAnswered(const std::string &Model) override {
    const std::lock_guard Lock(Mutex_);
    Retries_.recordAnswer(Model);
  }

  Task<void> investigate(EngineGrant Grant) override {
    RunningAt Place = placeOf(Grant);
    co_await Crashes_.investigate(std::move(Place));
  }

private:
  struct EndpointPlace {
    http::Address Address;
    std::string Zone;
  };

  static RunningAt placeOf(const EngineGrant &Grant) {
    return {Grant.Endpoint, Grant.Zone, Grant.Address, Grant.Incarnation};
  }

  bool isLengthAware() const {
    return Options_.Routing.Policy == RoutingPolicy::LengthAware;
  }

  /// Asks the ranked endpoints in turn. While owners change, asks again.
  Task<GrantAnswer> askOwners(const GrantQuery &Query) {
    const TimePoint Start = Clock_.now();
    const TimePoint Patience =
        std::min(Query.Deadline, Start + Options_.OwnerChangePatience);
    GrantAnswer Answer;
    std::size_t Round = 0;
    while (true) {
      bool OwnersChange = false;
      for (const Candidate &Next : rank(Query)) {
        const GrantReplyMessage Reply = co_await ask(Query, Next);
        if (Reply.Status == GrantStatus::Granted) {
          Answer.Grant = toGrant(Query, Next, Reply);
          observeWait(Query, Start);
          co_return Answer;
        }
        OwnersChange |= isOwnerChange(Reply.ReasonCode);
        Answer.Refusal = toError(Reply);
        if (Answer.Refusal.Kind == ErrorKind::CallerGone ||
            Answer.Refusal.Kind == ErrorKind::DeadlineExceeded)
          co_return Answer;
      }
      const bool NoneRanked = Answer.Refusal.Message.empty();
      if (NoneRanked)
        Answer.Refusal.Kind = ErrorKind::NoEndpoint;
      const bool MayWait = OwnersChange || NoneRanked;
      if (MayWait ? Clock_.now() >= Patience : ++Round >= MaxRounds)
        co_return Answer;
      co_await http::sleepFor(OwnerChangePause);
    }
  }

  static Error toError(const GrantReplyMessage &Reply) {
    // The shortest advice that does not invite an immediate repetition.
    constexpr std::uint64_t MinRetryAfterMs = 100;
    Error Refusal;
    Refusal.Kind = kindOf(Reply.ReasonCode);
    Refusal.Message = Reply.ReasonCode;
    Refusal.RetryAfterMs =
        static_cast<int>(std::max(Reply.PredictedWaitMs, MinRetryAfterMs));
    return Refusal;
  }

  static std::uint64_t tokensOf(const GrantQuery &Query) {
    return Query.Request->PromptTokens + Query.Request->MaxTokens;
  }

  std::vector<Candidate> rank(const GrantQuery &Query) {
    routing::RouteRequest Request;
    Request.Model = Query.Request->Model;
    Request.PromptTokens = Query.Request->PromptTokens;
    Request.ReservedTokens = tokensOf(Query);
    Request.PrefixHash = Query.Request->PrefixHash;
    Request.PrefixTokens = std::min(PrefixTokens, Query.Request->PromptTokens);
    Request.Tried = Query.Tried;
    Request.AvoidZones = Crashes_.zonesToAvoid(Query.Request->ContentHash);
    const std::lock_guard Lock(Mutex_);
    std::vector<Candidate> Ranked =
        Router_->choose(Request, Fleet_, Clock_.now(), Random_);
    // When every endpoint was tried, a retry goes to any of them.
    if (Ranked.empty() && !Request.Tried.empty()) {
      Request.Tried.clear();
      Ranked = Router_->choose(Request, Fleet_, Clock_.now(), Random_);
    }
    return Ranked;
  }

  Task<GrantReplyMessage> ask(const GrantQuery &Query, const Candidate &Next) {
    GrantRequestMessage Request;
    Request.RequestId = Query.RequestId;
    Request.Attempt = Query.Attempt;
    Request.Endpoint = Next.Endpoint;
    Request.Workspace = Query.Workspace;
    Request.Weight = Query.Weight;
    const auto Class = scheduling::classOf(Query.Request->PromptTokens);
    // The baselines serve in order of arrival.
    if (isLengthAware()) {
      Request.Priority = scheduling::enginePriorityOf(Class);
      Request.LengthClass = static_cast<std::uint32_t>(Class);
    }
    Request.PromptTokens = Query.Request->PromptTokens;
    Request.MaxTokens = Query.Request->MaxTokens;
    Request.ContentHash = Query.Request->ContentHash;
    const auto Left =
        std::chrono::duration_cast<Duration>(Query.Deadline - Clock_.now());
    Request.DeadlineMs =
        static_cast<std::uint64_t>(std::max(Left, Duration(0)).count());
    {
      const std::lock_guard Lock(Mutex_);
      Fleet_.recordSent(Next.Endpoint, Request.PromptTokens, tokensOf(Query));
    }
    GrantReplyMessage Reply =
        co_await Owners_.request(std::move(Request), Query.Deadline);
    learn(Query, Next, Reply);
    co_return Reply;
  }

  void learn(const GrantQuery &Query, const Candidate &Next,
             const GrantReplyMessage &Reply) {
    const TimePoint Now = Clock_.now();
    const std::lock_guard Lock(Mutex_);
    if (Reply.Status != GrantStatus::Granted)
      Fleet_.revertSent(Next.Endpoint, Query.Request->PromptTokens,
                        tokensOf(Query));
    if (isOwnerChange(Reply.ReasonCode) || Reply.EndpointIncarnation == 0)
      return;
    routing::LoadHint Hint;
    Hint.MeasuredAt = Now;
    Hint.FreeTokens = Reply.FreeTokens;
    auto &StartDelay = Hint.StartDelay.emplace();
    for (std::size_t Class = 0; Class < StartDelay.size(); ++Class)
      StartDelay[Class] = Duration(Reply.StartMs[Class]);
    Fleet_.recordHint(Next.Endpoint, Reply.EndpointIncarnation, Hint);
  }

  EngineGrant toGrant(const GrantQuery &Query, const Candidate &Next,
                      const GrantReplyMessage &Reply) {
    const TimePoint Received = Clock_.now();
    EngineGrant Grant;
    Grant.Endpoint = Reply.Endpoint;
    Grant.Owner = Reply.Owner;
    Grant.Id = Reply.GrantId;
    Grant.Incarnation = Reply.EndpointIncarnation;
    Grant.Epoch = Reply.Epoch;
    Grant.SendBy = Received + Duration(Reply.SendByMs);
    Grant.Expiry = Received + Duration(Reply.ExpiryMs);
    const auto Class = scheduling::classOf(Query.Request->PromptTokens);
    Grant.Priority = isLengthAware() ? scheduling::enginePriorityOf(Class) : 0;
    Grant.FirstTokenEstimate =
        std::chrono::duration_cast<Duration>(Next.TimeToFirstToken);
    const std::lock_guard Lock(Mutex_);
    const EndpointPlace &Place = Places_[Reply.Endpoint];
    Grant.Address = Place.Address;
    Grant.Zone = Place.Zone;
    return Grant;
  }

  void observeWait(const GrantQuery &Query, TimePoint Start) {
    Metrics_.observeQueueWait(
        scheduling::nameOf(scheduling::classOf(Query.Request->PromptTokens)),
        std::chrono::duration_cast<Duration>(Clock_.now() - Start));
  }

  static GrantOutcome outcomeOf(AttemptEnd End) {
    switch (End) {
    case AttemptEnd::Complete:
      return GrantOutcome::Completed;
    case AttemptEnd::Refused:
      return GrantOutcome::NotSent;
    case AttemptEnd::NotReached:
    case AttemptEnd::EngineLost:
      return GrantOutcome::EndpointFailed;
    default:
      return GrantOutcome::Cancelled;
    }
  }

  SteadyClock Clock_;
  FleetBrokerOptions Options_;
  OwnerClient &Owners_;
  CrashGuard &Crashes_;
  Metrics &Metrics_;
  std::mutex Mutex_; ///< guards what follows
  std::unique_ptr<routing::Router> Router_;
  std::mt19937_64 Random_;
  routing::FleetView Fleet_;
  routing::RetryBudget Retries_;
  std::map<std::string, EndpointPlace> Places_;
};

} // namespace

std::unique_ptr<FleetBroker> makeFleetBroker(FleetBrokerOptions Options,
                                             OwnerClient &Owners,
                                             CrashGuard &Crashes,
                                             Metrics &Counters) {
  return std::make_unique<FleetBrokerImpl>(std::move(Options), Owners, Crashes,
                                           Counters);
}

} // namespace cassiashed
