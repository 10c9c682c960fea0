#pragma once

#include "cassiashed/base/clock.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

/// Account of the memory that a process holds for its peers. It answers crowds
/// of peers that together send more than the process may hold.
namespace cassiashed::http {

struct MemoryLimits {
  std::size_t TotalBytes = 0; ///< for all holders together
  /// Part of the total that only small holders use.
  std::size_t OrdinaryBytes = 0;
  std::size_t SmallBytes = 0; ///< largest small holder
  /// For the holders of one group that are not small.
  std::size_t GroupBytes = 0;
};

/// Limits for a process that may use `ProcessBytes`.
MemoryLimits memoryLimitsFor(std::size_t ProcessBytes);

class MemoryHolder;

/// Decides which holders get memory, which wait and which give theirs up. Not
/// thread-safe.
class MemoryAccount {
public:
  /// A holder that got nothing for this long may have to give its memory up.
  static constexpr Duration StallTime{250};

  explicit MemoryAccount(MemoryLimits Limits) : Limits_(Limits) {}
  MemoryAccount(const MemoryAccount &) = delete;
  MemoryAccount &operator=(const MemoryAccount &) = delete;

  /// What is held above lower limits stays until it is given back.
  void setLimits(MemoryLimits Limits) { Limits_ = Limits; }
  const MemoryLimits &limits() const { return Limits_; }
  std::size_t usedBytes() const { return UsedBytes_; }
  std::size_t holderCount() const { return Holders_.size(); }
  std::size_t waitingCount() const { return Waiting_.size(); }
  /// Holders that had to give up their memory since the start.
  std::uint64_t droppedTotal() const { return DroppedTotal_; }

  /// Drops the holders that got nothing for the longest time while others wait
  /// for their memory. Called regularly.
  void reclaim(TimePoint Now);

private:
  friend class MemoryHolder;

  bool isSmall(std::size_t Bytes) const { return Bytes <= Limits_.SmallBytes; }
  std::size_t largePart(std::size_t Bytes) const {
    return isSmall(Bytes) ? 0 : Bytes;
  }
  /// Bytes that have to come free before `Holder` may hold `Bytes`.
  std::size_t missingBytes(const MemoryHolder &Holder, std::size_t Bytes) const;
  /// The same in the share of its group.
  std::size_t missingInGroup(const MemoryHolder &Holder,
                             std::size_t Bytes) const;
  /// Whether a large `Holder` has to wait until `Earlier` got its memory.
  bool isAfter(const MemoryHolder &Holder, const MemoryHolder &Earlier) const;
  void setBytes(MemoryHolder &Holder, std::size_t Bytes);
  void moveToGroup(MemoryHolder &Holder, std::string Group);
  void serveWaiting();
  MemoryHolder *longestStalled(const MemoryHolder &For, TimePoint Now);
  std::size_t bytesToBeFreed() const;

  MemoryLimits Limits_;
  std::size_t UsedBytes_ = 0;
  std::size_t LargeBytes_ = 0; ///< held by holders that are not small
  std::map<std::string, std::size_t> GroupBytes_; ///< the same by group
  std::list<MemoryHolder *> Holders_;
  std::list<MemoryHolder *> Waiting_; ///< in the order of arrival
  std::uint64_t DroppedTotal_ = 0;
};

/// Memory held for one peer; given back when it goes out of scope.
class MemoryHolder {
public:
  /// `Drop` is called when the holder should give its memory up. It must not
  /// destroy the holder.
  MemoryHolder(MemoryAccount &Account, std::function<void()> Drop);
  MemoryHolder(const MemoryHolder &) = delete;
  MemoryHolder &operator=(const MemoryHolder &) = delete;
  ~MemoryHolder();

  /// Whether the holder now holds `Bytes` in all, or held more before.
  bool tryHold(std::size_t Bytes, TimePoint Now);
  /// Asks for `Bytes` in all. `Wake` is called once they are held, or if the
  /// holder is dropped meanwhile.
  void waitFor(std::size_t Bytes, TimePoint Now, std::function<void()> Wake);
  bool isWaiting() const { return WaitsFor_ > 0; }
  void stopWaiting();
  /// The holder got what it waited for.
  void recordProgress(TimePoint Now) { ProgressAt_ = Now; }
  /// Gives back what is above `Bytes`.
  void shrinkTo(std::size_t Bytes);
  /// Counts the holder among those of `Group`; empty: of none.
  void setGroup(std::string Group);
  /// A pinned holder is not dropped: its request is being served.
  void setPinned(bool Pinned) { Pinned_ = Pinned; }

  std::size_t bytes() const { return Bytes_; }
  /// Whether the holder was dropped. Cleared by `reset`.
  bool isDropped() const { return Dropped_; }
  /// Gives everything back and forgets that the holder was dropped.
  void reset();

private:
  friend class MemoryAccount;

  MemoryAccount &Account_;
  std::list<MemoryHolder *>::iterator Place_;
  std::function<void()> Drop_;
  std::function<void()> Wake_;
  std::string Group_;
  std::size_t Bytes_ = 0;
  std::size_t WaitsFor_ = 0; ///< bytes in all; 0: not waiting
  TimePoint ProgressAt_;     ///< when it last got memory
  bool Pinned_ = false;
  bool Dropped_ = false;
};

} // namespace cassiashed::http
