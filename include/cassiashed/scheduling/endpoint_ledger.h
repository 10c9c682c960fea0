#pragma once

#include "cassiashed/scheduling/cold_start.h"
#include "cassiashed/scheduling/fair_share.h"
#include "cassiashed/scheduling/grant.h"
#include "cassiashed/scheduling/memory_budget.h"
#include "cassiashed/scheduling/share.h"
#include "cassiashed/scheduling/wait_queue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Admission of requests to an endpoint by the node that owns it.
namespace cassiashed::scheduling {

/// Overdue waiters that may be passed by short requests.
enum class Backfill : std::uint8_t {
  None,
  HeldParts, ///< only parts of a prompt that several engines prefill
  All,
};

struct LedgerOptions {
  std::string Endpoint; ///< name for log lines
  MemoryBudgetOptions Memory;
  ColdStartOptions Cold;
  FairShareOptions Fair;
  WaitQueueOptions Waiting;
  double PrefillTokensPerSecond = 20000;
  /// Expected time between output tokens; used to predict when a request ends.
  Duration TokenInterval = std::chrono::milliseconds(52);
  std::size_t MaxWaiting = 256;
  /// Maximum number of long and huge prompts in prefill at the same time. More
  /// would only reserve memory while they wait for each other.
  std::uint32_t MaxLongPrefills = 2;
  /// After a short request had to wait for memory, long prompts stay within the
  /// part of memory for long prompts for this long. Otherwise a long prompt
  /// would take the memory as soon as no short request waits, and the next
  /// short request would have to wait until a long one ends.
  Duration ShortDemandWindow = std::chrono::seconds(2);
  /// Which overdue waiters may be passed by later short requests that are
  /// predicted to end before the overdue one fits.
  Backfill AllowedBackfill = Backfill::HeldParts;
  /// An overdue waiter can be passed in this way for at most this long after it
  /// was first found blocked.
  Duration MaxBackfill = std::chrono::seconds(30);
  /// Time within which a granted request must reach the endpoint.
  Duration SendWithin = std::chrono::seconds(1);
  /// How long ended attempts are kept, to answer late messages about them.
  Duration EndedAttemptRetention = std::chrono::seconds(60);
  std::size_t MaxEndedAttempts = 8192;
  /// Nothing is granted while the last load report is older than this.
  Duration MaxReportAge = std::chrono::seconds(5);
  /// Successive owners of an endpoint must use different ids: pass
  /// `epoch << 32`.
  std::uint64_t FirstGrantId = 1;
};

enum class OfferResult : std::uint8_t { Granted, Queued, Refused };

struct OfferAnswer {
  OfferResult Result = OfferResult::Refused;
  std::optional<Grant> Granted;
  RefusalReason Reason = RefusalReason::QueueFull; ///< valid if refused
  LoadHint Load;
};

/// What happened since the last `poll`. Does not repeat what `offer` returned.
struct LedgerEvents {
  std::vector<Grant> Granted;   ///< queued attempts that may now run
  std::vector<Refusal> Refused; ///< queued attempts that will not run
  /// Grants past their expiry: cancel them at the endpoint, then call
  /// `release`. The memory of those that were started stays reserved until
  /// then, or until a report no longer lists them.
  std::vector<Grant> Expired;
  /// Grants of an earlier incarnation of the endpoint. The restart has ended
  /// these requests.
  std::vector<Grant> Lost;
  /// Held parts for which `start` returned `Pending` and that may start now.
  std::vector<Grant> Started;
  /// Ended grants that the endpoint still reports as held: cancel them there.
  std::vector<Grant> Orphans;
};

enum class StartResult : std::uint8_t {
  Started,
  Pending, ///< other requests still use the memory of the part
  Gone,    ///< the grant is unknown or has ended
};

struct LedgerStats {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint64_t LimitTokens = 0;
  std::uint64_t ReservedTokens = 0;
  std::uint64_t LongTokens = 0;    ///< reserved by long and huge prompts
  std::uint64_t ForeignTokens = 0; ///< reported, but not reserved here
  std::uint32_t ForeignRequests = 0;
  std::uint64_t ColdLimit = 0; ///< requests of all nodes; 0 when warm
  std::uint64_t Offered = 0;
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Lost = 0;
  Share ActiveShare = Share::None;
};

/// Decides which attempts may run at one endpoint, and when, so that its memory
/// and cold-start limits hold. The node that owns the endpoint, or a share of
/// it, has one ledger for it.
///
/// Not thread safe. If `Now` is earlier than in a previous call, the latest
/// time seen is used. Every offered attempt that is not cancelled gets either a
/// grant or a refusal. Messages that do not match an attempt are ignored.
///
/// ```cpp
/// auto Ledger = makeEndpointLedger({.Endpoint = "engine-1"});
/// Ledger->setShare(Share::Full, Now);
/// // Nothing is granted before a report that was measured after `setShare`.
/// Ledger->report(Report, Now);
/// OfferAnswer Answer = Ledger->offer(Request, Now);
/// if (Answer.Result == OfferResult::Granted)
///   Ledger->release(Answer.Granted->Id, GrantOutcome::Completed, Later);
/// for (const Grant &Ready : Ledger->poll(Later).Granted) ...
/// ```
class EndpointLedger {
public:
  virtual ~EndpointLedger() = default;

  /// A repeated offer with the same request id and attempt gets the same answer
  /// while the attempt waits or runs. After that it is refused.
  virtual OfferAnswer offer(GrantRequest Request, TimePoint Now) = 0;
  /// Ends a granted attempt. Unknown ids are ignored.
  virtual void release(std::uint64_t GrantId, GrantOutcome Outcome,
                       TimePoint Now) = 0;
  /// Ends an attempt that is granted, waiting or not yet offered. An offer that
  /// arrives after the cancellation is refused as `AlreadyEnded`. A cancelled
  /// waiter gets no further answer.
  virtual void cancel(std::string_view RequestId, std::uint32_t Attempt,
                      TimePoint Now) = 0;
  /// Takes over a running attempt from an earlier owner of the endpoint.
  virtual void adopt(const GrantRequest &Request, const Grant &Running,
                     TimePoint Now) = 0;

  /// Processes a load report. Reports that were not measured after the last one
  /// are ignored.
  virtual void report(const LoadReport &Report, TimePoint Now) = 0;
  /// A smaller share takes effect at once; running attempts continue. A larger
  /// share takes effect with the first report measured after this call, because
  /// only that report shows what the other holder of a share had reserved.
  /// Before a larger share is set, the other holder must have used its smaller
  /// share for `SendWithin`, or its grants must have been adopted.
  virtual void setShare(Share NewShare, TimePoint Now) = 0;
  /// While `Leaving` is set, the endpoint is drained: waiters and new offers
  /// are refused, running attempts continue.
  virtual void setLeaving(bool Leaving, TimePoint Now) = 0;

  /// Lets short requests that are predicted to end before `Start` use the
  /// memory of a held part.
  virtual void setExpectedStart(std::uint64_t GrantId, TimePoint Start,
                                TimePoint Now) = 0;
  /// Starts a held part. After `Pending`, `poll` reports the start once no
  /// other request uses the memory of the part.
  virtual StartResult start(std::uint64_t GrantId, TimePoint Now) = 0;

  /// Call after each of the above and at least every 50 ms.
  virtual LedgerEvents poll(TimePoint Now) = 0;

  virtual LoadHint hint(TimePoint Now) = 0;
  virtual LedgerStats stats() const = 0;
  /// All granted attempts, for a handover to another owner.
  virtual std::vector<Grant> grants() const = 0;
};

std::unique_ptr<EndpointLedger> makeEndpointLedger(LedgerOptions Options);

} // namespace cassiashed::scheduling
