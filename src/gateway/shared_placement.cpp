#include "gateway/shared_placement.h"

#include "gateway/placement_log.h"

namespace cassiashed::gateway {
namespace {

/// Enough for a round trip between zones and some placements of long prompts.
/// Short enough that a short prompt still meets its latency objective after a
/// query to a second placer.
constexpr Duration ReplyTimeout{100};
/// An older reply no longer describes the load of the engines. Replies get this
/// old only if this process was frozen.
constexpr Duration MaxReplyAge{500};

PlacementQuery toQuery(const balancing::DispatchRequest &Request,
                       const PlacementContext &Context) {
  PlacementQuery Query;
  const balancing::PlacementRequest &Work = Request.Work;
  Query.Id = Work.Id;
  Query.RequestClass = Work.RequestClass;
  Query.Service = Request.Target->Name;
  Query.PromptTokens = Work.PromptTokens;
  Query.OutputTokens = Work.OutputTokens;
  Query.FirstTokenMs = Work.FirstTokenMs;
  Query.DeadlineMs = Work.DeadlineMs;
  Query.MaxTokenGapMs = Work.MaxTokenGapMs;
  Query.Value = Work.Value;
  Query.WaitedMs = Context.WaitedMs;
  Query.TotalMs = Context.TotalMs;
  Query.IsRetry = Context.IsRetry;
  Query.Excluded = Context.ExcludedIds;
  Query.Regions = Request.Regions;
  return Query;
}

balancing::PlacementRequest toPlacementRequest(const PlacementQuery &Query) {
  balancing::PlacementRequest Request;
  Request.Id = Query.Id;
  Request.RequestClass = Query.RequestClass;
  Request.PromptTokens = Query.PromptTokens;
  Request.OutputTokens = Query.OutputTokens;
  Request.FirstTokenMs = Query.FirstTokenMs;
  Request.DeadlineMs = Query.DeadlineMs;
  Request.MaxTokenGapMs = Query.MaxTokenGapMs;
  Request.Value = Query.Value;
  return Request;
}

} // namespace

bool SharedPlacement::isUsedFor(const catalog::Service &Target) const {
  return Target.Engine && State_.Nodes->hasRoles();
}

http::Task<std::optional<PlacementDecision>>
SharedPlacement::ask(const balancing::DispatchRequest &Request,
                     const PlacementContext &Context) {
  const PlacementQuery Query = toQuery(Request, Context);
  const std::vector<std::string> Placers = State_.Nodes->placers();
  for (const std::string &Host : Placers) {
    if (Host == State_.Nodes->ownHost()) {
      const PlacementReply Reply = decide(Query, Host, 0);
      co_return accept(Reply, Host);
    }
    const auto Pending = std::make_shared<PendingQuery>(State_.Context);
    PendingQueries_[Query.Id] = Pending;
    const TimePoint SentAt = State_.now();
    State_.Nodes->sendPlacementQuery(Host, Query);
    Pending->Timeout.expires_after(ReplyTimeout);
    Code Ignored; // a reply cancels the timer
    co_await Pending->Timeout.async_wait(intoCode(Ignored));
    PendingQueries_.erase(Query.Id);
    const bool IsFresh = State_.now() - SentAt < MaxReplyAge;
    if (Pending->Reply && IsFresh)
      co_return accept(*Pending->Reply, Host);
    State_.Nodes->recordPlacerUnresponsive(Host);
    State_.Log.write("placer_silent", State_.now(), [&](LogLine &Line) {
      Line.field("work", Query.Id).field("placer", Host);
    });
  }
  co_return std::nullopt;
}

std::optional<PlacementDecision>
SharedPlacement::accept(const PlacementReply &Reply,
                        const std::string &Placer) const {
  PlacementDecision Decision;
  Decision.Placer = Placer;
  Decision.Next = static_cast<balancing::Admission>(Reply.Next);
  Decision.RetryPlacementAfter =
      Duration(static_cast<Duration::rep>(Reply.RetryPlacementAfterMs));
  balancing::Dispatch &Chosen = Decision.Chosen;
  Chosen.Failure = static_cast<balancing::DispatchFailure>(Reply.Failure);
  Chosen.RetryAfter = Duration(static_cast<Duration::rep>(Reply.RetryAfterMs));
  Chosen.FirstTokenMs = Reply.FirstTokenMs;
  Chosen.LossToOthers = Reply.LossToOthers;
  Chosen.LossToLater = Reply.LossToLater;
  Chosen.Urgent = Reply.Urgent;
  for (const PlacedPart &Placed : Reply.Parts) {
    const catalog::EndpointRef Known = State_.Directory.find(Placed.EndpointId);
    if (!Known)
      return std::nullopt; // this node has not received its registration yet
    balancing::PromptPart Part;
    Part.PromptTokens = Placed.PromptTokens;
    Part.ReservedTokens = Placed.ReservedTokens;
    Part.MemoryTokens = Placed.MemoryTokens;
    Chosen.Endpoints.push_back(Known);
    Chosen.Parts.push_back(Part);
  }
  Decision.IsCounted =
      Decision.Next == balancing::Admission::Send && !Chosen.Endpoints.empty();
  return Decision;
}

void SharedPlacement::handleReply(PlacementReply Reply) {
  const auto Found = PendingQueries_.find(Reply.Id);
  if (Found == PendingQueries_.end())
    return; // timed out; another placer was queried
  Found->second->Reply = std::move(Reply);
  Found->second->Timeout.cancel();
}

void SharedPlacement::handleQuery(const PlacementQuery &Query,
                                  const std::string &Host,
                                  std::uint32_t Origin) {
  State_.Nodes->sendPlacementReply(Host, decide(Query, Host, Origin));
}

PlacementReply SharedPlacement::decide(const PlacementQuery &Query,
                                       const std::string &Host,
                                       std::uint32_t Origin) {
  const TimePoint Now = State_.now();
  PlacementReply Reply;
  Reply.Id = Query.Id;
  balancing::DispatchRequest Request;
  Request.Target =
      State_.Config ? State_.Config->findService(Query.Service) : nullptr;
  if (!Request.Target || !Request.Target->Engine) {
    Reply.Failure =
        static_cast<std::uint32_t>(balancing::DispatchFailure::NoEndpoint);
    return Reply;
  }
  Request.Work = toPlacementRequest(Query);
  Request.Regions = Query.Regions;
  Request.SentBy = balancing::Sender::OtherNode;
  Request.ColdStartSharers = State_.Nodes->canPlaceOnColdEndpoints()
                                 ? State_.Nodes->coldPlacerCount()
                                 : 0;
  for (const std::string &Id : Query.Excluded)
    if (const catalog::EndpointRef Known = State_.Directory.find(Id))
      Request.Excluded.insert(Known->Number);
  balancing::Dispatch Chosen =
      State_.Dispatcher.choose(Request, Now, State_.Random);
  Reply.Failure = static_cast<std::uint32_t>(Chosen.Failure);
  Reply.RetryAfterMs = static_cast<double>(Chosen.RetryAfter.count());
  if (Chosen.Endpoints.empty()) {
    if (!Query.IsRetry)
      State_.Admission.recordPlacementFailure(Chosen, Request.Work, Now);
    logPlacementFailure(State_, Request, Chosen, Now);
    return Reply;
  }
  Reply.FirstTokenMs = Chosen.FirstTokenMs;
  Reply.LossToOthers = Chosen.LossToOthers;
  Reply.LossToLater = Chosen.LossToLater;
  balancing::AdmissionDecision Decided;
  if (!Query.IsRetry) {
    Decided = State_.Admission.decide(Chosen, Request.Work, Query.WaitedMs,
                                      Query.TotalMs, Now);
    Chosen.Urgent = Decided.Urgent;
  }
  Reply.Urgent = Chosen.Urgent;
  const balancing::Admission Next = Decided.Next;
  Reply.Next = static_cast<std::uint32_t>(Next);
  if (Next == balancing::Admission::Wait)
    Reply.RetryPlacementAfterMs =
        static_cast<double>(RetryPacer_.nextDelay(Now).count());
  if (Next == balancing::Admission::Refuse)
    logAdmissionRefusal(State_, Request, Chosen, Decided.Reason, Now);
  if (Next != balancing::Admission::Send)
    return Reply;
  balancing::Assignment Assignment;
  Assignment.Request = Request.Work;
  Assignment.Request.Urgent = Chosen.Urgent;
  Assignment.Origin = Origin;
  for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index) {
    const std::string &Id = Chosen.Endpoints[Index]->Entry.Id;
    const balancing::PromptPart &Part = Chosen.Parts[Index];
    Assignment.Parts.push_back({Id, Part});
    Reply.Parts.push_back(
        {Id, Part.PromptTokens, Part.ReservedTokens, Part.MemoryTokens});
  }
  const catalog::EndpointRef &DecodeEndpoint = Chosen.Endpoints.front();
  if (DecodeEndpoint->ColdUntil > Now)
    State_.Cold.recordSent(DecodeEndpoint->Number, Now);
  State_.Load.assign(Assignment, Now);
  State_.Nodes->announceStart(Assignment, Host);
  State_.expectFirstToken(*DecodeEndpoint, Request.Work, Chosen.FirstTokenMs);
  State_.Log.write("request_placed", Now, [&](LogLine &Line) {
    Line.field("work", Query.Id)
        .field("requester", Host)
        .field("endpoint", DecodeEndpoint->Entry.Id)
        .field("engines", Chosen.Endpoints.size())
        .field("prompt_tokens", Query.PromptTokens)
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("ground", balancing::nameOf(Decided.Reason));
  });
  return Reply;
}

} // namespace cassiashed::gateway
