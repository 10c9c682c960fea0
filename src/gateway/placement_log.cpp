#include "gateway/placement_log.h"

#include "cassiashed/balancing/admission.h"
#include <algorithm>

namespace cassiashed::gateway {

void logPlacementFailure(GatewayState &State,
                         const balancing::DispatchRequest &Request,
                         const balancing::Dispatch &Chosen, TimePoint Now) {
  State.Log.write("placement_failed", Now, [&](LogLine &Line) {
    const engine::EngineSpec &Spec = *Request.Target->Engine;
    std::size_t Engines = 0;
    std::size_t Suspected = 0;
    double FreeTokens = 0;
    double MaxFreeTokens = 0;
    for (const catalog::EndpointRef &Endpoint :
         State.Directory.findUsable(Request.Target->Name)) {
      ++Engines;
      if (State.Health.suspicion(Endpoint->Number, Now) >=
          balancing::MaxHelperSuspicion)
        ++Suspected;
      const double Free = std::max(
          0.0, Spec.MemoryTokens -
                   State.Load.timeline(Endpoint->Entry.Id, Spec).memoryInUse());
      FreeTokens += Free;
      MaxFreeTokens = std::max(MaxFreeTokens, Free);
    }
    Line.field("work", Request.Work.Id)
        .field("failure", balancing::nameOf(Chosen.Failure))
        .field("obstacle", balancing::nameOf(Chosen.PlacementFailure))
        .field("prompt_tokens", Request.Work.PromptTokens)
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("left_ms", static_cast<int>(Request.Work.DeadlineMs))
        .field("engines", Engines)
        .field("doubtful", Suspected)
        .field("free_tokens", FreeTokens)
        .field("most_free_tokens", MaxFreeTokens);
  });
}

void logAdmissionRefusal(GatewayState &State,
                         const balancing::DispatchRequest &Request,
                         const balancing::Dispatch &Chosen,
                         balancing::AdmissionReason Reason, TimePoint Now) {
  State.Log.write("admission_refused", Now, [&](LogLine &Line) {
    Line.field("work", Request.Work.Id)
        .field("prompt_tokens", Request.Work.PromptTokens)
        .field("ground", balancing::nameOf(Reason))
        .field("gain", balancing::expectedValue(Chosen, Request.Work))
        .field("loss_others", Chosen.LossToOthers)
        .field("loss_later", Chosen.LossToLater)
        .field("engines", Chosen.Endpoints.size())
        .field("predicted_ms", static_cast<int>(Chosen.FirstTokenMs))
        .field("left_ms", static_cast<int>(Request.Work.DeadlineMs));
  });
}

} // namespace cassiashed::gateway
