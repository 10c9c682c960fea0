#pragma once

#include "cassiashed/membership/ownership.h"
#include "cassiashed/store/platform_client.h"
#include "cassiashed/transport/peer_transport.h"
#include "http/asio.h"
#include "node/config_table.h"
#include "node/membership_state.h"
#include "node/owner_directory.h"
#include "node/owner_service.h"
#include <boost/asio/thread_pool.hpp>
#include <memory>

namespace cassiashed {

/// Leases and the ownership of endpoints: carries out what the ownership
/// decisions ask for and applies the resulting shares.
class OwnershipService : public OwnerDirectory {
public:
  virtual void start() = 0;
  virtual void configure(const ConfigInForce &Config) = 0;

  virtual Message answerPromise(const ReceivedMessage &Received) = 0;
  virtual Message answerRelease(const ReceivedMessage &Received) = 0;

  /// What this node may use of an endpoint at this moment.
  virtual Share shareNow(const std::string &Endpoint) const = 0;

  /// Whether the owner of at least half of the endpoints is known from the
  /// table.
  virtual bool knowsOwners() const = 0;

  /// Hands over all endpoints; `isReleased` tells when that is done.
  virtual void beginShutdown() = 0;
  virtual bool isReleased() const = 0;

  /// A process with the same name and a higher incarnation took over.
  virtual bool isSuperseded() const = 0;
};

/// The ledger's word for a share.
scheduling::Share toLedgerShare(Share Value);

struct OwnershipParts {
  http::asio::io_context &Context;
  http::asio::thread_pool &Blocking;
  PlatformClient &Platform;
  PeerTransport &Peers;
  MembershipState &State;
  OwnerService &Owners;
  OwnershipOptions Options;
  std::string Region;
};

/// The parts must outlive the service.
std::shared_ptr<OwnershipService> makeOwnershipService(OwnershipParts Parts);

} // namespace cassiashed
