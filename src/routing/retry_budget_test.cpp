#include "cassiashed/routing/retry_budget.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::routing;

// Guards against a retry storm: when every attempt fails, retries must stay at
// the capacity of the bucket plus a tenth of the answers.
TEST_CASE("retries are bounded when a zone fails") {
  RetryBudget Budget;
  int Retries = 0;
  for (int Request = 0; Request < 1'000; ++Request)
    for (int Retry = 0; Budget.trySpendRetry("m", Retry); ++Retry)
      ++Retries;
  CHECK(Retries == 20);
  for (int Answer = 0; Answer < 100; ++Answer)
    Budget.recordAnswer("m");
  for (int Request = 0; Request < 1'000; ++Request)
    for (int Retry = 0; Budget.trySpendRetry("m", Retry); ++Retry)
      ++Retries;
  CHECK(Retries == 30);
  // The failures of one model do not use the budget of another.
  CHECK(Budget.trySpendRetry("other", 0));
  CHECK_FALSE(Budget.trySpendRetry("other", 2));
}
