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

/// Datagrams between gateways. All are best effort: a lost one makes load
/// predictions less accurate, but never a request incorrect.
namespace cassiashed::gateway {

/// Increased when the meaning of a message changes. Messages of other formats
/// are ignored.
inline constexpr std::uint32_t NodeMessageFormat = 2;

/// The load of a request on one of its endpoints.
struct AssignmentPart {
  std::string EndpointId;
  double PromptTokens = 0;
  double MemoryTokens = 0;
  MSGPACK_DEFINE(EndpointId, PromptTokens, MemoryTokens)
};

/// A request that was sent to endpoints. Times count from when it was sent.
struct AssignmentMessage {
  std::uint64_t Id = 0;
  double PromptTokens = 0;
  double OutputTokens = 0;
  double FirstTokenMs = 0;
  double DeadlineMs = 0;
  double MaxTokenGapMs = 0;
  double Value = 0;
  bool Urgent = true;
  std::vector<AssignmentPart> Parts;
  /// IP address of the node that sends the request; empty: the sender of this
  /// message.
  std::string Requester;
  MSGPACK_DEFINE(Id, PromptTokens, OutputTokens, FirstTokenMs, DeadlineMs,
                 MaxTokenGapMs, Value, Urgent, Parts, Requester)
};

/// A change of the endpoints' table as the sender read it from the store.
struct EndpointRowChange {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Removed = false;
  MSGPACK_DEFINE(Key, Value, Version, Removed)
};

/// How an attempt ended. Placers use it to suspect failing endpoints.
struct EndpointOutcomeReport {
  std::string EndpointId;
  std::uint32_t Outcome = 0; ///< balancing::EndpointOutcome
  MSGPACK_DEFINE(EndpointId, Outcome)
};

/// Encoding of a `CoverageReport`.
struct CoverageMessage {
  std::uint32_t Table = 0; ///< catalog::Table
  std::uint64_t UpTo = 0;
  std::uint64_t LastChange = 0;
  std::uint64_t WholeReadVersion = 0;
  std::int64_t StoreTimeMs = 0;
  std::uint64_t Era = 0;
  MSGPACK_DEFINE(Table, UpTo, LastChange, WholeReadVersion, StoreTimeMs, Era)
};

/// Content that was running on an endpoint when the endpoint crashed.
struct CrashReport {
  std::uint64_t Content = 0;
  std::string EndpointId;
  MSGPACK_DEFINE(Content, EndpointId)
};

struct NodeMessage {
  std::uint32_t Format = NodeMessageFormat;
  std::string Node;
  std::uint64_t Incarnation = 0; ///< random, of the sender's process
  /// Version of the newest change of each table up to which the sender misses
  /// none.
  std::uint64_t LastOperatorChange = 0;
  std::uint64_t LastEndpointChange = 0;
  /// The sender follows the endpoints' table at the store and forwards changes.
  bool Following = false;
  std::vector<EndpointRowChange> EndpointRows;
  std::vector<AssignmentMessage> Started;
  std::vector<std::uint64_t> FirstTokens;
  std::vector<std::uint64_t> Finished;
  std::vector<CrashReport> Crashes;
  /// Ids of endpoints that have just failed to answer the sender.
  std::vector<std::string> UnresponsiveEndpoints;
  /// Addresses of other nodes, for receivers that cannot read the nodes' table.
  std::vector<std::string> KnownNodes;
  /// Query for the age of the receiver's copy of the operator's table: time
  /// stamp of the sender's clock; 0: no query.
  std::uint64_t FreshnessQueryAt = 0;
  /// Time stamp of the query that this message answers; 0: no reply.
  std::uint64_t FreshnessReplyTo = 0;
  /// With a reply: age of the sender's copy.
  std::int64_t OperatorTableAgeMs = 0;
  double CpuShare = 0;         ///< cores that the sender may use
  bool KnowsFleetLoad = false; ///< has run long enough to place requests
  std::vector<PlacementQuery> PlacementQueries;
  std::vector<PlacementReply> PlacementReplies;
  std::vector<EndpointOutcomeReport> Outcomes;
  /// `EndpointRows` holds all changes after version `RowsAfter` up to
  /// `RowsUpTo`.
  std::uint64_t RowsAfter = 0;
  std::uint64_t RowsUpTo = 0;
  /// In heartbeats: coverage of the tables that the sender follows.
  std::vector<CoverageMessage> Coverage;
  /// Eras of the store to which `LastOperatorChange`, `LastEndpointChange` and
  /// `EndpointRows` belong.
  std::uint64_t OperatorEra = 0;
  std::uint64_t EndpointEra = 0;
  std::uint64_t RowsEra = 0;

  catalog::StoreVersion lastOperatorChange() const {
    return {OperatorEra, LastOperatorChange};
  }
  catalog::StoreVersion lastEndpointChange() const {
    return {EndpointEra, LastEndpointChange};
  }
  MSGPACK_DEFINE(Format, Node, Incarnation, LastOperatorChange,
                 LastEndpointChange, Following, EndpointRows, Started,
                 FirstTokens, Finished, Crashes, UnresponsiveEndpoints,
                 KnownNodes, FreshnessQueryAt, FreshnessReplyTo,
                 OperatorTableAgeMs, CpuShare, KnowsFleetLoad, PlacementQueries,
                 PlacementReplies, Outcomes, RowsAfter, RowsUpTo, Coverage,
                 OperatorEra, EndpointEra, RowsEra)
};

AssignmentMessage toAssignmentMessage(const balancing::Assignment &Assignment);
balancing::Assignment toAssignment(const AssignmentMessage &Message,
                                   std::uint32_t Origin);

CoverageMessage toCoverageMessage(const CoverageReport &Report);
/// Returns nothing if the values are out of range.
std::optional<CoverageReport> toCoverageReport(const CoverageMessage &Message);

std::string packMessage(const NodeMessage &Message);
/// Returns nothing and sets `Reason` if the bytes are not a valid message of
/// this format.
std::optional<NodeMessage> unpackMessage(std::string_view Bytes,
                                         std::string &Reason);

} // namespace cassiashed::gateway
