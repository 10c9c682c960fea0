#pragma once

#include "gateway/gateway_state.h"
#include <memory>

namespace cassiashed::gateway {

/// A caller's request, read completely.
struct ReceivedRequest {
  std::string Method;
  std::string Target;   ///< path and query as sent
  http::Headers Fields; ///< end-to-end fields only
  std::string Body;
  bool HasBody = false;
  bool IsHttp10 = false; ///< does not accept chunked answers
  bool KeepAlive = true;
  bool IsFollowed = false; ///< bytes of the next request arrived with it
  TimePoint ReceivedAt;
  http::MemoryHolder *Memory = nullptr; ///< holds what the request takes
};

/// Serves one request: chooses endpoints, forwards the request, retries, and
/// relays the answer. Sends exactly one final answer. Returns whether the
/// caller's connection can carry another request.
http::Task<bool> serveRequest(GatewayState &State, Tcp::socket &Caller,
                              ReceivedRequest &Request);

/// Answers the requests whose answer has not started, because the process is
/// about to end: 503 if no endpoint received the request, 502 otherwise.
void endUnansweredRequests(GatewayState &State);

/// An error answer that the gateway itself produces.
struct ErrorAnswer {
  int Status = 500;
  std::string AttemptId; ///< empty: unknown
  std::optional<Duration> RetryAfter;
  bool KeepAlive = false;
  bool HasBody = true; ///< false if the request is a HEAD
  std::string Message;
};

/// Sends an error answer. Returns false if the caller disconnected.
http::Task<bool> sendErrorAnswer(GatewayState &State, Tcp::socket &Caller,
                                 ErrorAnswer Answer);

} // namespace cassiashed::gateway
