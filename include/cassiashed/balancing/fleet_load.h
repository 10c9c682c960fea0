#pragma once

#include "cassiashed/balancing/placement.h"
#include "cassiashed/engine/engine_timeline.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiashed::balancing {

/// Part of a request at an endpoint, named by the endpoint's id so that other
/// nodes understand it.
struct AssignedPromptPart {
  std::string EndpointId;
  PromptPart Part; ///< `Candidate` is not used
};

/// A request that some node has sent to endpoints.
struct Assignment {
  PlacementRequest Request; ///< `Id` is unique over all nodes
  std::vector<AssignedPromptPart> Parts;
  std::uint32_t Origin = 0; ///< number of the node that sent it; 0: this node
};

/// What every endpoint is working on, as far as this node knows: its own
/// requests at once, those of other nodes as they report them. Not
/// thread-safe.
class FleetLoad {
public:
  explicit FleetLoad(PlacementOptions Options = {}) : Options_(Options) {}

  /// The timeline of an endpoint of a model service, made on first use.
  engine::EngineTimeline &timeline(const std::string &EndpointId,
                                   const engine::EngineSpec &Spec);
  /// Requests at an endpoint, of all nodes.
  int outstanding(const std::string &EndpointId) const;

  void assign(const Assignment &Work, TimePoint Now);
  /// The endpoint that writes the answer of a request; null if it is unknown.
  const std::string *decodeEndpointOf(std::uint64_t Id) const;
  /// The request produced its first token.
  void markStarted(std::uint64_t Id, TimePoint Now);
  void finish(std::uint64_t Id, TimePoint Now);
  /// The node `Origin` ended or was replaced; its requests ended with it.
  void finishAllFromNode(std::uint32_t Origin, TimePoint Now);
  /// The endpoint ended; what ran there is gone.
  void removeEndpoint(const std::string &EndpointId);
  /// Drops requests past their deadline, whose end was not reported.
  void expire(TimePoint Now);

  std::size_t assignmentCount() const { return Active_.size(); }

private:
  struct ActiveWork {
    Assignment Work;
    TimePoint ExpiresAt;
  };
  void removeParts(const Assignment &Work, TimePoint Now);

  PlacementOptions Options_;
  std::unordered_map<std::string, std::unique_ptr<engine::EngineTimeline>>
      Timelines_;
  std::unordered_map<std::string, int> Outstanding_;
  std::unordered_map<std::uint64_t, ActiveWork> Active_;
};

} // namespace cassiashed::balancing
