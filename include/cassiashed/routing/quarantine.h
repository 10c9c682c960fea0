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

/// Stops request contents that crash endpoints from reaching further endpoints.
///
/// A content that is in flight at an endpoint when it crashes becomes a
/// suspect. Two crashes at different endpoints quarantine it if at most
/// `MaxSuspects` contents were in flight at both and neither crash belongs to a
/// burst in one zone. The number in flight at each crash does not matter: of 30
/// contents in flight at the first crash and 30 at the second, only those in
/// flight at both count.
///
/// Whether the second crash belongs to a burst is known only after
/// `BurstWindow`. Until then the verdict is `Wait`, so the content reaches no
/// third endpoint and a power failure quarantines nothing. Requests that wait
/// for an isolated run must call `judge` again, because a burst clears them.
///
/// Two common protections were considered:
/// - Loop guard (stop after the second failure of the same content, then ask
///   the operator): adopted for a content that was quarantined before. One
///   further crash quarantines it for `RepeatedExpiry`; otherwise a caller that
///   sends it all day would crash two endpoints after each expiry.
/// - Storm guard (disable the automatic action for a time after 3 consecutive
///   failures of distinct contents): not adopted. Three distinct crashing
///   contents would disable the quarantine for the fourth. The burst rule
///   covers the shared cause, such as a power failure, that the guard is meant
///   for.
namespace cassiashed::routing {

enum class QuarantineVerdict {
  Clear,
  /// Run it at an endpoint with no other suspect in flight, outside
  /// `crashZones` where possible, after `beginIsolatedRun`. Other requests may
  /// run at the endpoint meanwhile, since they share no earlier crash with it.
  RunIsolated,
  Wait,   ///< retry soon; at the deadline refuse the request as not run
  Refuse, ///< quarantined
};

/// An endpoint that crashed or lost power.
struct EndpointCrash {
  std::string Endpoint;
  std::string Zone;
  std::uint64_t Incarnation = 0; ///< that crashed; 0: unknown
  /// When the endpoint last responded. A power failure is recognized as a burst
  /// by these times even if the crashes are detected much later.
  TimePoint LastSeenAt{};
};

enum class QuarantineNoticeKind { Suspect, Quarantined, Removed };

/// Update for the other nodes.
struct QuarantineNotice {
  QuarantineNoticeKind Kind = QuarantineNoticeKind::Suspect;
  std::string ContentHash;
  std::chrono::milliseconds Age{0}; ///< of the crash, quarantine or removal
  std::string Endpoint; ///< this and the fields below: only for `Suspect`
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

/// Decides whether a request may run, given the crashes that its content was
/// involved in. A content is identified by the hash of model, prompt and
/// sampling parameters. Not thread-safe.
class Quarantine {
public:
  explicit Quarantine(QuarantineOptions Options = {}) : Options_(Options) {}

  /// Number of configured endpoints per zone.
  void setZoneSizes(std::unordered_map<std::string, std::size_t> Sizes);

  /// Records a crash. `InFlight` lists the contents that this node had in
  /// flight at the endpoint. It may be empty, since the crash still counts for
  /// bursts.
  void recordCrash(const EndpointCrash &Crash,
                   const std::vector<std::string> &InFlight, TimePoint Now);
  QuarantineVerdict judge(const std::string &ContentHash, TimePoint Now);
  /// Zones of the content's crashes that belong to no burst.
  std::vector<std::string> crashZones(const std::string &ContentHash) const;

  /// Starts an isolated run of a suspect. Returns false while this node has
  /// another run of the same content in progress.
  bool beginIsolatedRun(const std::string &ContentHash);
  /// Ends the run. After a completed run the content needs no isolated runs,
  /// but its crashes still count, since it may crash endpoints only sometimes.
  void endIsolatedRun(const std::string &ContentHash, bool Completed);

  /// Applies a notice. Returns whether it was new and should be forwarded.
  bool merge(const QuarantineNotice &Notice, TimePoint Now);
  /// Returns the notices added since the last call. A node that observed a
  /// crash sends them before it answers the caller or retries, so that a retry
  /// through another node is judged with the suspicion.
  std::vector<QuarantineNotice> takeNotices(TimePoint Now);
  /// Lifts the quarantine on behalf of an operator and erases the crashes.
  void remove(const std::string &ContentHash, TimePoint Now);

  std::vector<std::string> quarantined(TimePoint Now) const;
  std::size_t size() const { return Contents_.size(); }

private:
  struct Crash {
    EndpointCrash Report;
    TimePoint DetectedAt{};
    bool InBurst = false;
  };
  using CrashPtr = std::shared_ptr<Crash>;
  struct ContentState {
    std::vector<CrashPtr> Crashes;
    TimePoint LastChange{};
    TimePoint QuarantinedUntil{};
    TimePoint RemovedAt{};
    bool CompletedSinceCrash = false;
    bool WasQuarantined = false;
  };

  CrashPtr findOrAddCrash(const EndpointCrash &Crash, TimePoint Now);
  void markBursts(const std::string &Zone);
  bool recordSuspicion(const std::string &ContentHash, const CrashPtr &Cause,
                       TimePoint Now);
  void quarantine(const std::string &ContentHash, ContentState &State,
                  TimePoint Now);
  std::size_t countSharedContents(const CrashPtr &First,
                                  const CrashPtr &Second) const;
  bool hasSufficientEvidence(const ContentState &State) const;
  ContentState &findOrCreateContent(const std::string &ContentHash,
                                    TimePoint Now);
  void evict(TimePoint Now);

  QuarantineOptions Options_;
  std::unordered_map<std::string, std::size_t> ZoneSizes_;
  std::unordered_map<std::string, ContentState> Contents_;
  std::unordered_set<std::string> IsolatedRuns_;
  std::deque<CrashPtr> Crashes_;
  std::vector<std::pair<QuarantineNotice, CrashPtr>> PendingNotices_;
};

} // namespace cassiashed::routing
