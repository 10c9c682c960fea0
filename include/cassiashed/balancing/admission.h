#pragma once

#include "cassiashed/balancing/dispatcher.h"
#include "cassiashed/balancing/length_bucket_shares.h"

namespace cassiashed::balancing {

/// What happens to a request of a model service that an engine could run.
enum class Admission {
  Send,
  Wait,   ///< look again after a moment
  Refuse, ///< others would lose more than the request gains
};

struct AdmissionOptions {
  /// Share of a request's value that remains when it is late.
  double LateShare = PlacementOptions().LateShare;
  /// Part of its value that a late request may cost others without waiting.
  double AllowedLoss = 0.05;
  /// Part of the time until its deadline that a late request waits at most.
  double MaxWaitPart = 0.35;
  /// Part of its gain that a prompt may cost others while another size of its
  /// kind is short of its share.
  double GiveWayLoss = 0.3;
  /// Time for which memory is kept for a size that found too little of it: the
  /// next prompt of that size has come by then.
  Duration MemoryKept{5000};
  /// Prompts that a size is short of before memory is kept for it.
  double KeepMemoryFrom = 0.5;
};

/// Value that a request earns if it is sent as chosen.
double expectedValue(const Dispatch &Chosen, const PlacementRequest &Work,
                     const AdmissionOptions &Options = {});

/// Load: more work than the engines can do for some seconds. Requests that
/// cost others more than they gain are refused at once. Those that will be
/// late anyway wait at the node while engines are busy, so that those which
/// arrive now are served on time; without it, a queue that is a little longer
/// than the target makes every request late until it has drained.
///
/// `WaitedMs` is how long the request has waited, `TotalMs` the time that it
/// had when it arrived.
Admission decideAdmission(const Dispatch &Chosen, const PlacementRequest &Work,
                          double WaitedMs, double TotalMs,
                          const AdmissionOptions &Options = {});

/// What an admission was decided by.
enum class AdmissionReason {
  Value,  ///< the request's gain against the loss of others
  Behind, ///< its size is behind its share
  Yields  ///< another size of its kind is short of its share
};
std::string_view nameOf(AdmissionReason Ground);

struct AdmissionDecision {
  Admission Next = Admission::Send;
  AdmissionReason Ground = AdmissionReason::Value;
  /// Engines admit it before waiting requests that will be late. Of a size that
  /// is behind its share also those are that will be late themselves: others
  /// would pass them until their callers leave.
  bool Urgent = true;
};

/// Decides admissions so that no size of a kind is starved: a prompt of a size
/// that is behind its share is sent, whatever it costs others. While a size is
/// short since engines or their memory are never free for it, other sizes of
/// its kind are refused where they cost something or take that memory. Not
/// thread-safe.
class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionOptions Options = {},
                            LengthBucketSharesOptions Shares = {})
      : Options_(Options), Shares_(Shares) {}

  AdmissionDecision decide(const Dispatch &Chosen, const PlacementRequest &Work,
                           double WaitedMs, double TotalMs, TimePoint Now);
  /// Takes in that no engines were found.
  void recordPlacementFailure(const Dispatch &Failed,
                              const PlacementRequest &Work, TimePoint Now);

private:
  AdmissionDecision weigh(const Dispatch &Chosen, const PlacementRequest &Work,
                          double WaitedMs, double TotalMs, TimePoint Now) const;

  /// Memory that a prompt did not find.
  struct MemoryClaim {
    double PromptTokens = 0;
    double Tokens = 0; ///< with its output
    TimePoint At;
  };
  /// Whether a prompt takes memory from a size that is shorter of its share.
  bool takesClaimedMemory(const Dispatch &Chosen, const PlacementRequest &Work,
                          TimePoint Now) const;
  void claimMemory(const PlacementRequest &Work, TimePoint Now);

  AdmissionOptions Options_;
  LengthBucketShares Shares_;
  std::map<std::uint64_t, MemoryClaim> Claims_; ///< by kind
};

} // namespace cassiashed::balancing
