#pragma once

#include "gateway/gateway_state.h"

/// Log lines for requests of model services that found no place.
namespace cassiashed::gateway {

/// Says what stood against a placement, and how full the engines are.
void logPlacementFailure(GatewayState &State,
                         const balancing::DispatchRequest &Wanted,
                         const balancing::Dispatch &Chosen, TimePoint Now);

/// Says what others would have lost, against what the request would have
/// earned.
void logAdmissionRefusal(GatewayState &State,
                         const balancing::DispatchRequest &Wanted,
                         const balancing::Dispatch &Chosen,
                         balancing::AdmissionReason Ground, TimePoint Now);

} // namespace cassiashed::gateway
