#pragma once

#include "cassiashed/balancing/dispatcher.h"

namespace cassiashed::balancing {

/// What happens to a request of a model service that an engine could run.
enum class Admission {
  Send,
  Wait,   ///< look again after a moment
  Refuse, ///< others would lose more than the request gains
};

struct AdmissionOptions {
  /// Share of a request's value that remains when it is late.
  double LateShare = PlacementOptions().LateShare;
  /// Part of its value that a late request may cost others without waiting.
  double AllowedLoss = 0.05;
  /// Part of the time until its deadline that a late request waits at most.
  double MaxWaitPart = 0.35;
};

/// Value that a request earns if it is sent as chosen.
double gainOf(const Dispatch &Chosen, const PlacementRequest &Work,
              const AdmissionOptions &Options = {});

/// Load: more work than the engines can do for some seconds. Requests that
/// cost others more than they gain are refused at once. Those that will be
/// late anyway wait at the node while engines are busy, so that those which
/// arrive now are served on time; without it, a queue that is a little longer
/// than the target makes every request late until it has drained.
///
/// `WaitedMs` is how long the request has waited, `TotalMs` the time that it
/// had when it arrived.
Admission decideAdmission(const Dispatch &Chosen, const PlacementRequest &Work,
                          double WaitedMs, double TotalMs,
                          const AdmissionOptions &Options = {});

} // namespace cassiashed::balancing
