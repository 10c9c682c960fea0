#include "cassiashed/routing/retry_budget.h"

#include <algorithm>

namespace cassiashed::routing {

double &RetryBudget::findOrCreateBucket(const std::string &Model) {
  const auto Found = SavedRetries_.find(Model);
  if (Found != SavedRetries_.end())
    return Found->second;
  // Buckets start full so that an idle node can retry its first failures.
  const bool HasRoom = SavedRetries_.size() < Options_.MaxModels;
  return SavedRetries_
      .emplace(HasRoom ? Model : std::string(), Options_.MaxSavedRetries)
      .first->second;
}

void RetryBudget::recordAnswer(const std::string &Model) {
  double &Saved = findOrCreateBucket(Model);
  Saved = std::min(Options_.MaxSavedRetries, Saved + Options_.RetriesPerAnswer);
}

bool RetryBudget::trySpendRetry(const std::string &Model, int RetriesSoFar) {
  if (RetriesSoFar >= Options_.MaxRetriesPerRequest)
    return false;
  double &Saved = findOrCreateBucket(Model);
  // Rounding: ten answers of 0.1 add up to slightly less than 1.
  if (Saved < 1 - 1e-9)
    return false;
  Saved = std::max(0.0, Saved - 1);
  return true;
}

} // namespace cassiashed::routing
