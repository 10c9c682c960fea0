#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <unordered_map>

namespace cassiashed::balancing {

/// How a request ended at an endpoint, as far as it says something about the
/// endpoint.
enum class EndpointOutcome {
  Answered,
  FailedAnswer,   ///< the endpoint's own 5xx
  Refused,        ///< not run: full or ending
  Broken,         ///< reset, truncated or garbled
  Silent,         ///< no answer in time
  Unreachable,    ///< no connection
  ReportedSilent, ///< another node got no answer or no connection
};

struct EndpointHealthOptions {
  Duration HalfLife{3000};         ///< of what is remembered
  double FailureWeight = 0.5;      ///< doubt added by a broken answer
  double SilenceWeight = 1.0;      ///< doubt added by silence
  double RefusalWeight = 0.15;     ///< doubt added by a refusal
  double ReportWeight = 0.5;       ///< doubt added by another node's report
  Duration UnreachablePause{1500}; ///< no requests after a failed connection
  /// An endpoint that owes an answer is heard at least this often.
  Duration QuietLimit{900};
  /// Doubt per second of silence beyond that.
  double QuietWeight = 3;
};

/// Doubts about endpoints, from this node's own requests. Load: replicas that
/// fail or delay part of their requests while their entry says ready. Not
/// thread-safe.
class EndpointHealth {
public:
  explicit EndpointHealth(EndpointHealthOptions Options = {})
      : Options_(Options) {}

  void note(std::uint32_t Number, EndpointOutcome Outcome, TimePoint Now);
  /// A request was sent whose first byte is expected within `Expected`. Nobody
  /// waits for it any more after `Longest`.
  void recordSent(std::uint32_t Number, std::uint64_t Work, Duration Expected,
                  Duration Longest, TimePoint Now);
  /// Bytes of an answer arrived; `OwesMore` if other requests still wait.
  void recordBytesReceived(std::uint32_t Number, bool OwesMore, TimePoint Now);
  /// A request ended, or its caller left: the endpoint no longer owes it. What
  /// its silence was worth becomes doubt that fades.
  void recordEnd(std::uint32_t Number, std::uint64_t Work, TimePoint Now);
  /// 0: none; about 1: the next request will probably fail.
  double suspicion(std::uint32_t Number, TimePoint Now) const;
  /// Whether the endpoint should get no request at all for now.
  bool isInBackoff(std::uint32_t Number, TimePoint Now) const;
  void remove(std::uint32_t Number) { Records_.erase(Number); }

private:
  /// An answer that has not begun, or not ended.
  struct Owed {
    TimePoint HeardBy; ///< silence beyond it is suspicious
    TimePoint GoneBy;  ///< nobody waits for it after this
  };
  struct Record {
    double Doubt = 0;
    TimePoint At;
    TimePoint PausedUntil;
    std::unordered_map<std::uint64_t, Owed> Answers; ///< by work
  };
  double decayed(const Record &Entry, TimePoint Now) const;
  /// Doubt for silence since an answer was due.
  double quietDoubt(TimePoint HeardBy, TimePoint Now) const;

  EndpointHealthOptions Options_;
  std::unordered_map<std::uint32_t, Record> Records_;
};

} // namespace cassiashed::balancing
