#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/store/table_service.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Collects row writes of several calls into one commit. It neither blocks nor
/// reads a clock: a thread of the node takes batches, performs them and passes
/// the results back. A node without a batch writer passes the batches to the
/// table service, one with a batch writer sends them there and treats a lost
/// reply like one of the table service.
namespace cassiashed {

struct CallBatcherOptions {
  /// Longest wait of a row for others. 25 ms bounds a node to 40 commits/s.
  std::chrono::milliseconds MaxDelay{25};
  /// Rows per commit: at 22 KiB each, the longest, 256 are below 6 MiB.
  std::size_t MaxRows = 256;
  /// Commits, and separately reads, waiting for a reply.
  std::size_t MaxInFlight = 4;
  std::chrono::milliseconds ReadRetry{100};
  /// A write whose effect cannot be read back in this time is reported as
  /// unknown.
  std::chrono::milliseconds GiveUp{2'000};
  /// False at a batch writer, which leaves this to the node that asked.
  bool ReadBack = true;
};

/// Result of one write or read. `Version`: the write took effect. `Found`: the
/// row as read after the write failed or was not seen to take effect, or as
/// asked for; a write with a lost reply may still take effect later.
/// Neither: unknown.
struct RowResult {
  std::uint64_t Ticket = 0;
  std::optional<std::uint64_t> Version;
  std::optional<TableRow> Found;
};

/// One commit in mode `Each`.
struct CommitBatch {
  std::uint64_t Id = 0;
  std::vector<TableWrite> Writes;
};

struct ReadBatch {
  std::uint64_t Id = 0;
  std::vector<std::string> Keys;
};

/// Not thread-safe.
///
/// ```cpp
/// const std::uint64_t Ticket = Batcher.addWrite(Write, Now);
/// if (const auto Batch = Batcher.takeCommit(Now))
///   for (const RowResult &Result : Batcher.onCommit(
///            Batch->Id, Table.commit(Batch->Writes, CommitMode::Each, Reason),
///            Now))
///     ...
/// ```
class CallBatcher {
public:
  explicit CallBatcher(CallBatcherOptions Options = {}) : Options_(Options) {}

  /// Adds a conditional write of a call record and returns its ticket.
  std::uint64_t addWrite(TableWrite Write, TimePoint Now);
  std::uint64_t addRead(std::string Key, TimePoint Now);

  /// The next commit if one is due. No batch holds a key twice.
  std::optional<CommitBatch> takeCommit(TimePoint Now);
  std::optional<ReadBatch> takeRead(TimePoint Now);
  /// When to call `takeCommit` and `takeRead` again, unless something is
  /// added or a reply arrives before.
  std::optional<TimePoint> nextTime() const;

  /// Passes the reply of a commit; no result if it was lost. Writes that did
  /// not take effect are read back before they are reported.
  std::vector<RowResult> onCommit(std::uint64_t Id,
                                  const std::optional<CommitResult> &Result,
                                  TimePoint Now);
  std::vector<RowResult>
  onRead(std::uint64_t Id, const std::optional<std::vector<TableRow>> &Rows,
         TimePoint Now);

private:
  struct Item {
    std::uint64_t Ticket = 0;
    TableWrite Write; ///< only the key for a read
    bool IsRead = false;
    TimePoint Due{};
    TimePoint GiveUp{};
  };
  using Items = std::vector<Item>;

  CallBatcherOptions Options_;
  std::deque<Item> Writes_;
  std::deque<Item> Reads_;
  std::map<std::uint64_t, Items> Commits_;
  std::map<std::uint64_t, Items> ReadsInFlight_;
  std::uint64_t NextTicket_ = 1;
  std::uint64_t NextBatch_ = 1;
};

/// The batch writer that a node uses when there are more than 16 nodes: the
/// `Writers` (8) first nodes by rendezvous hashing share the nodes between
/// them. Empty up to 16 nodes, where each node commits its own rows. Nodes that
/// see different lists choose differently; the conditional writes keep this
/// safe.
std::string batchWriterFor(const std::string &Node,
                           const std::vector<std::string> &LiveNodes,
                           std::size_t Writers = 8);

} // namespace cassiashed
