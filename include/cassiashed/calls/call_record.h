#pragma once

#include "cassiashed/store/table_service.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Row that records a non-idempotent call, and what a node may do on finding
/// one. Rules: a row is written as `started` before anything is sent, only the
/// attempt named in it sends, nobody takes over a `started` row, and a row
/// that says `not-run` may be claimed by a conditional write on its version.
namespace cassiashed {

enum class CallState { Started, Done, NotRun };

std::string_view nameOf(CallState State);

/// Longest answer kept in the row; longer ones go to the object store.
inline constexpr std::size_t MaxInlineAnswer = 16 * 1024;

/// Rows older than this are deleted by `isExpired`. It is also the time after
/// which a key may run again, so an attempt must not be able to send so late.
inline constexpr std::chrono::hours CallExpiry{24};

/// The answer of an endpoint to a call.
struct CallOutcome {
  int Status = 0;
  std::string ContentType;
  std::string Body;       ///< empty if `ObjectName` is set
  std::string ObjectName; ///< of the object that holds the body
};

/// One row, stored as JSON.
struct CallRecord {
  CallState State = CallState::Started;
  std::string Attempt; ///< unique over all nodes and incarnations
  std::string Node;    ///< that wrote the row
  std::uint64_t Incarnation = 0;
  std::string RequestHash;
  std::int64_t StartedMs = 0; ///< Unix time, only used for the expiry
  bool Closed = false;        ///< `Started`: no outcome will follow
  CallOutcome Outcome;        ///< only with `Done`
};

std::string formatCallRecord(const CallRecord &Record);
std::optional<CallRecord> parseCallRecord(std::string_view Text,
                                          std::string &Reason);

/// Key of the row: `call/<workspace>/<hash of the idempotency key>`.
std::string callRowKey(std::string_view Workspace,
                       std::string_view IdempotencyKey);

/// True if both texts are records of the same attempt in the same state, that
/// is, if a write whose reply was lost took effect.
bool isSameWrite(std::string_view Written, std::string_view Found);

/// True if a cleaner may delete the row (on condition of its version).
bool isExpired(const CallRecord &Record, std::int64_t NowMs);

enum class CallDecision {
  Claim,    ///< write `started` on condition of the row's version
  Claimed,  ///< this attempt holds the claim and may send
  Replay,   ///< answer with the recorded outcome
  Wait,     ///< another attempt runs; read again later
  Unknown,  ///< another attempt may have run and no outcome will follow
  Conflict, ///< the key was used for another request
};

struct RowFinding {
  CallDecision Decision = CallDecision::Unknown;
  CallRecord Record; ///< empty if the row is absent or unreadable
};

/// Whether a process is still running, by node name and incarnation.
using WriterLives =
    std::function<bool(const std::string &Node, std::uint64_t Incarnation)>;

/// What the attempt may do on finding a row (version 0: absent). A row that
/// cannot be parsed is never overwritten.
RowFinding decideOnRow(const TableRow &Row, const std::string &Attempt,
                       const std::string &RequestHash,
                       const WriterLives &IsAlive);

} // namespace cassiashed
