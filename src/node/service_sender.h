#pragma once

#include "http/client.h"
#include "node/service_caller.h"
#include <functional>
#include <memory>

namespace cassiashed {

/// What is known after an attempt to reach a plain service.
enum class SendEnd {
  Answered, ///< the whole answer arrived
  NotSent,  ///< no byte was sent, or the service refused before any work
  Lost,     ///< sent, but no whole answer arrived
  Late,     ///< not sent because `MaySend` said no
  Nowhere,  ///< no further endpoint is in service
};

struct SendResult {
  SendEnd End = SendEnd::Nowhere;
  http::Response Reply;
};

/// Sends one call to the service's endpoints, each at most once.
class ServiceSender {
public:
  /// `Table` must outlive the sender. Each attempt uses the configuration in
  /// force at its time, so that a zone taken out meanwhile is left alone.
  ServiceSender(const ConfigTable &Table, std::string Service,
                std::size_t First)
      : Table_(Table), Service_(std::move(Service)), Next_(First) {}

  /// Tries the next endpoint. `MaySend` is asked before the first byte.
  http::Task<SendResult> sendToNext(const ServiceCall &Call,
                                    std::function<bool()> MaySend);

private:
  std::optional<http::Address> nextEndpoint();

  const ConfigTable &Table_;
  std::string Service_;
  std::size_t Next_;
  std::size_t Tried_ = 0;
};

} // namespace cassiashed
