#pragma once

#include "gateway/gateway_state.h"
#include <memory>
#include <string>

namespace cassiashed::gateway {

/// Accepts the connections of callers and serves their requests in turn.
class CallerServer {
public:
  virtual ~CallerServer() = default;
  /// Closes the connections that wait for a request; later ones are closed
  /// after their answer.
  virtual void closeIdle() = 0;
  virtual std::size_t connectionCount() const = 0;
};

/// Returns null and sets `Reason` if the address cannot be used.
std::unique_ptr<CallerServer> startCallerServer(GatewayState &State,
                                                const HostPort &Address,
                                                std::string &Reason);

} // namespace cassiashed::gateway
