#include "gateway/shared_placement.h"

#include "gateway/placement_log.h"

namespace cassiashed::gateway {
namespace {

/// A placer answers within two trips between zones and some placements of long
/// prompts; a short prompt still reaches its target when the second one has to
/// be asked.
constexpr Duration AnswerLimit{100};
/// An answer that is used later than this says nothing about the engines: the
/// process was frozen meanwhile.
constexpr Duration AnswerAge{500};

PlacementQuestion describe(const balancing::DispatchRequest &Wanted,
                           const PlacementContext &Context) {
  PlacementQuestion Question;
  const balancing::PlacementRequest &Work = Wanted.Work;
  Question.Id = Work.Id;
  Question.RequestClass = Work.RequestClass;
  Question.Service = Wanted.Target->Name;
  Question.PromptTokens = Work.PromptTokens;
  Question.OutputTokens = Work.OutputTokens;
  Question.FirstTokenMs = Work.FirstTokenMs;
  Question.DeadlineMs = Work.DeadlineMs;
  Question.MaxTokenGapMs = Work.MaxTokenGapMs;
  Question.Value = Work.Value;
  Question.WaitedMs = Context.WaitedMs;
  Question.TotalMs = Context.TotalMs;
  Question.IsRetry = Context.IsRetry;
  Question.Excluded = Context.ExcludedIds;
  Question.Regions = Wanted.Regions;
  return Question;
}

balancing::PlacementRequest workOf(const PlacementQuestion &Question) {
  balancing::PlacementRequest Work;
  Work.Id = Question.Id;
  Work.RequestClass = Question.RequestClass;
  Work.PromptTokens = Question.PromptTokens;
  Work.OutputTokens = Question.OutputTokens;
  Work.FirstTokenMs = Question.FirstTokenMs;
  Work.DeadlineMs = Question.DeadlineMs;
  Work.MaxTokenGapMs = Question.MaxTokenGapMs;
  Work.Value = Question.Value;
  return Work;
}

} // namespace

bool SharedPlacement::isUsedFor(const catalog::Service &Target) const {
  return Target.Engine && State_.Nodes->hasRoles();
}

http::Task<std::optional<PlacementDecision>>
SharedPlacement::ask(const balancing::DispatchRequest &Wanted,
                     const PlacementContext &Context) {
  const PlacementQuestion Question = describe(Wanted, Context);
  const std::vector<std::string> Placers = State_.Nodes->placers();
  for (const std::string &Host : Placers) {
    if (Host == State_.Nodes->ownHost()) {
      const PlacementAnswer Answer = decide(Question, Host, 0);
      co_return accept(Answer, Host);
    }
    const auto Waiting = std::make_shared<Open>(State_.Context);
    Open_[Question.Id] = Waiting;
    const TimePoint AskedAt = State_.now();
    State_.Nodes->ask(Host, Question);
    Waiting->Limit.expires_after(AnswerLimit);
    Code Ignored; // an answer cancels the timer
    co_await Waiting->Limit.async_wait(intoCode(Ignored));
    Open_.erase(Question.Id);
    const bool IsFresh = State_.now() - AskedAt < AnswerAge;
    if (Waiting->Answer && IsFresh)
      co_return accept(*Waiting->Answer, Host);
    State_.Nodes->notePlacerSilent(Host);
    State_.Log.write("placer_silent", State_.now(), [&](LogLine &Line) {
      Line.field("work", Question.Id).field("placer", Host);
    });
  }
  co_return std::nullopt;
}

std::optional<PlacementDecision>
SharedPlacement::accept(const PlacementAnswer &Answer,
                        const std::string &Placer) const {
  PlacementDecision Decision;
  Decision.Placer = Placer;
  Decision.Next = static_cast<balancing::Admission>(Answer.Next);
  Decision.LookAgain =
      Duration(static_cast<Duration::rep>(Answer.RetryPlacementAfterMs));
  balancing::Dispatch &Chosen = Decision.Chosen;
  Chosen.Failure = static_cast<balancing::DispatchFailure>(Answer.Failure);
  Chosen.RetryAfter = Duration(static_cast<Duration::rep>(Answer.RetryAfterMs));
  Chosen.FirstTokenMs = Answer.FirstTokenMs;
  Chosen.LossToOthers = Answer.LossToOthers;
  Chosen.LossToLater = Answer.LossToLater;
  Chosen.Urgent = Answer.Urgent;
  for (const PlacedPart &Share : Answer.Shares) {
    const catalog::EndpointRef Known = State_.Directory.find(Share.EndpointId);
    if (!Known)
      return std::nullopt; // its registration has not arrived here
    balancing::PromptPart Part;
    Part.PromptTokens = Share.PromptTokens;
    Part.ReservedTokens = Share.ReservedTokens;
    Part.MemoryTokens = Share.MemoryTokens;
    Chosen.Endpoints.push_back(Known);
    Chosen.Parts.push_back(Part);
  }
  Decision.IsCounted =
      Decision.Next == balancing::Admission::Send && !Chosen.Endpoints.empty();
  return Decision;
}

void SharedPlacement::takeAnswer(PlacementAnswer Answer) {
  const auto Found = Open_.find(Answer.Id);
  if (Found == Open_.end())
    return; // too late; another node was asked
  Found->second->Answer = std::move(Answer);
  Found->second->Limit.cancel();
}

void SharedPlacement::takeQuestion(const PlacementQuestion &Question,
                                   const std::string &Host,
                                   std::uint32_t Origin) {
  State_.Nodes->answer(Host, decide(Question, Host, Origin));
}

PlacementAnswer SharedPlacement::decide(const PlacementQuestion &Question,
                                        const std::string &Host,
                                        std::uint32_t Origin) {
  const TimePoint Now = State_.now();
  PlacementAnswer Answer;
  Answer.Id = Question.Id;
  balancing::DispatchRequest Wanted;
  Wanted.Target =
      State_.Config ? State_.Config->findService(Question.Service) : nullptr;
  if (!Wanted.Target || !Wanted.Target->Engine) {
    Answer.Failure =
        static_cast<std::uint32_t>(balancing::DispatchFailure::NoEndpoint);
    return Answer;
  }
  Wanted.Work = workOf(Question);
  Wanted.Regions = Question.Regions;
  Wanted.SentBy = balancing::Sender::OtherNode;
  Wanted.ColdStartSharers =
      State_.Nodes->mayPlaceOnCold() ? State_.Nodes->coldPlacerCount() : 0;
  for (const std::string &Id : Question.Excluded)
    if (const catalog::EndpointRef Known = State_.Directory.find(Id))
      Wanted.Excluded.insert(Known->Number);
  balancing::Dispatch Chosen =
      State_.Dispatcher.choose(Wanted, Now, State_.Random);
  Answer.Failure = static_cast<std::uint32_t>(Chosen.Failure);
  Answer.RetryAfterMs = static_cast<double>(Chosen.RetryAfter.count());
  if (Chosen.Endpoints.empty()) {
    if (!Question.IsRetry)
      State_.Admission.recordPlacementFailure(Chosen, Wanted.Work, Now);
    logPlacementFailure(State_, Wanted, Chosen, Now);
    return Answer;
  }
  Answer.FirstTokenMs = Chosen.FirstTokenMs;
  Answer.LossToOthers = Chosen.LossToOthers;
  Answer.LossToLater = Chosen.LossToLater;
  balancing::AdmissionDecision Decided;
  if (!Question.IsRetry) {
    Decided = State_.Admission.decide(Chosen, Wanted.Work, Question.WaitedMs,
                                      Question.TotalMs, Now);
    Chosen.Urgent = Decided.Urgent;
  }
  Answer.Urgent = Chosen.Urgent;
  const balancing::Admission Next = Decided.Next;
  Answer.Next = static_cast<std::uint32_t>(Next);
  if (Next == balancing::Admission::Wait)
    Answer.RetryPlacementAfterMs = static_cast<double>(Pace_.next(Now).count());
  if (Next == balancing::Admission::Refuse)
    logAdmissionRefusal(State_, Wanted, Chosen, Decided.Reason, Now);
  if (Next != balancing::Admission::Send)
    return Answer;
  balancing::Assignment Work;
  Work.Request = Wanted.Work;
  Work.Request.Urgent = Chosen.Urgent;
  Work.Origin = Origin;
  for (std::size_t Index = 0; Index < Chosen.Endpoints.size(); ++Index) {
    const std::string &Id = Chosen.Endpoints[Index]->Entry.Id;
    const balancing::PromptPart &Part = Chosen.Parts[Index];
    Work.Parts.push_back({Id, Part});
    Answer.Shares.push_back(
        {Id, Part.PromptTokens, Part.ReservedTokens, Part.MemoryTokens});
  }
  const catalog::EndpointRef &Writer = Chosen.Endpoints.front();
  if (Writer->ColdUntil > Now)
    State_.Cold.recordSent(Writer->Number, Now);
  State_.Load.assign(Work, Now);
  State_.Nodes->announceStart(Work, Host);
  State_.expectFirstToken(*Writer, Wanted.Work, Chosen.FirstTokenMs);
  State_.Log.write("request_placed", Now, [&](LogLine &Line) {
    Line.field("work", Question.Id)
        .field("requester", Host)
        .field("endpoint", Writer->Entry.Id)
        .field("engines", Chosen.Endpoints.size())
        .field("prompt_tokens", Question.PromptTokens)
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("ground", balancing::nameOf(Decided.Reason));
  });
  return Answer;
}

} // namespace cassiashed::gateway
