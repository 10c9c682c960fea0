#pragma once

#include "cassiashed/balancing/load_estimate.h"
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

/// Interface to the protocol of the platform that the gateway serves. Its
/// adapter only translates and makes no decisions.
namespace cassiashed::gateway {

/// Decoded headers of a caller's request.
struct CallerHead {
  std::string AttemptId;            ///< empty: none was sent
  std::optional<Duration> Deadline; ///< how long the caller will wait
  std::string ApiKey;               ///< empty: none was sent
  std::string LastEventId;          ///< set if the caller resumes a stream
  double PromptTokens = 0;          ///< 0: not a prompt
  double OutputTokens = 0;          ///< expected
  double MaxOutputTokens = 0;
};

/// A helper of a request and its memory reservation, if any.
struct HelperAssignment {
  std::string Address;       ///< ip:port
  std::string ReservationId; ///< empty: no reservation
};

/// Values that the gateway adds to a request for an endpoint.
struct Forwarding {
  std::string EndpointId;
  std::string Workspace;   ///< empty: none
  Duration Remaining{0};   ///< time until the caller's deadline
  int Priority = 5;        ///< at the engine: 0 (first) to 9
  std::string LastEventId; ///< resume after this event; empty: from the start
  std::vector<HelperAssignment> Helpers;
};

/// Decoded headers of an endpoint's response.
struct EndpointHead {
  bool SaysNotRun = false;    ///< a header says that the request did not run
  bool WrongEndpoint = false; ///< the address belongs to another replica
  bool HasSignature = false;  ///< the service itself produced the response
  std::string AttemptId; ///< of the answered request; empty: unknown, several
                         ///< if the endpoint names more than one
  std::optional<Duration> ColdRemaining; ///< time until its warm-up ends
  bool IsLeaving = false;                ///< the endpoint is about to leave
  /// The endpoint accepts no request of this node for this long.
  std::optional<Duration> PausedFor;
  std::string FaultyAddress; ///< of another endpoint that caused the failure
  /// The endpoint's requests when it sent the head, if it states them.
  std::optional<balancing::StatedLoad> Load;
};

/// An operator's order to take a zone out of service.
struct ZoneOutOrder {
  std::string Zone;
};
/// A decoded row of the operator's table; monostate: a row of another kind.
using OperatorRow =
    std::variant<std::monostate, catalog::ServiceConfig, ZoneOutOrder>;

/// Translates between the gateway and the platform's headers, engine requests
/// and store rows. Implement it to run the gateway on another platform.
class PlatformProtocol {
public:
  virtual ~PlatformProtocol() = default;

  virtual CallerHead readCallerHead(const http::Headers &Fields) const = 0;
  /// Header fields of the request to an endpoint: those of the caller, except
  /// the ones that the gateway replaces, and those of `Added`.
  virtual http::Headers makeForwardedFields(const http::Headers &FromCaller,
                                            const Forwarding &Added) const = 0;
  virtual EndpointHead readEndpointHead(int Status,
                                        const http::Headers &Fields) const = 0;
  /// Header fields of a refusal that the gateway itself sends.
  virtual http::Headers
  makeRefusalFields(const std::string &AttemptId,
                    std::optional<Duration> RetryAfter) const = 0;

  /// Request to an engine to reserve memory for `Tokens` for at most `Hold`.
  virtual http::Request makeReserveRequest(const std::string &ReservationId,
                                           double Tokens,
                                           Duration Hold) const = 0;
  virtual http::Request
  makeReleaseRequest(const std::string &ReservationId) const = 0;
  /// Request for an engine's status report.
  virtual http::Request makeReportRequest() const = 0;
  /// State of a reservation according to an engine's status report.
  virtual balancing::ReservationState
  readReservationState(const std::string &Report,
                       const std::string &ReservationId) const = 0;

  /// Decodes a row of the store. If the row is invalid, returns nothing and
  /// sets `Reason`.
  virtual std::optional<OperatorRow>
  decodeOperatorRow(const catalog::Row &Entry, std::string &Reason) const = 0;
  virtual std::optional<catalog::Endpoint>
  decodeEndpoint(const catalog::Row &Entry, std::string &Reason) const = 0;
  /// The zone that the operator row with this key takes out of service; empty
  /// for other rows.
  virtual std::string zoneOfOperatorKey(const std::string &Key) const = 0;
};

} // namespace cassiashed::gateway
