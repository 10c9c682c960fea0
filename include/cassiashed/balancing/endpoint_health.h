#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <unordered_map>

namespace cassiashed::balancing {

/// Outcome of a request at an endpoint that is evidence about its health.
enum class EndpointOutcome {
  Answered,
  ServerError,          ///< a 5xx of the endpoint itself
  Refused,              ///< not run: endpoint full or shutting down
  Broken,               ///< connection reset, answer truncated or malformed
  Unresponsive,         ///< no answer in time
  Unreachable,          ///< connection failed
  ReportedUnresponsive, ///< another node got no answer or no connection
};

struct EndpointHealthOptions {
  Duration HalfLife{3000};    ///< of the suspicion
  double FailureWeight = 0.5; ///< suspicion added by a 5xx or a broken answer
  /// Suspicion added by no answer or no connection.
  double UnresponsiveWeight = 1.0;
  double RefusalWeight = 0.15; ///< suspicion added by a refusal
  double ReportWeight = 0.5;   ///< suspicion added by another node's report
  Duration UnreachableBackoff{1500}; ///< after a failed connection
  /// Longest normal time without bytes from an endpoint with pending answers.
  Duration IdleLimit{900};
  /// Suspicion added per second without bytes beyond `IdleLimit`.
  double SuspicionPerIdleSecond = 3;
};

/// Suspicion level of each endpoint, from the outcomes of requests and reports
/// of other nodes. Matters when endpoints fail or delay part of their requests
/// although they are registered as ready. Not thread-safe.
class EndpointHealth {
public:
  explicit EndpointHealth(EndpointHealthOptions Options = {})
      : Options_(Options) {}

  void recordOutcome(std::uint32_t Number, EndpointOutcome Outcome,
                     TimePoint Now);
  /// Records a request whose first byte is expected within `Expected`. After
  /// `MaxWait` nobody waits for its answer any more.
  void recordSent(std::uint32_t Number, std::uint64_t RequestId,
                  Duration Expected, Duration MaxWait, TimePoint Now);
  /// Records bytes of an answer. `HasMorePending`: answers of the endpoint are
  /// still outstanding.
  void recordBytesReceived(std::uint32_t Number, bool HasMorePending,
                           TimePoint Now);
  /// Records that a request ended or its caller disconnected. Suspicion due to
  /// a missing answer decays from now on.
  void recordEnd(std::uint32_t Number, std::uint64_t RequestId, TimePoint Now);
  /// Suspicion level. 0: none; about 1: the next request will probably fail.
  double suspicion(std::uint32_t Number, TimePoint Now) const;
  /// Whether the endpoint must get no requests for now.
  bool isInBackoff(std::uint32_t Number, TimePoint Now) const;
  void remove(std::uint32_t Number) { Records_.erase(Number); }

private:
  /// An answer that has not started or not ended.
  struct PendingAnswer {
    TimePoint ExpectedBy;  ///< suspicious if no bytes arrive by then
    TimePoint AbandonedAt; ///< nobody waits for it any more
  };
  struct Record {
    double Suspicion = 0;
    TimePoint UpdatedAt;
    TimePoint BackoffUntil;
    /// By request id.
    std::unordered_map<std::uint64_t, PendingAnswer> PendingAnswers;
  };
  double decayedSuspicion(const Record &Entry, TimePoint Now) const;
  /// Suspicion for an answer that is overdue since `ExpectedBy`.
  double idleSuspicion(TimePoint ExpectedBy, TimePoint Now) const;

  EndpointHealthOptions Options_;
  std::unordered_map<std::uint32_t, Record> Records_;
};

} // namespace cassiashed::balancing
