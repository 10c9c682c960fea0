// Measures an offer with its release on a loaded ledger:
// 200 grants and 200 waiters from 1,000 workspaces.
//
//   ledger_cost [operations]
#include "cassiashed/scheduling/endpoint_ledger.h"

#include <chrono>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <string>

using namespace cassiashed;
using namespace cassiashed::scheduling;
using namespace cassiashed::scheduling;

namespace {

constexpr int GrantCount = 200;
constexpr int WaiterCount = 200;
constexpr int WorkspaceCount = 1000;
constexpr std::uint64_t RequestTokens = 2000;

GrantRequest makeRequest(int Serial, TimePoint Now) {
  GrantRequest Request;
  Request.RequestId = fmt::format("request-{:08}", Serial);
  Request.Node = "node-1";
  Request.Workspace =
      fmt::format("workspace-{:04}", Serial * 7919 % WorkspaceCount);
  Request.PromptTokens = RequestTokens - 200;
  Request.MaxTokens = 200;
  Request.Deadline = Now + std::chrono::minutes(10);
  return Request;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const int Operations = ArgumentCount > 1 ? std::atoi(Arguments[1]) : 200000;
  LedgerOptions Options;
  Options.PrefillTokensPerSecond = 1e9;
  const auto Ledger = makeEndpointLedger(Options);
  TimePoint Now{std::chrono::hours(1)};
  LoadReport Report;
  Report.Incarnation = 1;
  Report.State = EndpointState::Warm;
  Report.CapacityTokens = GrantCount * RequestTokens * 20 / 19 + 1;
  Report.MeasuredAt = Now;
  Ledger->setShare(Share::Full, Now);
  Ledger->report(Report, Now);

  int Serial = 0;
  std::deque<std::uint64_t> Running;
  const auto Offer = [&] {
    const OfferAnswer Answer = Ledger->offer(makeRequest(Serial++, Now), Now);
    if (Answer.Granted)
      Running.push_back(Answer.Granted->Id);
  };
  for (int Count = 0; Count < GrantCount + WaiterCount; ++Count)
    Offer();

  std::chrono::nanoseconds Spent{};
  for (int Count = 0; Count < Operations; ++Count) {
    // 5 ms a request keeps all waiters below the age at which they block.
    Now += std::chrono::milliseconds(5);
    if (Count % 200 == 0) {
      Report.MeasuredAt = Now;
      Ledger->report(Report, Now);
    }
    GrantRequest Request = makeRequest(Serial++, Now);
    const auto Start = std::chrono::steady_clock::now();
    Ledger->release(Running.front(), GrantOutcome::Completed, Now);
    const LedgerEvents Events = Ledger->poll(Now);
    const OfferAnswer Answer = Ledger->offer(std::move(Request), Now);
    Spent += std::chrono::steady_clock::now() - Start;
    Running.pop_front();
    for (const Grant &Ready : Events.Granted)
      Running.push_back(Ready.Id);
    if (Answer.Granted)
      Running.push_back(Answer.Granted->Id);
  }
  const LedgerStats Stats = Ledger->stats();
  fmt::print("grants={} waiters={} refused={} offer+release+poll={:.2f} us\n",
             Stats.Running, Stats.Waiting, Stats.Refused,
             static_cast<double>(Spent.count()) / 1e3 / Operations);
}
