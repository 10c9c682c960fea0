#pragma once

#include "cassiashed/balancing/admission.h"
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

/// Queries to placers and their replies. A placer decides on which engines the
/// requests of all nodes run.
namespace cassiashed::gateway {

/// A request that needs engines. Times count from when the query was sent.
struct PlacementQuery {
  std::uint64_t Id = 0; ///< unique over all nodes; kept by the assignment
  std::string Service;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double FirstTokenMs = 0;
  double DeadlineMs = 0;
  double MaxTokenGapMs = 0;
  double Value = 0;
  double WaitedMs = 0; ///< since the request arrived
  double TotalMs = 0;  ///< from its arrival to its deadline
  bool IsRetry = false;
  std::vector<std::string> Excluded; ///< ids of endpoints already tried
  std::vector<std::string> Regions;  ///< allowed ones; empty: all
  std::uint64_t RequestClass = 0;    ///< same service and latency objective
  MSGPACK_DEFINE(Id, Service, PromptTokens, OutputTokens, FirstTokenMs,
                 DeadlineMs, MaxTokenGapMs, Value, WaitedMs, TotalMs, IsRetry,
                 Excluded, Regions, RequestClass)
};

/// The part of a request that one endpoint runs.
struct PlacedPart {
  std::string EndpointId;
  double PromptTokens = 0;
  double ReservedTokens = 0;
  double MemoryTokens = 0;
  MSGPACK_DEFINE(EndpointId, PromptTokens, ReservedTokens, MemoryTokens)
};

struct PlacementReply {
  std::uint64_t Id = 0;             ///< of the query
  std::uint32_t Next = 0;           ///< balancing::Admission
  std::uint32_t Failure = 0;        ///< balancing::DispatchFailure
  double RetryAfterMs = 0;          ///< with a failure
  double RetryPlacementAfterMs = 0; ///< when to query again
  double FirstTokenMs = 0;          ///< predicted
  double LossToOthers = 0;
  double LossToLater = 0;
  bool Urgent = true;
  std::vector<PlacedPart> Parts; ///< the first one is at the decode engine
  MSGPACK_DEFINE(Id, Next, Failure, RetryAfterMs, RetryPlacementAfterMs,
                 FirstTokenMs, LossToOthers, LossToLater, Urgent, Parts)
};

} // namespace cassiashed::gateway
