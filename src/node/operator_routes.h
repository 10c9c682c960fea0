#pragma once

#include "cassiashed/control/operator_server.h"
#include "http/asio.h"
#include "node/config_table.h"
#include "node/crash_guard.h"
#include "node/membership_state.h"
#include "node/status_service.h"
#include <functional>
#include <vector>

namespace cassiashed {

struct OperatorParts {
  http::asio::io_context &Context;
  MembershipState &State;
  const ConfigTable &Table;
  const StatusService &Status;
  CrashGuard &Crashes;
  std::function<void()> StartDrain;
};

/// Routes of the operator port: `GET /status`, `POST /drain`, `POST /zone` and
/// `POST /quarantine/remove`.
std::vector<OperatorRoute> makeOperatorRoutes(OperatorParts Parts);

} // namespace cassiashed
