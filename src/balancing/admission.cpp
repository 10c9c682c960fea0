#include "cassiashed/balancing/admission.h"

#include <array>

namespace cassiashed::balancing {

namespace {

bool isLate(const Dispatch &Chosen, const PlacementRequest &Work) {
  return Work.FirstTokenMs <= 0 || Chosen.FirstTokenMs > Work.FirstTokenMs;
}

} // namespace

double gainOf(const Dispatch &Chosen, const PlacementRequest &Work,
              const AdmissionOptions &Options) {
  return isLate(Chosen, Work) ? Work.Value * Options.LateShare : Work.Value;
}

Admission decideAdmission(const Dispatch &Chosen, const PlacementRequest &Work,
                          double WaitedMs, double TotalMs,
                          const AdmissionOptions &Options) {
  const bool IsLate = isLate(Chosen, Work);
  if (Chosen.LossToOthers + Chosen.LossToLater > gainOf(Chosen, Work, Options))
    return Admission::Refuse;
  const bool EnginesAreCalm =
      Chosen.LossToOthers <= Work.Value * Options.AllowedLoss;
  const bool MayWait = WaitedMs < TotalMs * Options.MaxWaitPart;
  return IsLate && !EnginesAreCalm && MayWait ? Admission::Wait
                                              : Admission::Send;
}

std::string_view nameOf(AdmissionGround Ground) {
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
  const SizeStanding Standing =
      Shares_.standingOf(Work.Kind, Work.PromptTokens, Now);
  const bool IsUrgent = Chosen.Urgent || Standing == SizeStanding::Behind;
  if (takesClaimedMemory(Chosen, Work, Now))
    return {Admission::Refuse, AdmissionGround::GivesWay, IsUrgent};
  if (Standing == SizeStanding::Behind && ByValue == Admission::Refuse)
    return {Admission::Send, AdmissionGround::Behind, IsUrgent};
  const bool IsCostly = Chosen.LossToOthers + Chosen.LossToLater >
                        gainOf(Chosen, Work, Options_) * Options_.GiveWayLoss;
  if (Standing == SizeStanding::Ahead && ByValue != Admission::Refuse &&
      IsCostly)
    return {Admission::Refuse, AdmissionGround::GivesWay, IsUrgent};
  return {ByValue, AdmissionGround::Value, IsUrgent};
}

bool AdmissionControl::takesClaimedMemory(const Dispatch &Chosen,
                                          const PlacementRequest &Work,
                                          TimePoint Now) const {
  const auto Found = Claims_.find(Work.Kind);
  if (Found == Claims_.end())
    return false;
  const MemoryClaim &Claim = Found->second;
  if (Now - Claim.At > Options_.MemoryKept ||
      Chosen.FreeTokens - Work.PromptTokens - Work.OutputTokens >= Claim.Tokens)
    return false;
  const double Short = Shares_.shortageOf(Work.Kind, Claim.PromptTokens, Now);
  return Short >= Options_.KeepMemoryFrom &&
         Short > Shares_.shortageOf(Work.Kind, Work.PromptTokens, Now);
}

void AdmissionControl::claimMemory(const PlacementRequest &Work,
                                   TimePoint Now) {
  MemoryClaim &Claim = Claims_[Work.Kind];
  const bool IsOver = Now - Claim.At > Options_.MemoryKept;
  if (IsOver || Shares_.shortageOf(Work.Kind, Work.PromptTokens, Now) >=
                    Shares_.shortageOf(Work.Kind, Claim.PromptTokens, Now))
    Claim = {Work.PromptTokens, Work.PromptTokens + Work.OutputTokens, Now};
}

AdmissionDecision AdmissionControl::decide(const Dispatch &Chosen,
                                           const PlacementRequest &Work,
                                           double WaitedMs, double TotalMs,
                                           TimePoint Now) {
  const AdmissionDecision Result = weigh(Chosen, Work, WaitedMs, TotalMs, Now);
  if (Result.Next != Admission::Wait)
    Shares_.note(Work.Kind, Work.PromptTokens, Result.Next == Admission::Send,
                 Now);
  return Result;
}

void AdmissionControl::noteFailure(const Dispatch &Failed,
                                   const PlacementRequest &Work,
                                   TimePoint Now) {
  // Only what other work stands against can be had by its giving way.
  if (Failed.Obstacle == PlacementObstacle::Time ||
      Failed.Obstacle == PlacementObstacle::Memory)
    Shares_.note(Work.Kind, Work.PromptTokens, false, Now);
  if (Failed.Obstacle == PlacementObstacle::Memory)
    claimMemory(Work, Now);
}

} // namespace cassiashed::balancing
