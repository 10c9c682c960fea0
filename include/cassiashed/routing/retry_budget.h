#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

/// Limits the load that retries add when endpoints fail.
namespace cassiashed::routing {

struct RetryBudgetOptions {
  double RetriesPerAnswer = 0.1;
  /// Capacity of a model's bucket. A node at 14 requests/s
  /// with one zone of three failing has about 20 requests to retry.
  double MaxSavedRetries = 20;
  int MaxRetriesPerRequest = 2;
  /// Models with a bucket of their own; all others share one.
  std::size_t MaxModels = 256;
};

/// One token bucket per model: each answer adds a fraction of a retry, each
/// retry takes one. Prevents a retry storm when a zone fails. Not thread-safe.
///
/// ```cpp
/// if (!Budget.trySpendRetry(Model, RetriesSoFar))
///   return Error{ErrorKind::EndpointFailed, "no retries left"};
/// ```
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {}) : Options_(Options) {}

  void recordAnswer(const std::string &Model);
  /// Takes one retry from the budget. Returns false if the request must fail.
  bool trySpendRetry(const std::string &Model, int RetriesSoFar);

private:
  double &findOrCreateBucket(const std::string &Model);

  RetryBudgetOptions Options_;
  std::unordered_map<std::string, double> SavedRetries_;
};

} // namespace cassiashed::routing
