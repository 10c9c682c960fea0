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

/// What a request needs to say of itself besides what it wants.
struct PlacementContext {
  double WaitedMs = 0; ///< since the request arrived
  double TotalMs = 0;  ///< that it had then
  bool IsRetry = false;
  std::vector<std::string> ExcludedIds; ///< endpoints already tried
};

/// Where a request runs, and whether it is sent now.
struct PlacementDecision {
  balancing::Dispatch Chosen;
  balancing::Admission Next = balancing::Admission::Send;
  Duration LookAgain{0}; ///< when to ask again, for a request that waits
  std::string Placer;    ///< address of the node that decided
  /// The placer counts the request as sent; it has to be told of its end.
  bool IsCounted = false;
};

/// Places requests of model services in a large fleet: asks the placers, and
/// answers the questions of other nodes when this one is a placer.
class SharedPlacement {
public:
  explicit SharedPlacement(GatewayState &State) : State_(State) {}

  /// Whether requests of `Target` are placed by placers.
  bool isUsedFor(const catalog::Service &Target) const;

  /// Asks the placers in turn. Nothing if none answers in time; then the node
  /// decides alone.
  http::Task<std::optional<PlacementDecision>>
  ask(const balancing::DispatchRequest &Wanted,
      const PlacementContext &Context);

  void takeQuestion(const PlacementQuestion &Question, const std::string &Host,
                    std::uint32_t Origin);
  void takeAnswer(PlacementAnswer Answer);

private:
  /// A question that waits for its answer.
  struct Open {
    explicit Open(asio::io_context &Context) : Limit(Context) {}
    asio::steady_timer Limit;
    std::optional<PlacementAnswer> Answer;
  };

  /// Decides as a placer and counts the request as sent if it is.
  PlacementAnswer decide(const PlacementQuestion &Question,
                         const std::string &Host, std::uint32_t Origin);
  std::optional<PlacementDecision> accept(const PlacementAnswer &Answer,
                                          const std::string &Placer) const;

  GatewayState &State_;
  balancing::PlacementRetryPacer Pace_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Open>> Open_;
};

} // namespace cassiashed::gateway
