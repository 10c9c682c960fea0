#pragma once

#include "cassiashed/wire/body.h"
#include <array>
#include <vector>

/// Bodies of the messages about grants between entry nodes and owners.
namespace cassiashed {

enum class GrantStatus { Granted, Queued, Refused };

/// How a grant was used, as far as the owner needs to know.
enum class GrantOutcome { Completed, Cancelled, EndpointFailed, NotSent };

} // namespace cassiashed
CASSIASHED_MSGPACK_ENUM(cassiashed::GrantStatus,
                        cassiashed::GrantStatus::Refused)
CASSIASHED_MSGPACK_ENUM(cassiashed::GrantOutcome,
                        cassiashed::GrantOutcome::NotSent)
namespace cassiashed {

/// Names carry `Message` where `scheduling` has a structure of that name.
struct GrantRequestMessage {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Endpoint;
  std::string Node; ///< entry node, for `GrantReady` and cleaning up
  std::string Workspace;
  double Weight = 1;
  std::uint32_t Priority = 0;
  std::uint32_t LengthClass = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t DeadlineMs = 0; ///< time left when the message was sent
  std::string ContentHash;
  /// Above 0: one part of a prompt that needs several engines. The memory is
  /// kept free until `GrantHoldMessage` starts it, at most for this time.
  std::uint64_t HoldMs = 0;
  MSGPACK_DEFINE(RequestId, Attempt, Endpoint, Node, Workspace, Weight,
                 Priority, LengthClass, PromptTokens, MaxTokens, CachedTokens,
                 DeadlineMs, ContentHash, HoldMs)
};

/// Answer to a `GrantRequestMessage`; as `GrantReady` the later answer to a
/// queued one.
struct GrantReplyMessage {
  GrantStatus Status = GrantStatus::Refused;
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Endpoint;
  std::uint64_t GrantId = 0;
  std::uint64_t EndpointIncarnation = 0;
  std::uint64_t Epoch = 0;    ///< fencing number of the owner
  std::uint64_t Tokens = 0;   ///< reserved memory
  std::uint64_t SendByMs = 0; ///< time in which the attempt must be sent
  std::uint64_t ExpiryMs = 0; ///< from the start of the request message
  std::string ReasonCode;     ///< when refused
  std::uint64_t FreeTokens = 0;
  std::uint64_t PredictedWaitMs = 0;
  std::array<std::uint32_t, 4> StartMs{}; ///< wait for prefill by length class
  std::string Owner; ///< when refused because another node is the owner
  MSGPACK_DEFINE(Status, RequestId, Attempt, Endpoint, GrantId,
                 EndpointIncarnation, Epoch, Tokens, SendByMs, ExpiryMs,
                 ReasonCode, FreeTokens, PredictedWaitMs, StartMs, Owner)
};

/// `GrantId` 0 cancels an attempt that was offered and is not known to be
/// granted.
struct GrantReleaseItem {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Endpoint;
  std::uint64_t GrantId = 0;
  GrantOutcome Outcome = GrantOutcome::Completed;
  std::uint64_t Tokens = 0; ///< generated
  MSGPACK_DEFINE(RequestId, Attempt, Endpoint, GrantId, Outcome, Tokens)
};

/// Starts a held part, or tells when it is expected to start.
struct GrantHoldMessage {
  std::string Endpoint;
  std::uint64_t GrantId = 0;
  bool Start = false;
  std::uint64_t ExpectedInMs = 0; ///< if it does not start now
  MSGPACK_DEFINE(Endpoint, GrantId, Start, ExpectedInMs)
};

enum class HoldState { Started, Pending, Gone };

} // namespace cassiashed
CASSIASHED_MSGPACK_ENUM(cassiashed::HoldState, cassiashed::HoldState::Gone)
namespace cassiashed {

struct GrantHoldReply {
  HoldState State = HoldState::Gone;
  MSGPACK_DEFINE(State)
};

struct GrantReleaseMessage {
  std::vector<GrantReleaseItem> Items;
  MSGPACK_DEFINE(Items)
};

/// Sent by an owner that hands over endpoints to the new owner, which adopts
/// the grants and the waiting requests.
struct HandoverGrant {
  GrantRequestMessage Request;
  std::uint64_t GrantId = 0; ///< 0: waiting
  std::uint64_t Tokens = 0;
  std::uint64_t EndpointIncarnation = 0;
  MSGPACK_DEFINE(Request, GrantId, Tokens, EndpointIncarnation)
};

struct HandoverMessage {
  std::string Endpoint;
  std::uint64_t Epoch = 0; ///< epoch of the owner that hands over
  std::vector<HandoverGrant> Grants;
  MSGPACK_DEFINE(Endpoint, Epoch, Grants)
};

} // namespace cassiashed
