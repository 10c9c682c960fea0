#pragma once

#include "cassiashed/balancing/admission.h"
#include "cassiashed/balancing/placement_retry_pacer.h"
#include "gateway/gateway_state.h"
#include "http/asio.h"
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cassiashed::gateway {

/// State of a request that a placer needs besides the request itself.
struct PlacementContext {
  double WaitedMs = 0; ///< since the request arrived
  double TotalMs = 0;  ///< from its arrival to its deadline
  bool IsRetry = false;
  std::vector<std::string> ExcludedIds; ///< endpoints already tried
};

/// Where a request runs, and whether it is sent now.
struct PlacementDecision {
  balancing::Dispatch Chosen;
  balancing::Admission Next = balancing::Admission::Send;
  Duration RetryPlacementAfter{0}; ///< for a request that waits
  std::string Placer;              ///< address of the node that decided
  /// The placer counts the request as sent and must be notified when it ends.
  bool IsCounted = false;
};

/// Places requests of model services in a large fleet, where a few nodes, the
/// placers, decide for all: queries the placers, and answers the queries of
/// other nodes when this node is a placer.
class SharedPlacement {
public:
  explicit SharedPlacement(GatewayState &State) : State_(State) {}

  /// Whether requests of `Target` are placed by placers.
  bool isUsedFor(const catalog::Service &Target) const;

  /// Queries the placers in turn. Returns nothing if no usable reply arrives in
  /// time; the caller then decides without them.
  http::Task<std::optional<PlacementDecision>>
  ask(const balancing::DispatchRequest &Request,
      const PlacementContext &Context);

  void handleQuery(const PlacementQuery &Query, const std::string &Host,
                   std::uint32_t Origin);
  void handleReply(PlacementReply Reply);

private:
  struct PendingQuery {
    explicit PendingQuery(asio::io_context &Context) : Timeout(Context) {}
    asio::steady_timer Timeout;
    std::optional<PlacementReply> Reply;
  };

  /// Decides as a placer. Counts the request as sent if it is to be sent.
  PlacementReply decide(const PlacementQuery &Query, const std::string &Host,
                        std::uint32_t Origin);
  std::optional<PlacementDecision> accept(const PlacementReply &Reply,
                                          const std::string &Placer) const;

  GatewayState &State_;
  balancing::PlacementRetryPacer RetryPacer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingQuery>>
      PendingQueries_;
};

} // namespace cassiashed::gateway
