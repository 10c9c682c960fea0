#include "cassiashed/engine/engine_spec.h"

namespace cassiashed::engine {

double prefillMs(const EngineSpec &Spec, double Begin, double End) {
  const double Pairs = (End * End - Begin * Begin) / 2 / 1e6;
  return (End - Begin) / Spec.PrefillTokensPerMs + Pairs * Spec.PrefillPairsMs;
}

bool isLongPrefill(const EngineSpec &Spec, double PromptTokens,
                   double MaxTokenGapMs) {
  return prefillMs(Spec, 0, PromptTokens) > MaxTokenGapMs;
}

} // namespace cassiashed::engine
