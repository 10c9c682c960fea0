#include "cassiashed/balancing/admission.h"

#include <array>

namespace cassiashed::balancing {

namespace {

bool isLate(const Dispatch &Chosen, const PlacementRequest &Work) {
  return Work.FirstTokenMs <= 0 || Chosen.FirstTokenMs > Work.FirstTokenMs;
}

} // namespace

double expectedValue(const Dispatch &Chosen, const PlacementRequest &Work,
                     const AdmissionOptions &Options) {
  return isLate(Chosen, Work) ? Work.Value * Options.LateShare : Work.Value;
}

Admission decideAdmission(const Dispatch &Chosen, const PlacementRequest &Work,
                          double WaitedMs, double TotalMs,
                          const AdmissionOptions &Options) {
  const bool IsLate = isLate(Chosen, Work);
  if (Chosen.LossToOthers + Chosen.LossToLater >
      expectedValue(Chosen, Work, Options))
    return Admission::Refuse;
  const bool EnginesAreCalm =
      Chosen.LossToOthers <= Work.Value * Options.AllowedLoss;
  const bool MayWait = WaitedMs < TotalMs * Options.MaxWaitPart;
  return IsLate && !EnginesAreCalm && MayWait ? Admission::Wait
                                              : Admission::Send;
}

std::string_view nameOf(AdmissionReason Ground) {
  static constexpr std::array<std::string_view, 3> Names = {"value", "behind",
                                                            "gives_way"};
  return Names[static_cast<std::size_t>(Ground)];
}

AdmissionDecision AdmissionControl::weigh(const Dispatch &Chosen,
                                          const PlacementRequest &Work,
                                          double WaitedMs, double TotalMs,
                                          TimePoint Now) const {
  const Admission ByValue =
      decideAdmission(Chosen, Work, WaitedMs, TotalMs, Options_);
  const ShareStatus Standing =
      Shares_.shareStatusOf(Work.RequestClass, Work.PromptTokens, Now);
  const bool IsUrgent = Chosen.Urgent || Standing == ShareStatus::Behind;
  if (takesClaimedMemory(Chosen, Work, Now))
    return {Admission::Refuse, AdmissionReason::Yields, IsUrgent};
  if (Standing == ShareStatus::Behind && ByValue == Admission::Refuse)
    return {Admission::Send, AdmissionReason::Behind, IsUrgent};
  const bool IsCostly =
      Chosen.LossToOthers + Chosen.LossToLater >
      expectedValue(Chosen, Work, Options_) * Options_.GiveWayLoss;
  if (Standing == ShareStatus::Ahead && ByValue != Admission::Refuse &&
      IsCostly)
    return {Admission::Refuse, AdmissionReason::Yields, IsUrgent};
  return {ByValue, AdmissionReason::Value, IsUrgent};
}

bool AdmissionControl::takesClaimedMemory(const Dispatch &Chosen,
                                          const PlacementRequest &Work,
                                          TimePoint Now) const {
  const auto Found = Claims_.find(Work.RequestClass);
  if (Found == Claims_.end())
    return false;
  const MemoryClaim &Claim = Found->second;
  if (Now - Claim.At > Options_.MemoryKept ||
      Chosen.FreeTokens - Work.PromptTokens - Work.OutputTokens >= Claim.Tokens)
    return false;
  const double Short =
      Shares_.shortageOf(Work.RequestClass, Claim.PromptTokens, Now);
  return Short >= Options_.KeepMemoryFrom &&
         Short > Shares_.shortageOf(Work.RequestClass, Work.PromptTokens, Now);
}

void AdmissionControl::claimMemory(const PlacementRequest &Work,
                                   TimePoint Now) {
  MemoryClaim &Claim = Claims_[Work.RequestClass];
  const bool IsOver = Now - Claim.At > Options_.MemoryKept;
  if (IsOver ||
      Shares_.shortageOf(Work.RequestClass, Work.PromptTokens, Now) >=
          Shares_.shortageOf(Work.RequestClass, Claim.PromptTokens, Now))
    Claim = {Work.PromptTokens, Work.PromptTokens + Work.OutputTokens, Now};
}

AdmissionDecision AdmissionControl::decide(const Dispatch &Chosen,
                                           const PlacementRequest &Work,
                                           double WaitedMs, double TotalMs,
                                           TimePoint Now) {
  const AdmissionDecision Result = weigh(Chosen, Work, WaitedMs, TotalMs, Now);
  if (Result.Next != Admission::Wait)
    Shares_.note(Work.RequestClass, Work.PromptTokens,
                 Result.Next == Admission::Send, Now);
  return Result;
}

void AdmissionControl::recordPlacementFailure(const Dispatch &Failed,
                                              const PlacementRequest &Work,
                                              TimePoint Now) {
  // Only what other work stands against can be had by its giving way.
  if (Failed.PlacementReason == PlacementFailureReason::Time ||
      Failed.PlacementReason == PlacementFailureReason::Memory)
    Shares_.note(Work.RequestClass, Work.PromptTokens, false, Now);
  if (Failed.PlacementReason == PlacementFailureReason::Memory)
    claimMemory(Work, Now);
}

} // namespace cassiashed::balancing
