#pragma once

#include "gateway/http_wire.h"
#include "gateway/platform_protocol.h"
#include <memory>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Memory that one request reserves at a helper.
struct ReservationPlan {
  std::string Host;
  unsigned short Port = 0;
  std::string Id; ///< unique among all nodes
  double Tokens = 0;
};

/// The reservations of one request at its helpers. Renews them until `release`,
/// or until a helper reports that the request no longer uses its memory. A
/// reservation that is not renewed expires, so memory is freed even if this
/// process ends.
class Reservations {
public:
  virtual ~Reservations() = default;
  /// Reserves at all helpers or at none. Returns false if one of them has too
  /// little free memory or does not answer.
  virtual http::Task<bool> acquire(std::vector<ReservationPlan> Plans) = 0;
  /// Records that the answer to the request has started.
  virtual void recordAnswerStarted() = 0;
  /// Ends the reservations; returns at once.
  virtual void release() = 0;
};

struct ReservationOptions {
  http::Address DecodeEngine;     ///< produces the answer
  Duration Lifetime{3000};        ///< until it expires without renewal
  Duration RenewalInterval{1000}; ///< three attempts before expiry
  Duration CallTimeout{800};
};

std::shared_ptr<Reservations> makeReservations(asio::io_context &Context,
                                               const PlatformProtocol &Protocol,
                                               ReservationOptions Options);

} // namespace cassiashed::gateway
