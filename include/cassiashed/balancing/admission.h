#pragma once

#include "cassiashed/balancing/dispatcher.h"
#include "cassiashed/balancing/length_bucket_shares.h"

namespace cassiashed::balancing {

/// What to do with a request of a model service for which engines were found.
enum class Admission {
  Send,
  Wait,   ///< retry placement after a short wait
  Refuse, ///< reject it in favour of other requests
};

struct AdmissionOptions {
  /// Fraction of its value that a request earns when it is late.
  double LateValueFraction = PlacementOptions().LateValueFraction;
  /// Fraction of its value that a late request may cost others and still be
  /// sent at once.
  double MaxLossWithoutWait = 0.05;
  /// Fraction of the time until its deadline that a late request waits at most.
  double MaxWaitFraction = 0.35;
  /// Fraction of its expected value that a request may cost others while
  /// another length bucket of its request class is under-served.
  double YieldLossFraction = 0.3;
  /// How long memory stays reserved for a length bucket that found too little
  /// of it: long enough for the next prompt of that bucket to arrive.
  Duration MemoryReservationTime{5000};
  /// Shortfall of a length bucket, in prompts, from which memory is reserved
  /// for it.
  double MinShortfallToReserve = 0.5;
};

/// Value that a request earns if it is sent to the chosen engines.
double expectedValue(const Dispatch &Chosen, const PlacementRequest &Request,
                     const AdmissionOptions &Options = {});

/// Decides by value alone. A request that costs others more than it earns is
/// refused. One that would miss its first-token target anyway waits at the node
/// while engines are busy, so that requests arriving now are on time. Matters
/// when the engines are overloaded for some seconds: without the wait, a queue
/// slightly longer than the target makes every request late until it has
/// drained.
///
/// `WaitedMs` is how long the request has waited, `TotalMs` the time until its
/// deadline when it arrived.
Admission decideAdmission(const Dispatch &Chosen,
                          const PlacementRequest &Request, double WaitedMs,
                          double TotalMs, const AdmissionOptions &Options = {});

/// Why an admission was decided as it was.
enum class AdmissionReason {
  Value,       ///< expected value of the request against the loss of others
  UnderServed, ///< its length bucket is under-served
  Yields       ///< another length bucket of its request class is under-served
};
std::string_view nameOf(AdmissionReason Reason);

struct AdmissionDecision {
  Admission Next = Admission::Send;
  AdmissionReason Reason = AdmissionReason::Value;
  /// Engines admit it before queued requests that will be late. Requests of an
  /// under-served length bucket are urgent even if they will be late: otherwise
  /// others would overtake them until their callers disconnect.
  bool Urgent = true;
};

/// Decides admissions so that no length bucket of a request class is starved
/// under overload. A prompt of an under-served bucket is sent, whatever it
/// costs others. While engines or their memory are never free for a bucket,
/// prompts of other buckets of its class are refused if they delay others
/// noticeably or take that memory. Not thread-safe.
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionOptions Options = {},
                            LengthBucketSharesOptions Shares = {})
      : Options_(Options), Shares_(Shares) {}

  AdmissionDecision decide(const Dispatch &Chosen,
                           const PlacementRequest &Request, double WaitedMs,
                           double TotalMs, TimePoint Now);
  /// Records that no engines were found for a request.
  void recordPlacementFailure(const Dispatch &Failed,
                              const PlacementRequest &Request, TimePoint Now);

private:
  AdmissionDecision evaluate(const Dispatch &Chosen,
                             const PlacementRequest &Request, double WaitedMs,
                             double TotalMs, TimePoint Now) const;

  /// Memory set aside for prompts like one that did not find enough.
  struct MemoryReservation {
    double PromptTokens = 0;
    double Tokens = 0; ///< of the prompt and its output
    TimePoint ReservedAt;
  };
  /// Whether a request would use memory that is reserved for a length bucket
  /// with a larger shortfall.
  bool takesReservedMemory(const Dispatch &Chosen,
                           const PlacementRequest &Request,
                           TimePoint Now) const;
  void reserveMemory(const PlacementRequest &Request, TimePoint Now);

  AdmissionOptions Options_;
  LengthBucketShares Shares_;
  /// By request class.
  std::map<std::uint64_t, MemoryReservation> MemoryReservations_;
};

} // namespace cassiashed::balancing
