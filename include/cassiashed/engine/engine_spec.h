#pragma once

/// Performance figures of a model engine that batches in passes.
namespace cassiashed::engine {

/// All replicas of one service share these figures; the configuration states
/// them. A pass decodes `StepsPerPass` tokens of each running request and
/// prefills waiting prompts between those steps.
struct EngineSpec {
  int Slots = 16;                      ///< requests in one batch
  double MemoryTokens = 0;             ///< KV cache; 0: unlimited
  int StepsPerPass = 1;                ///< decode steps of a pass
  double StepMs = 1;                   ///< one decode step
  double StepPerRequestMs = 0;         ///< added for each decoding request
  double StepPerThousandContextMs = 0; ///< added per 1,000 tokens of context
  double PrefillTokensPerMs = 100;
  double PrefillPairsMs =
      0; ///< per million pairs of a token and an earlier one
  double PrefillTokensPerStep = 2048; ///< most tokens prefilled in one step
};

/// Time to prefill the tokens from `Begin` to `End` of a prompt.
double prefillMs(const EngineSpec &Spec, double Begin, double End);

/// Whether a prompt takes longer to prefill than its own stream may pause. Such
/// prompts disturb the streams of an engine the most.
bool isLongPrefill(const EngineSpec &Spec, double PromptTokens,
                   double MaxTokenGapMs);

} // namespace cassiashed::engine
