#pragma once

#include "cassiashed/membership/config_sync.h"
#include "cassiashed/membership/gossip.h"
#include <memory>
#include <mutex>

namespace cassiashed {

/// The membership decisions of this node. `Mutex` guards both objects; it is
/// held only for single calls, and no other lock is taken while it is held.
struct MembershipState {
  std::mutex Mutex;
  std::unique_ptr<ConfigSync> Sync;
  std::unique_ptr<Gossip> Members; ///< refers to `Sync`
};

} // namespace cassiashed
