#pragma once

#include "cassiashed/balancing/placement.h"
#include "cassiashed/engine/engine_timeline.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cassiashed::balancing {

/// Part of a request at an endpoint. The endpoint is identified by its id,
/// which is the same at all nodes.
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

/// Requests in flight at every endpoint, as far as this node knows. Matters
/// when several nodes send to the same endpoints: a node's own requests
/// count at once, those of other nodes when they are reported. Not thread-safe.
class FleetLoad {
public:
  explicit FleetLoad(PlacementOptions Options = {}) : Options_(Options) {}

  /// The timeline of an endpoint of a model service, created on first use.
  engine::EngineTimeline &timeline(const std::string &EndpointId,
                                   const engine::EngineSpec &Spec);
  /// Requests in flight at an endpoint, from all nodes.
  int outstanding(const std::string &EndpointId) const;

  /// Called with every request that is recorded for the first time.
  void setOnNewRequest(std::function<void(const Assignment &)> Callback) {
    OnNewRequest_ = std::move(Callback);
  }
  /// Records a request that was sent; replaces an earlier one with its id.
  void assign(const Assignment &Assigned, TimePoint Now);
  /// The decode engine's endpoint of a request; null if the request is unknown.
  const std::string *decodeEndpointOf(std::uint64_t Id) const;
  /// Records that the request produced its first token.
  void markStarted(std::uint64_t Id, TimePoint Now);
  void finish(std::uint64_t Id, TimePoint Now);
  /// Removes the requests of node `Origin`, which stopped or was replaced.
  void finishAllFromNode(std::uint32_t Origin, TimePoint Now);
  /// Removes an endpoint and what runs there.
  void removeEndpoint(const std::string &EndpointId);
  /// Removes requests past their deadline, in case their end is never reported.
  void expire(TimePoint Now);

  std::size_t assignmentCount() const { return Active_.size(); }

private:
  struct ActiveAssignment {
    Assignment Assigned;
    TimePoint ExpiresAt;
  };
  void removeParts(const Assignment &Assigned, TimePoint Now);

  PlacementOptions Options_;
  std::function<void(const Assignment &)> OnNewRequest_;
  std::unordered_map<std::string, std::unique_ptr<engine::EngineTimeline>>
      Timelines_;
  std::unordered_map<std::string, int> Outstanding_;
  std::unordered_map<std::uint64_t, ActiveAssignment> Active_;
};

} // namespace cassiashed::balancing
