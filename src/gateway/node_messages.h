#pragma once

#include "cassiashed/balancing/fleet_load.h"
#include "gateway/placement_messages.h"
#include "gateway/row_messages.h"
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Datagrams between gateways. All are hints: a lost one makes a prediction
/// worse, never a request wrong.
namespace cassiashed::gateway {

/// Raised when a message changes its meaning; others are ignored.
inline constexpr std::uint32_t NodeMessageFormat = 1;

struct WorkPart {
  std::string EndpointId;
  double PromptTokens = 0;
  double MemoryTokens = 0;
  MSGPACK_DEFINE(EndpointId, PromptTokens, MemoryTokens)
};

/// A request that was sent to endpoints. Times are relative to its sending.
struct WorkStarted {
  std::uint64_t Id = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double FirstTokenMs = 0;
  double DeadlineMs = 0;
  double MaxTokenGapMs = 0;
  double Value = 0;
  bool Urgent = true;
  std::vector<WorkPart> Parts;
  /// IP address of the node that sends the request; empty: of this message.
  std::string Requester;
  MSGPACK_DEFINE(Id, PromptTokens, OutputTokens, FirstTokenMs, DeadlineMs,
                 MaxTokenGapMs, Value, Urgent, Parts, Requester)
};

/// A row of the endpoints' table as the sender read it from the store.
struct EndpointRowChange {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Removed = false;
  MSGPACK_DEFINE(Key, Value, Version, Removed)
};

/// How an attempt ended, for the doubts that placers have about endpoints.
struct EndpointOutcomeReport {
  std::string EndpointId;
  std::uint32_t Outcome = 0; ///< balancing::EndpointOutcome
  MSGPACK_DEFINE(EndpointId, Outcome)
};

/// How complete the sender's copy of a table was, and when by the store's
/// steady clock.
struct CoverageMessage {
  std::uint32_t Table = 0; ///< catalog::Table
  std::uint64_t UpTo = 0;
  std::uint64_t LastChange = 0;
  std::uint64_t WholeReadVersion = 0;
  std::int64_t StoreTimeMs = 0;
  MSGPACK_DEFINE(Table, UpTo, LastChange, WholeReadVersion, StoreTimeMs)
};

struct CrashReport {
  std::uint64_t Content = 0;
  std::string EndpointId;
  MSGPACK_DEFINE(Content, EndpointId)
};

struct NodeMessage {
  std::uint32_t Format = NodeMessageFormat;
  std::string Node;
  std::uint64_t Incarnation = 0; ///< random, of the sender's process
  /// Newest row of each table up to which the sender misses none.
  std::uint64_t OperatorRow = 0;
  std::uint64_t EndpointRow = 0;
  /// The sender follows the endpoints' table at the store and passes news on.
  bool Following = false;
  std::vector<EndpointRowChange> EndpointRows;
  std::vector<WorkStarted> Started;
  std::vector<std::uint64_t> FirstTokens;
  std::vector<std::uint64_t> Finished;
  std::vector<CrashReport> Crashes;
  /// Endpoints that did not answer the sender just now, by id.
  std::vector<std::string> SilentEndpoints;
  /// Addresses of nodes that the sender hears, for those that cannot read the
  /// nodes' table.
  std::vector<std::string> KnownNodes;
  /// The sender asks how current the receiver's copy of the operator's table
  /// is. A stamp of its own clock; 0: no question.
  std::uint64_t FreshnessAskedAt = 0;
  /// The stamp of the question that this message answers; 0: no answer.
  std::uint64_t FreshnessAnswerTo = 0;
  /// Age of the sender's copy when it answered.
  std::int64_t OperatorAgeMs = 0;
  double CpuShare = 0;         ///< cores that the sender may use
  bool KnowsFleetLoad = false; ///< it has run long enough to place requests
  std::vector<PlacementQuestion> Questions;
  std::vector<PlacementAnswer> Answers;
  std::vector<EndpointOutcomeReport> Outcomes;
  /// EndpointRows are all changes after the first version up to the second.
  std::uint64_t RowsAfter = 0;
  std::uint64_t RowsUpTo = 0;
  /// Of tables that the sender follows; in heartbeats.
  std::vector<CoverageMessage> Coverage;
  MSGPACK_DEFINE(Format, Node, Incarnation, OperatorRow, EndpointRow, Following,
                 EndpointRows, Started, FirstTokens, Finished, Crashes,
                 SilentEndpoints, KnownNodes, FreshnessAskedAt,
                 FreshnessAnswerTo, OperatorAgeMs, CpuShare, KnowsFleetLoad,
                 Questions, Answers, Outcomes, RowsAfter, RowsUpTo, Coverage)
};

WorkStarted describeWork(const balancing::Assignment &Work);
balancing::Assignment toAssignment(const WorkStarted &Message,
                                   std::uint32_t Origin);

CoverageMessage describeClaim(const CoverageReport &Claim);
/// Nothing for values that no copy can have.
std::optional<CoverageReport> toClaim(const CoverageMessage &Note);

std::string packMessage(const NodeMessage &Message);
/// Nothing and a reason for bytes that are no message of this format.
std::optional<NodeMessage> unpackMessage(std::string_view Bytes,
                                         std::string &Reason);

} // namespace cassiashed::gateway
