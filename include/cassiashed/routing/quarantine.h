#pragma once

#include "cassiashed/base/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Keeps request contents that crash endpoints away from further endpoints.
///
/// A content in flight at an endpoint that dies becomes a suspect. Two deaths
/// at different endpoints quarantine it if at most `MaxSuspects` contents were
/// in flight at both and neither death belongs to a burst in one zone. The
/// number in flight at each death does not matter: of 30 contents in flight at
/// the first death and 30 at the second only the common ones are suspected.
///
/// Whether the second death belongs to a burst is known `BurstWindow` later;
/// until then the verdict is `Wait`, so the content reaches no third endpoint
/// and a power failure quarantines nothing. Requests that wait for a run on
/// their own must be judged again, because a burst clears them.
///
/// Two known protections were weighed:
/// - Loop guard (stop after the second failure of the same thing, then ask the
///   operator): adopted for a content that was quarantined before. One further
///   death quarantines it for `RepeatedExpiry`; otherwise a caller that sends
///   it all day would cost two endpoints after each expiry.
/// - Storm guard (after 3 consecutive failures of distinct things switch the
///   automatic action off for a time): not adopted. Three distinct crashing
///   contents would switch the quarantine off for the fourth. The burst rule
///   covers the common cause that the guard is meant for.
namespace cassiashed::routing {

enum class QuarantineVerdict {
  Clear,
  /// Run it at an endpoint with no other suspect in flight, outside
  /// `crashZones` where possible, after `beginIsolatedRun`. Other requests may
  /// run beside it, since they share no earlier death with it.
  RunIsolated,
  Wait,   ///< ask again soon; at the deadline refuse as not run
  Refuse, ///< quarantined
};

struct EndpointCrash {
  std::string Endpoint;
  std::string Zone;
  std::uint64_t Incarnation = 0; ///< that died; 0: not known
  /// When the endpoint was last heard of. A power failure shows as a burst by
  /// these times even if the deaths are detected much later.
  TimePoint At{};
};

enum class QuarantineNoticeKind { Suspect, Quarantined, Removed };

/// Report other nodes are told.
struct QuarantineNotice {
  QuarantineNoticeKind Kind = QuarantineNoticeKind::Suspect;
  std::string ContentHash;
  std::chrono::milliseconds Age{0}; ///< of the death, quarantine or removal
  std::string Endpoint;             ///< the rest only with `Suspect`
  std::string Zone;
  std::uint64_t Incarnation = 0;
};

struct QuarantineOptions {
  std::chrono::seconds Expiry{3'600};
  std::chrono::seconds RepeatedExpiry{86'400};
  std::chrono::milliseconds BurstWindow{2'000};
  /// Crashes of different endpoints in one zone within `BurstWindow` that make
  /// a burst; two suffice if they are more than half of the zone.
  std::size_t BurstCrashes = 3;
  std::size_t MaxSuspects = 4;
  std::size_t MaxContents = 4'096;
  std::size_t MaxCrashes = 1'024;
};

/// Contents are named by the hash of model, prompt and sampling parameters.
/// Not thread-safe.
class Quarantine {
public:
  explicit Quarantine(QuarantineOptions Options = {}) : Options_(Options) {}

  /// Number of configured endpoints per zone.
  void setZoneSizes(std::unordered_map<std::string, std::size_t> Sizes);

  /// Records a death. `InFlight` lists the contents that this node had sent to
  /// the endpoint; it may be empty, since the death still counts for bursts.
  void recordCrash(const EndpointCrash &Crash,
                   const std::vector<std::string> &InFlight, TimePoint Now);
  QuarantineVerdict judge(const std::string &ContentHash, TimePoint Now);
  /// Zones of the content's deaths that belong to no burst.
  std::vector<std::string> crashZones(const std::string &ContentHash) const;

  /// Starts a run of a suspect. False while another run of the same content
  /// started by this node goes on.
  bool beginIsolatedRun(const std::string &ContentHash);
  /// Ends it. A completed run ends the need to run alone, but the deaths still
  /// count, since a content may crash endpoints only sometimes.
  void endIsolatedRun(const std::string &ContentHash, bool Completed);

  /// Applies a notice. True if it was new and is worth passing on.
  bool merge(const QuarantineNotice &Notice, TimePoint Now);
  /// Notices to send since the last call. A node that observed a death sends
  /// them before it answers the caller or retries, so that a repeat through
  /// another node meets the suspicion.
  std::vector<QuarantineNotice> takeNotices(TimePoint Now);
  /// Lifts the quarantine on behalf of an operator and forgets the deaths.
  void remove(const std::string &ContentHash, TimePoint Now);

  std::vector<std::string> quarantined(TimePoint Now) const;
  std::size_t size() const { return Contents_.size(); }

private:
  struct Crash {
    EndpointCrash Report;
    TimePoint DetectedAt{};
    bool InBurst = false;
  };
  using CrashRef = std::shared_ptr<Crash>;
  struct ContentState {
    std::vector<CrashRef> Crashes;
    TimePoint LastChange{};
    TimePoint QuarantinedUntil{};
    TimePoint RemovedAt{};
    bool CompletedSinceCrash = false;
    bool WasQuarantined = false;
  };

  CrashRef findOrAddCrash(const EndpointCrash &Crash, TimePoint Now);
  void markBursts(const std::string &Zone);
  bool recordSuspicion(const std::string &ContentHash, const CrashRef &Cause,
                       TimePoint Now);
  void quarantine(const std::string &ContentHash, ContentState &State,
                  TimePoint Now);
  std::size_t countSharedContents(const CrashRef &First,
                                  const CrashRef &Second) const;
  bool hasSufficientEvidence(const ContentState &State) const;
  ContentState &findOrCreateContent(const std::string &ContentHash,
                                    TimePoint Now);
  void evict(TimePoint Now);

  QuarantineOptions Options_;
  std::unordered_map<std::string, std::size_t> ZoneSizes_;
  std::unordered_map<std::string, ContentState> Contents_;
  std::unordered_set<std::string> IsolatedRuns_;
  std::deque<CrashRef> Crashes_;
  std::vector<std::pair<QuarantineNotice, CrashRef>> PendingNotices_;
};

} // namespace cassiashed::routing
