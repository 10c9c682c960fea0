#pragma once

#include "cassiashed/base/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// What a node that receives requests knows about the endpoints. Not
/// thread-safe.
namespace cassiashed::routing {

/// Prompt tokens waiting for prefill, by length class of their request:
/// short (up to 4k), medium (to 16k), long (to 100k), huge (above).
using BacklogByClass = std::array<std::uint64_t, 4>;

/// Index into `BacklogByClass` for a prompt of this many tokens.
std::size_t backlogClassOf(std::uint64_t PromptTokens);

/// An endpoint as the configuration describes it.
struct EndpointConfig {
  std::string Name;
  std::string Zone;
  std::vector<std::string> Models;
  std::uint64_t CapacityTokens = 0;
  double PrefillTokensPerSecond = 10'000;
  bool InService = true;
};

/// Load of an endpoint as its owner measured it at `MeasuredAt`. For a hint
/// received by gossip, `MeasuredAt` is the time of receipt minus the hint's
/// age.
struct LoadHint {
  TimePoint MeasuredAt{};
  std::uint64_t FreeTokens = 0;
  std::chrono::microseconds PredictedWait{0}; ///< in the owner's queue
  BacklogByClass PrefillBacklog{};
  /// Time until prefill of a new prompt starts, per class, if the owner
  /// predicts it. Replaces `PredictedWait` and `PrefillBacklog`.
  std::optional<std::array<std::chrono::microseconds, 4>> StartDelay;

  /// Predicted wait of a prompt of the class. `PrefillBacklog` is not included.
  std::chrono::microseconds predictedWaitOf(std::size_t Class) const {
    return StartDelay ? (*StartDelay)[Class] : PredictedWait;
  }
};

/// Known state of one endpoint: configuration, last hint, and the requests that
/// this node has in flight there.
struct EndpointView {
  EndpointConfig Config;
  std::uint64_t NameHash = 0;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  bool ZoneInService = true;
  std::optional<LoadHint> Hint;
  std::uint32_t OutstandingRequests = 0; ///< sent by this node, not finished
  std::uint64_t OutstandingTokens = 0;
  /// Sent by this node after it received `Hint`, so not included in it.
  BacklogByClass PromptTokensSinceHint{};
  std::uint64_t ReservedTokensSinceHint = 0;

  bool acceptsNewRequests() const {
    return Config.InService && ZoneInService && !Leaving;
  }
};

/// Endpoints by name and by model, with their last known load. Positions index
/// `endpoints()` and are valid until the next `configure`.
///
/// ```cpp
/// FleetView Fleet;
/// Fleet.configure({{"engine-1", "zone-a", {"m1"}, 200'000}});
/// Fleet.recordHint("engine-1", Incarnation, {Now, 150'000});
/// ```
class FleetView {
public:
  /// Replaces the set of endpoints. The state of endpoints in both sets is
  /// kept.
  void configure(std::vector<EndpointConfig> Endpoints);
  /// Takes all endpoints of a zone out of service or back in. The setting
  /// also applies to endpoints that are configured later.
  void setZoneInService(const std::string &Zone, bool InService);
  void setLeaving(const std::string &Endpoint, bool Leaving);
  /// Stores the hint unless a newer one is known. A new incarnation discards
  /// the hint of the previous one. A hint of an older incarnation is ignored;
  /// incarnation 0 means that the sender does not know it.
  void recordHint(const std::string &Endpoint, std::uint64_t Incarnation,
                  const LoadHint &Hint);
  /// Counts a request that this node sends to an endpoint.
  void recordSent(const std::string &Endpoint, std::uint64_t PromptTokens,
                  std::uint64_t ReservedTokens);
  /// Reverts `recordSent` for a request that never reached the endpoint.
  void revertSent(const std::string &Endpoint, std::uint64_t PromptTokens,
                  std::uint64_t ReservedTokens);
  /// Counts the end of a request recorded by `recordSent`, whatever its
  /// outcome.
  void recordFinished(const std::string &Endpoint,
                      std::uint64_t ReservedTokens);

  const EndpointView *find(std::string_view Endpoint) const;
  const std::vector<EndpointView> &endpoints() const { return Endpoints_; }
  /// Positions of the endpoints that run the model, in or out of service.
  const std::vector<std::uint32_t> &
  endpointsOfModel(std::string_view Model) const;
  /// Positions of the endpoints of the model with the newest hints, at most
  /// `MaxRecentlyHinted`.
  const std::vector<std::uint32_t> &
  recentlyHinted(std::string_view Model) const;
  /// Moving average of `predictedWaitOf` over the hints of a model's endpoints.
  std::chrono::microseconds typicalWait(std::string_view Model,
                                        std::size_t Class) const;

  /// Limit on the endpoints scanned for the best known one. 64 covers every
  /// replica of a model at 820 endpoints and 15 models.
  static constexpr std::size_t MaxRecentlyHinted = 64;

private:
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const;
  };
  struct ModelIndex {
    std::vector<std::uint32_t> Endpoints;
    std::vector<std::uint32_t> RecentlyHinted; ///< ring buffer of positions
    std::size_t NextSlot = 0;
    std::array<double, 4> WaitUs{};
  };
  using PositionMap = std::unordered_map<std::string, std::uint32_t, StringHash,
                                         std::equal_to<>>;
  using ModelMap =
      std::unordered_map<std::string, ModelIndex, StringHash, std::equal_to<>>;

  EndpointView *findMutable(std::string_view Endpoint);
  void addRecentlyHinted(ModelIndex &Model, std::uint32_t Position);

  std::vector<EndpointView> Endpoints_;
  PositionMap ByName_;
  ModelMap ByModel_;
  std::vector<std::string> ZonesOutOfService_;
};

} // namespace cassiashed::routing
