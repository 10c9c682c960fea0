#include "cassiashed/balancing/admission.h"

#include <array>

namespace cassiashed::balancing {

namespace {

bool isLate(const Dispatch &Chosen, const PlacementRequest &Request) {
  return Request.FirstTokenMs <= 0 ||
         Chosen.FirstTokenMs > Request.FirstTokenMs;
}

} // namespace

double expectedValue(const Dispatch &Chosen, const PlacementRequest &Request,
                     const AdmissionOptions &Options) {
  return isLate(Chosen, Request) ? Request.Value * Options.LateValueFraction
                                 : Request.Value;
}

Admission decideAdmission(const Dispatch &Chosen,
                          const PlacementRequest &Request, double WaitedMs,
                          double TotalMs, const AdmissionOptions &Options) {
  const bool IsLate = isLate(Chosen, Request);
  if (Chosen.LossToOthers + Chosen.LossToLater >
      expectedValue(Chosen, Request, Options))
    return Admission::Refuse;
  const bool LossIsSmall =
      Chosen.LossToOthers <= Request.Value * Options.MaxLossWithoutWait;
  const bool CanWait = WaitedMs < TotalMs * Options.MaxWaitFraction;
  return IsLate && !LossIsSmall && CanWait ? Admission::Wait : Admission::Send;
}

std::string_view nameOf(AdmissionReason Reason) {
  static constexpr std::array<std::string_view, 3> Names = {"value", "behind",
                                                            "gives_way"};
  return Names[static_cast<std::size_t>(Reason)];
}

AdmissionDecision AdmissionControl::evaluate(const Dispatch &Chosen,
                                             const PlacementRequest &Request,
                                             double WaitedMs, double TotalMs,
                                             TimePoint Now) const {
  const Admission ByValue =
      decideAdmission(Chosen, Request, WaitedMs, TotalMs, Options_);
  const ShareStatus Status =
      Shares_.shareStatusOf(Request.RequestClass, Request.PromptTokens, Now);
  const bool IsUrgent = Chosen.Urgent || Status == ShareStatus::UnderServed;
  if (takesReservedMemory(Chosen, Request, Now))
    return {Admission::Refuse, AdmissionReason::Yields, IsUrgent};
  if (Status == ShareStatus::UnderServed && ByValue == Admission::Refuse)
    return {Admission::Send, AdmissionReason::UnderServed, IsUrgent};
  const bool IsCostly =
      Chosen.LossToOthers + Chosen.LossToLater >
      expectedValue(Chosen, Request, Options_) * Options_.YieldLossFraction;
  if (Status == ShareStatus::CanYield && ByValue != Admission::Refuse &&
      IsCostly)
    return {Admission::Refuse, AdmissionReason::Yields, IsUrgent};
  return {ByValue, AdmissionReason::Value, IsUrgent};
}

bool AdmissionControl::takesReservedMemory(const Dispatch &Chosen,
                                           const PlacementRequest &Request,
                                           TimePoint Now) const {
  const auto Found = MemoryReservations_.find(Request.RequestClass);
  if (Found == MemoryReservations_.end())
    return false;
  const MemoryReservation &Reservation = Found->second;
  if (Now - Reservation.ReservedAt > Options_.MemoryReservationTime ||
      Chosen.FreeTokens - Request.PromptTokens - Request.OutputTokens >=
          Reservation.Tokens)
    return false;
  const double Shortfall =
      Shares_.shortfallOf(Request.RequestClass, Reservation.PromptTokens, Now);
  return Shortfall >= Options_.MinShortfallToReserve &&
         Shortfall > Shares_.shortfallOf(Request.RequestClass,
                                         Request.PromptTokens, Now);
}

void AdmissionControl::reserveMemory(const PlacementRequest &Request,
                                     TimePoint Now) {
  MemoryReservation &Reservation = MemoryReservations_[Request.RequestClass];
  const bool IsExpired =
      Now - Reservation.ReservedAt > Options_.MemoryReservationTime;
  if (IsExpired ||
      Shares_.shortfallOf(Request.RequestClass, Request.PromptTokens, Now) >=
          Shares_.shortfallOf(Request.RequestClass, Reservation.PromptTokens,
                              Now))
    Reservation = {Request.PromptTokens,
                   Request.PromptTokens + Request.OutputTokens, Now};
}

AdmissionDecision AdmissionControl::decide(const Dispatch &Chosen,
                                           const PlacementRequest &Request,
                                           double WaitedMs, double TotalMs,
                                           TimePoint Now) {
  const AdmissionDecision Result =
      evaluate(Chosen, Request, WaitedMs, TotalMs, Now);
  if (Result.Next != Admission::Wait)
    Shares_.recordDecision(Request.RequestClass, Request.PromptTokens,
                           Result.Next == Admission::Send, Now);
  return Result;
}

void AdmissionControl::recordPlacementFailure(const Dispatch &Failed,
                                              const PlacementRequest &Request,
                                              TimePoint Now) {
  // Only time and memory can be freed by other requests that yield.
  if (Failed.PlacementFailure == PlacementFailureReason::Time ||
      Failed.PlacementFailure == PlacementFailureReason::Memory)
    Shares_.recordDecision(Request.RequestClass, Request.PromptTokens, false,
                           Now);
  if (Failed.PlacementFailure == PlacementFailureReason::Memory)
    reserveMemory(Request, Now);
}

} // namespace cassiashed::balancing
