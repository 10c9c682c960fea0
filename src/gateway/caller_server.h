#pragma once

#include "gateway/gateway_state.h"
#include <memory>
#include <string>

namespace cassiashed::gateway {

/// Accepts connections from callers and serves the requests on each of them one
/// after the other.
class CallerServer {
public:
  virtual ~CallerServer() = default;
  /// Closes the connections that wait for a request. The others close after
  /// their answer if the process is stopping.
  virtual void closeIdle() = 0;
  /// Closes the listening socket, unless a connection waits in its queue; that
  /// one is served. Returns whether the socket is closed.
  virtual bool stopAccepting() = 0;
  virtual std::size_t connectionCount() const = 0;
  /// Connections that were closed for others since the start.
  virtual std::uint64_t evictionCount() const = 0;
  /// Connections with bytes of their callers that were not read.
  virtual std::size_t unreadCount() const = 0;
};

/// Returns null and sets `Reason` if the address cannot be used.
std::unique_ptr<CallerServer> startCallerServer(GatewayState &State,
                                                const HostPort &Address,
                                                std::string &Reason);

} // namespace cassiashed::gateway
