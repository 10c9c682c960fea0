#pragma once

#include "cassiashed/text/json.h"
#include "cassiashed/transport/peer_transport.h"
#include "http/asio.h"
#include "node/config_table.h"
#include "node/crash_guard.h"
#include "node/membership_state.h"
#include "node/owner_service.h"
#include <functional>
#include <string>

namespace cassiashed {

/// What one node reports of itself.
struct NodeStatus {
  std::string Node;
  std::string Zone;
  std::uint64_t Incarnation = 0;
  bool Current = false;
  bool Draining = false;
  std::size_t ActiveRequests = 0;
};

struct StatusParts {
  PeerTransport &Peers;
  MembershipState &State;
  const ConfigTable &Table;
  const OwnerService &Owners;
  CrashGuard &Crashes;
  std::function<NodeStatus()> Self;
};

/// Answers the operators' status query with what all live nodes report.
class StatusService {
public:
  explicit StatusService(StatusParts Parts) : Parts_(std::move(Parts)) {}

  /// State of this node alone, as sent to other nodes.
  Json describeNode() const;

  /// State of the deployment: nodes, endpoints, zones and versions.
  http::Task<Json> describeDeployment() const;

private:
  StatusParts Parts_;
};

} // namespace cassiashed
