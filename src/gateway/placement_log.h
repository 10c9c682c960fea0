#pragma once

#include "gateway/gateway_state.h"

/// Log lines for requests of model services that are not sent to engines.
namespace cassiashed::gateway {

/// Logs why no engines were found, and how full the engines are.
void logPlacementFailure(GatewayState &State,
                         const balancing::DispatchRequest &Request,
                         const balancing::Dispatch &Chosen, TimePoint Now);

/// Logs the expected value of the refused request and what it would have cost
/// others.
void logAdmissionRefusal(GatewayState &State,
                         const balancing::DispatchRequest &Request,
                         const balancing::Dispatch &Chosen,
                         balancing::AdmissionReason Reason, TimePoint Now);

} // namespace cassiashed::gateway
