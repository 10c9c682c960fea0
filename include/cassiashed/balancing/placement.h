#pragma once

#include "cassiashed/engine/engine_timeline.h"
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Which engines run a request.
namespace cassiashed::balancing {

struct PlacementOptions {
  /// Share of a request's value that remains when it is late.
  double LateShare = 0.25;
  /// Most engines that read one prompt, the first included.
  std::size_t MaxEngines = 17;
  /// Prompts below it are read by one engine: a helper costs a message and a
  /// wait for its pass.
  double MinSplitTokens = 16000;
  /// Part of an engine's free memory that is planned with; the rest covers
  /// work that other nodes have just sent.
  double UsableMemory = 0.9;
  /// Value of one more engine that takes part, relative to the request's.
  double HelperCost = 0.002;
};

/// One engine that could run the request.
struct EngineCandidate {
  engine::EngineTimeline *Timeline = nullptr;
  double TransitMs = 0;        ///< one way from this node
  double SuspicionPenalty = 0; ///< value lost by using it, for doubts about it
  bool CanHelp = true;
};

struct PlacementRequest {
  std::uint64_t Id = 0;
  /// Requests that promise the same are of one kind.
  std::uint64_t RequestClass = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double FirstTokenMs = 0; ///< time left to be on time
  double DeadlineMs = 0;   ///< time left until the answer is worthless
  double MaxTokenGapMs = 0;
  double Value = 1;
  bool Urgent = true; ///< admitted before waiting requests that are not
};

/// Part of a request at one engine.
struct PromptPart {
  std::size_t Candidate = 0;
  double PromptTokens = 0;   ///< that it reads
  double ReservedTokens = 0; ///< memory to reserve there; 0: none
  double MemoryTokens = 0;   ///< memory that the request holds there
};

struct Placement {
  std::vector<PromptPart> Parts; ///< the first one writes the answer
  double FirstTokenMs = 0;       ///< predicted, from now
  double Loss = 0;               ///< value lost by the request and by others
  double LossToOthers = 0;       ///< value lost by requests already there
  double LossToLater = 0;        ///< value lost by requests still to come
};

/// What stood against the last choice of engines that was tried.
enum class PlacementFailureReason {
  None,
  Helpers, ///< too few engines may help
  Memory,  ///< the engines have too little free memory
  Time,    ///< the first token would come after the deadline
  Length   ///< idle engines could not read it in time either
};
std::string_view nameOf(PlacementFailureReason PlacementReason);

/// Chooses the engines with the least loss of value among those that produce
/// the first token before the deadline, if there are any. Load: prompts of very
/// different lengths on the same engines; a long prompt is split over as many
/// engines as keeps the pauses of the streams there within their limits.
/// Returns nothing if no engines have the memory; `PlacementReason` then says
/// what stood against the last choice.
std::optional<Placement>
choosePlacement(const PlacementRequest &Request,
                const std::vector<EngineCandidate> &Candidates,
                const engine::EngineSpec &Spec, TimePoint Now,
                const PlacementOptions &Options = {},
                PlacementFailureReason *PlacementReason = nullptr);

/// Whether `Engines` idle engines would have the memory and the time for a
/// prompt.
bool couldRunWhenIdle(const PlacementRequest &Request,
                      const engine::EngineSpec &Spec, std::size_t Engines,
                      const PlacementOptions &Options = {});

/// Memory that one prompt can have at the engines with the most of it.
double freeTokens(const std::vector<EngineCandidate> &Candidates,
                  const engine::EngineSpec &Spec,
                  const PlacementOptions &Options = {});

/// The job that a part of a placed request is at its engine.
engine::EngineJob makeJob(const PlacementRequest &Request,
                          const PromptPart &Part, bool Writes, TimePoint Now,
                          const PlacementOptions &Options = {});

} // namespace cassiashed::balancing
