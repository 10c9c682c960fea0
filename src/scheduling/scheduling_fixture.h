#pragma once

#include "cassiashed/scheduling/endpoint_ledger.h"

#include <string>
#include <utility>

/// Requests and reports for the tests of this module.
namespace cassiashed::scheduling::fixture {

inline constexpr TimePoint Begin{std::chrono::hours(1)};

inline GrantRequest requestOf(std::string Id, std::uint64_t Prompt,
                              std::uint64_t Output,
                              std::string Workspace = std::string(1, 'w')) {
  GrantRequest Request;
  Request.RequestId = std::move(Id);
  Request.Node = Workspace;
  Request.Workspace = std::move(Workspace);
  Request.PromptTokens = Prompt;
  Request.MaxTokens = Output;
  Request.Class = classOf(Prompt);
  Request.Deadline = Begin + std::chrono::minutes(10);
  return Request;
}

inline LoadReport reportOf(std::uint64_t Incarnation, EndpointState State,
                           std::uint64_t Capacity, TimePoint MeasuredAt) {
  LoadReport Report;
  Report.Incarnation = Incarnation;
  Report.State = State;
  Report.CapacityTokens = Capacity;
  Report.MeasuredAt = MeasuredAt;
  return Report;
}

inline std::unique_ptr<EndpointLedger> warmLedger(LedgerOptions Options,
                                                  std::uint64_t Capacity) {
  auto Ledger = makeEndpointLedger(std::move(Options));
  Ledger->setShare(Share::Full, Begin);
  Ledger->report(reportOf(1, EndpointState::Warm, Capacity, Begin), Begin);
  return Ledger;
}

} // namespace cassiashed::scheduling::fixture
