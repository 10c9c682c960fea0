#pragma once

/// Cost model of an inference engine that batches requests.
namespace cassiashed::engine {

/// Performance figures of the engines of one service, from its configuration. A
/// pass decodes `StepsPerPass` tokens of each running request and prefills
/// waiting prompts between those steps.
struct EngineSpec {
  int Slots = 16;                      ///< most requests in one batch
  double MemoryTokens = 0;             ///< KV cache; 0: unlimited
  int StepsPerPass = 1;                ///< decode steps of a pass
  double StepMs = 1;                   ///< one decode step
  double StepPerRequestMs = 0;         ///< added for each decoding request
  double StepPerThousandContextMs = 0; ///< added per 1,000 tokens of context
  double PrefillTokensPerMs = 100;
  /// Attention cost: time per million pairs of a token and an earlier one.
  double PrefillPairsMs = 0;
  double PrefillTokensPerStep = 2048; ///< most tokens prefilled in one step
};

/// Time to prefill the tokens from `Begin` to `End` of a prompt.
double prefillMs(const EngineSpec &Spec, double Begin, double End);

/// Whether the prefill of a prompt takes longer than the token gap that its own
/// stream allows. Such prompts interrupt the other streams of an engine most.
bool isLongPrefill(const EngineSpec &Spec, double PromptTokens,
                   double MaxTokenGapMs);

} // namespace cassiashed::engine
