#pragma once

#include "gateway/gateway_state.h"
#include <memory>

namespace cassiashed::gateway {

/// A request that was read whole.
struct ReceivedRequest {
  std::string Method;
  std::string Target;   ///< path and query as sent
  http::Headers Fields; ///< without those of the connection
  std::string Body;
  bool HasBody = false;
  bool IsOldVersion = false; ///< HTTP/1.0: no chunks
  bool KeepAlive = true;
  TimePoint ReceivedAt;
};

/// Serves one request: chooses endpoints, sends it, passes the answer on, and
/// gives exactly one final answer. Returns whether the caller's connection can
/// carry another request.
http::Task<bool> serveRequest(GatewayState &State, Tcp::socket &Caller,
                              ReceivedRequest &Request);

/// Sends an answer of the gateway's own. Returns false if the caller is gone.
http::Task<bool> sendOwnAnswer(GatewayState &State, Tcp::socket &Caller,
                               int Status, const std::string &AttemptId,
                               std::optional<Duration> RetryAfter,
                               bool KeepAlive, std::string Message);

} // namespace cassiashed::gateway
