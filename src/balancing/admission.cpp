#include "cassiashed/balancing/admission.h"

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

} // namespace cassiashed::balancing
