#pragma once

#include "cassiashed/balancing/placement.h"
#include "cassiashed/balancing/reservation_tracker.h"
#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/endpoint.h"
#include "cassiashed/catalog/service_config.h"
#include "cassiashed/catalog/table_replica.h"
#include "http/message.h"
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What a gateway needs to know of the protocol of its surroundings. An
/// adapter implements it; it translates and decides nothing.
namespace cassiashed::gateway {

/// What the head of a caller's request says.
struct CallerHead {
  std::string AttemptId;            ///< empty: none was sent
  std::optional<Duration> Deadline; ///< how long the caller waits
  std::string ApiKey;               ///< empty: none was sent
  std::string LastEventId;          ///< a stream resumed by the caller
  double PromptTokens = 0;          ///< 0: not a prompt
  double OutputTokens = 0;          ///< expected
  double MaxOutputTokens = 0;
};

/// Memory of a reservation at a helper, or none.
struct HelperAssignment {
  std::string Address;       ///< ip:port
  std::string ReservationId; ///< empty: it only prefills
};

/// What the gateway adds to a request that it sends to an endpoint.
struct Forwarding {
  std::string EndpointId;
  std::string Workspace;   ///< empty: none
  Duration Left{0};        ///< until the caller gives up
  int Priority = 5;        ///< 0 (first) to 9, at the engine
  std::string LastEventId; ///< resume after this event; empty: from the start
  std::vector<HelperAssignment> Helpers;
};

/// What the head of an endpoint's answer says.
struct EndpointHead {
  bool NotRun = false;             ///< the endpoint states that it did not run
  bool WrongEndpoint = false;      ///< another replica has the address
  bool Signed = false;             ///< an answer of the replica's work
  std::string AttemptId;           ///< request that it answers; empty: unknown
  std::optional<Duration> ColdFor; ///< the endpoint says it is cold
  std::string FaultyAddress;       ///< another endpoint that caused a failure
};

/// A row of the operator's table.
struct ZoneOutOrder {
  std::string Zone;
};
using OperatorRow =
    std::variant<std::monostate, catalog::ServiceConfig, ZoneOutOrder>;

class PlatformProtocol {
public:
  virtual ~PlatformProtocol() = default;

  virtual CallerHead readCallerHead(const http::Headers &Fields) const = 0;
  /// Header fields of the request to an endpoint: the caller's, except those
  /// of the connection, and what `Added` says.
  virtual http::Headers forwardFields(const http::Headers &FromCaller,
                                      const Forwarding &Added) const = 0;
  virtual EndpointHead readEndpointHead(int Status,
                                        const http::Headers &Fields) const = 0;
  /// Header fields of an answer of the gateway's own.
  virtual http::Headers
  refusalFields(const std::string &AttemptId,
                std::optional<Duration> RetryAfter) const = 0;

  virtual http::Request reserveOrder(const std::string &ReservationId,
                                     double Tokens, Duration Hold) const = 0;
  virtual http::Request
  releaseOrder(const std::string &ReservationId) const = 0;
  /// Asks an engine what it is doing.
  virtual http::Request reportCall() const = 0;
  /// What the answer to `reportCall` says of a reservation.
  virtual balancing::ReservationState
  readReservationState(const std::string &Report,
                       const std::string &ReservationId) const = 0;

  /// Rows of the store. Nothing and a reason if a row cannot be used.
  virtual std::optional<OperatorRow>
  decodeOperatorRow(const catalog::Row &Entry, std::string &Reason) const = 0;
  virtual std::optional<catalog::Endpoint>
  decodeEndpoint(const catalog::Row &Entry, std::string &Reason) const = 0;
  /// The zone that an operator's row key takes out; empty for other rows.
  virtual std::string zoneOfOperatorKey(const std::string &Key) const = 0;
};

} // namespace cassiashed::gateway
