#include "cassiashed/scheduling/endpoint_ledger.h"

#include <fmt/format.h>

/// The owner's decisions for one endpoint: one request runs, the next waits
/// for memory and starts when the first has ended.
int main() {
  using namespace cassiashed;
  using namespace cassiashed::scheduling;
  using namespace std::chrono_literals;

  TimePoint Now = std::chrono::steady_clock::now();
  LedgerOptions Options;
  Options.Endpoint = "large-a";
  const auto Ledger = makeEndpointLedger(Options);
  Ledger->setShare(Share::Full, Now);
  LoadReport Report;
  Report.Incarnation = 1;
  Report.State = EndpointState::Warm;
  Report.CapacityTokens = 10'000;
  Report.MeasuredAt = Now += 10ms;
  Ledger->report(Report, Now);

  GrantRequest Request;
  Request.RequestId = "first";
  Request.Workspace = "driver-app";
  Request.PromptTokens = 6'000;
  Request.MaxTokens = 100;
  Request.Deadline = Now + 20s;
  const OfferAnswer First = Ledger->offer(Request, Now);
  Request.RequestId = "second";
  const OfferAnswer Second = Ledger->offer(Request, Now);
  fmt::print("first granted: {}, second queued: {}\n",
             First.Result == OfferResult::Granted,
             Second.Result == OfferResult::Queued);
  Ledger->release(First.Granted->Id, GrantOutcome::Completed, Now += 2s);
  for (const Grant &Next : Ledger->poll(Now).Granted)
    fmt::print("granted now: {}\n", Next.RequestId);
}
