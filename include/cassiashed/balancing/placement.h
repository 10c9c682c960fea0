#pragma once

#include "cassiashed/engine/engine_timeline.h"
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cassiashed::balancing {

struct PlacementOptions {
  /// Share of a request's value that remains when it is late.
  double LateValueFraction = 0.25;
  /// Most engines that prefill one prompt, including the decode engine.
  std::size_t MaxEngines = 17;
  /// Shorter prompts are not split: each helper costs a message and a wait for
  /// its pass.
  double MinSplitTokens = 16000;
  /// Share of an engine's free memory that may be planned; the rest covers
  /// requests that other nodes sent and have not reported yet.
  double UsableMemory = 0.9;
  /// Loss for each helper, as a share of the request's value.
  double HelperCost = 0.002;
};

/// One engine that could run the request.
struct EngineCandidate {
  engine::EngineTimeline *Timeline = nullptr;
  double TransitMs = 0;        ///< one-way network delay from this node
  double SuspicionPenalty = 0; ///< expected loss, from its suspicion
  bool CanHelp = true;         ///< may prefill parts of split prompts
};

struct PlacementRequest {
  std::uint64_t Id = 0;
  /// Equal for requests with the same service and objective.
  std::uint64_t RequestClass = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double FirstTokenMs = 0; ///< remaining time until it is late
  double DeadlineMs = 0;   ///< remaining time until it has no value
  double MaxTokenGapMs = 0;
  double Value = 1;
  bool Urgent = true; ///< admitted before waiting requests that are not
};

/// Part of a request at one engine.
struct PromptPart {
  std::size_t Candidate = 0;
  double PromptTokens = 0;   ///< to prefill there
  double ReservedTokens = 0; ///< to reserve before sending; 0: none
  double MemoryTokens = 0;   ///< memory that the request uses there
};

struct Placement {
  std::vector<PromptPart> Parts; ///< the first one is the decode engine's
  double FirstTokenMs = 0;       ///< predicted, from now
  double Loss = 0;               ///< value lost by the request and by others
  double LossToOthers = 0;       ///< value lost by requests already there
  double LossToLater = 0;        ///< value lost by requests still to come
};

/// Why the last choice of engines that was tried is not possible.
enum class PlacementFailureReason {
  None,
  Helpers, ///< too few engines can help
  Memory,  ///< the engines have too little free memory
  Time,    ///< the first token would come after the deadline
  Length   ///< even idle engines lack the time or memory
};
std::string_view nameOf(PlacementFailureReason Reason);

/// Chooses the engines with the least loss of value. Choices that produce the
/// first token before the deadline are preferred. Matters when engines serve
/// prompts of very different lengths: a long prompt is split over enough
/// engines to keep the token gaps of their streams within the limits. Returns
/// nothing if the engines lack the memory or too few can help; `FailureReason`
/// is then set.
std::optional<Placement>
choosePlacement(const PlacementRequest &Request,
                const std::vector<EngineCandidate> &Candidates,
                const engine::EngineSpec &Spec, TimePoint Now,
                const PlacementOptions &Options = {},
                PlacementFailureReason *FailureReason = nullptr);

/// Whether `EngineCount` idle engines would have the memory and the time for a
/// prompt.
bool couldRunWhenIdle(const PlacementRequest &Request,
                      const engine::EngineSpec &Spec, std::size_t EngineCount,
                      const PlacementOptions &Options = {});

/// Most free memory that one prompt could use, over as many engines as may
/// share a prompt.
double freeTokens(const std::vector<EngineCandidate> &Candidates,
                  const engine::EngineSpec &Spec,
                  const PlacementOptions &Options = {});

/// Makes the job for one part of a placed request at its engine.
engine::EngineJob makeJob(const PlacementRequest &Request,
                          const PromptPart &Part, bool IsDecodeEngine,
                          TimePoint Now, const PlacementOptions &Options = {});

} // namespace cassiashed::balancing
