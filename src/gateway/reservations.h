#pragma once

#include "gateway/http_wire.h"
#include "gateway/platform_protocol.h"
#include <memory>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Memory that one request reserves at engines which help with its prompt.
struct ReservationPlan {
  std::string Host;
  unsigned short Port = 0;
  std::string Id; ///< unique over all nodes
  double Tokens = 0;
};

/// Reserves memory, renews it until `release` or until its engine says that the
/// request no longer uses it, and releases it. A reservation that is not
/// renewed lapses by itself, so memory is freed also when this process ends.
class Reservations {
public:
  virtual ~Reservations() = default;
  /// Reserves all or none. False: some engine had no room or did not answer.
  virtual http::Task<bool> acquire(std::vector<ReservationPlan> Plans) = 0;
  /// The request's answer has begun.
  virtual void recordAnswerStarted() = 0;
  /// Ends the reservations; returns at once.
  virtual void release() = 0;
};

struct ReservationOptions {
  http::Address Writer; ///< engine whose request uses the memory
  Duration Hold{3000};  ///< lapses after it without renewal
  Duration Renew{1000}; ///< three tries before a reservation lapses
  Duration CallTimeout{800};
};

std::shared_ptr<Reservations> makeReservations(asio::io_context &Context,
                                               const PlatformProtocol &Protocol,
                                               ReservationOptions Options);

} // namespace cassiashed::gateway
