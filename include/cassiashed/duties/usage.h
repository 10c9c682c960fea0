#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiashed::duties {

/// Requests by workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

struct UsageReport {
  std::int64_t Window = 0; ///< number of the window since the start of 1970
  UsageCounts Counts;
};

/// Requests that began to run, by window, workspace and the process that
/// counted them. Every node holds the counts of the others that told it: counts
/// are cumulative, so a repeated or late message changes nothing and the death
/// of a node costs only what it had not told yet.
class UsageLedger {
public:
  UsageLedger(Duration Window, std::size_t KeptWindows)
      : Window_(Window), Kept_(KeptWindows) {}

  std::int64_t windowAt(std::int64_t UnixMs) const;
  std::int64_t endOf(std::int64_t Window) const;

  /// Counts a request of this process.
  void count(const std::string &Workspace, std::int64_t UnixMs);
  /// Merges what the process `Origin` counted, by maximum.
  void merge(const std::string &Origin, const UsageReport &Counted,
             std::int64_t UnixMs);
  /// This process's counts of the kept windows, to be told to other nodes:
  /// newest first, at most `MaxCounts` in all.
  std::vector<UsageReport> own(std::int64_t UnixMs,
                               std::size_t MaxCounts) const;
  /// Sum over all processes.
  UsageReport total(std::int64_t Window) const;
  void discardOld(std::int64_t UnixMs);

private:
  using Origins = std::map<std::string, UsageCounts>;
  Duration Window_;
  std::size_t Kept_;
  std::map<std::int64_t, Origins> Windows_; ///< own counts: empty origin
};

struct UsageTimes {
  Duration Window{5000};
  /// From the end of a window until its counts are taken as complete.
  Duration Settle{2500};
  /// From the end of a window until its report must have arrived.
  Duration Late{10000};
};

/// Which reports the holder of the duty sends. The counts of a window are
/// decided once and recorded in the store before they are sent, so a later
/// holder sends the same. Belongs to one term of the lease.
class UsageReporter {
public:
  explicit UsageReporter(UsageTimes Times) : Times_(Times) {}

  /// The recorded reports as this holder found them; starts a term.
  /// `FirstWindow`: the earliest window that may be reported without a record.
  void begin(std::vector<UsageReport> Recorded, std::int64_t FirstWindow,
             std::int64_t UnixMs);
  bool hasBegun() const { return HasBegun_; }
  void end() { HasBegun_ = false; }

  /// Decides windows that are due. Returns the reports to record with the next
  /// renewal; nothing if the record needs no change. A decided report never
  /// changes.
  std::optional<std::vector<UsageReport>> toRecord(const UsageLedger &Ledger,
                                                   std::int64_t UnixMs);
  /// The store confirmed the record that `toRecord` returned last.
  void recordConfirmed();

  /// The oldest recorded report that still has to be sent, and is not too late.
  const UsageReport *toSend(std::int64_t UnixMs);
  void recordSent(std::int64_t Window);

private:
  std::int64_t endOf(std::int64_t Window) const {
    return (Window + 1) * Times_.Window.count();
  }
  UsageTimes Times_;
  bool HasBegun_ = false;
  std::int64_t NextWindow_ = 0;
  std::vector<UsageReport> Decided_; ///< oldest first
  std::size_t Confirmed_ = 0;        ///< reports up to this one are recorded
  std::size_t Proposed_ = 0;         ///< were in the last record
  std::set<std::int64_t> Sent_;
};

} // namespace cassiashed::duties
