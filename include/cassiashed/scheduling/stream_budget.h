#pragma once

#include "cassiashed/base/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/// Limits on the memory for streams whose callers read slowly.
namespace cassiashed::scheduling {

struct StreamBudgetOptions {
  /// Largest buffer of one stream.
  std::uint64_t StreamBytes = 16 * 1024;
  /// Largest read from an endpoint. An open stream counts as at least this
  /// much, also while its buffer is empty.
  std::uint64_t ReadBytes = 2 * 1024;
  /// Limit for all streams of one workspace.
  std::uint64_t WorkspaceBytes = 8 * 1024 * 1024;
  /// Limit for all streams of the node.
  std::uint64_t NodeBytes = 16 * 1024 * 1024;
  /// The attempt is cancelled if its caller reads nothing for this long while
  /// bytes are buffered.
  Duration StalledAfter = std::chrono::seconds(30);
  /// A stream whose caller has been behind for this long may be cancelled at
  /// the engine when waiting requests need its memory there. The caller is
  /// behind from the time at which the buffer has no room for a read until at
  /// most half of the buffer is in use.
  Duration BehindAfter = std::chrono::seconds(10);
};

using StreamId = std::uint64_t;

struct StreamStats {
  std::uint64_t Streams = 0;
  std::uint64_t NodeBytes = 0;
  std::uint64_t LargestStreamBytes = 0;
};

/// Limits the bytes buffered between endpoints and callers per stream,
/// workspace and node. Each open stream can always read `ReadBytes` once its
/// buffer is empty, so callers that read slowly cannot block the others.
///
/// ```cpp
/// // 0: the caller must read first
/// if (const auto Room = Budget.beginRead(Id, Now))
///   Budget.endRead(Id, co_await read(Room), Now);
/// Budget.sent(Id, co_await write(...), Now);
/// ```
class StreamBudget {
public:
  explicit StreamBudget(StreamBudgetOptions Options) : Options_(Options) {}

  /// Returns false if the workspace or the node has too many streams.
  bool open(StreamId Id, const std::string &Workspace, TimePoint Now);
  void close(StreamId Id);

  /// Sets the engine on which the stream uses `Tokens` of memory. The name is
  /// empty after the attempt has ended or was cancelled.
  void setEngine(StreamId Id, const std::string &Endpoint,
                 std::uint64_t Tokens);

  /// Reserves room for a read from the endpoint and returns its size; 0 while
  /// there is no room. Each positive result must be followed by `endRead`.
  std::uint64_t beginRead(StreamId Id, TimePoint Now);
  /// Records that `Bytes` arrived, at most what `beginRead` returned.
  void endRead(StreamId Id, std::uint64_t Bytes, TimePoint Now);
  /// Records that `Bytes` were written to the caller's connection.
  void sent(StreamId Id, std::uint64_t Bytes, TimePoint Now);

  /// Streams on an engine whose callers have read nothing for `StalledAfter`.
  std::vector<StreamId> stalled(TimePoint Now) const;
  /// Chooses streams to cancel at an engine where waiting requests need
  /// `Tokens`: those behind for `BehindAfter`, the longest behind first, until
  /// enough is freed. Returns none if they do not free enough: attempts would
  /// be lost and the requests would still wait.
  std::vector<StreamId> chooseToCancel(const std::string &Endpoint,
                                       std::uint64_t Tokens,
                                       TimePoint Now) const;
  StreamStats stats() const;

private:
  struct Stream {
    std::string Workspace;
    std::string Endpoint;
    std::uint64_t Tokens = 0;
    std::uint64_t Buffered = 0;
    std::uint64_t Reading = 0; ///< reserved by `beginRead`
    /// When the caller last read something, or the buffer became non-empty.
    TimePoint LastProgress;
    TimePoint BehindSince = TimePoint::max(); ///< max: not behind
  };

  /// Bytes that count against the limits of the workspace and the node.
  std::uint64_t chargedBytes(const Stream &Target) const;
  /// Replaces the earlier charge `Before` by the current one.
  void updateCharge(const Stream &Target, std::uint64_t Before);

  StreamBudgetOptions Options_;
  std::unordered_map<StreamId, Stream> Streams_;
  std::unordered_map<std::string, std::uint64_t> WorkspaceBytes_;
  std::uint64_t NodeBytes_ = 0;
};

} // namespace cassiashed::scheduling
