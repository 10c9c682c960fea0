#pragma once

#include "cassiashed/transport/peer_transport.h"
#include "cassiashed/wire/grant_messages.h"
#include "http/asio.h"
#include "node/owner_directory.h"
#include "node/owner_service.h"
#include <memory>
#include <optional>
#include <string>

namespace cassiashed {

/// Asks owners for grants, in this process or over the peer transport, and
/// waits for the later answer to queued requests. Safe for use by several
/// threads.
class OwnerClient {
public:
  virtual ~OwnerClient() = default;

  /// The final answer: granted, or refused with a reason code. `Request.Node`
  /// is filled in. Waits at most until `Deadline`.
  virtual http::Task<GrantReplyMessage> request(GrantRequestMessage Request,
                                                TimePoint Deadline) = 0;

  /// Starts a held part at the node that granted it, or tells when it is
  /// expected to start.
  virtual http::Task<HoldState> hold(std::string Owner,
                                     GrantHoldMessage Part) = 0;

  /// Ends the wait of a request; its `request` call returns a refusal.
  virtual void giveUp(const std::string &RequestId) = 0;

  /// Ends a grant at the node that gave it.
  virtual void release(const std::string &Owner, GrantReleaseItem Item) = 0;

  /// Takes an answer to a queued request. Returns false if nobody waits for
  /// it; a grant must then be given back.
  virtual bool deliver(const GrantReplyMessage &Reply) = 0;
};

/// Reason codes of refusals that no ledger gave.
inline constexpr const char *OwnerUnknown = "owner-unknown";
inline constexpr const char *OwnerUnreachable = "owner-unreachable";
inline constexpr const char *GaveUp = "gave-up";

std::unique_ptr<OwnerClient> makeOwnerClient(std::string Node,
                                             OwnerService &Local,
                                             OwnerDirectory &Directory,
                                             PeerTransport *Peers);

} // namespace cassiashed
