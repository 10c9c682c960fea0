#pragma once

#include "cassiashed/balancing/admission.h"
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

/// Questions to a placer and its answers.
namespace cassiashed::gateway {

/// A request that needs engines. Times are relative to the question.
struct PlacementQuestion {
  std::uint64_t Id = 0; ///< unique over all nodes; the work gets the same one
  std::string Service;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double FirstTokenMs = 0;
  double DeadlineMs = 0;
  double MaxTokenGapMs = 0;
  double Value = 0;
  double WaitedMs = 0; ///< since the request arrived
  double TotalMs = 0;  ///< that it had then
  bool IsRetry = false;
  std::vector<std::string> Excluded; ///< endpoints already tried
  std::vector<std::string> Regions;  ///< allowed ones; empty: all
  std::uint64_t RequestClass = 0;    ///< of requests that promise the same
  MSGPACK_DEFINE(Id, Service, PromptTokens, OutputTokens, FirstTokenMs,
                 DeadlineMs, MaxTokenGapMs, Value, WaitedMs, TotalMs, IsRetry,
                 Excluded, Regions, RequestClass)
};

struct PlacedPart {
  std::string EndpointId;
  double PromptTokens = 0;
  double ReservedTokens = 0;
  double MemoryTokens = 0;
  MSGPACK_DEFINE(EndpointId, PromptTokens, ReservedTokens, MemoryTokens)
};

struct PlacementAnswer {
  std::uint64_t Id = 0;             ///< of the question
  std::uint32_t Next = 0;           ///< balancing::Admission
  std::uint32_t Failure = 0;        ///< balancing::DispatchFailure
  double RetryAfterMs = 0;          ///< with a failure
  double RetryPlacementAfterMs = 0; ///< when to ask again
  double FirstTokenMs = 0;          ///< predicted
  double LossToOthers = 0;
  double LossToLater = 0;
  bool Urgent = true;
  std::vector<PlacedPart> Shares; ///< the first one writes the answer
  MSGPACK_DEFINE(Id, Next, Failure, RetryAfterMs, RetryPlacementAfterMs,
                 FirstTokenMs, LossToOthers, LossToLater, Urgent, Shares)
};

} // namespace cassiashed::gateway
