#include "http/memory_account.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiashed::http {
namespace {

std::size_t excess(std::size_t Value, std::size_t Limit) {
  return Value > Limit ? Value - Limit : 0;
}

} // namespace

MemoryLimits memoryLimitsFor(std::size_t ProcessBytes) {
  MemoryLimits Result;
  // The other half is for the tables, for the allocator's unused parts and for
  // what the kernel holds unread. Half of the smallest host (160 MB) holds 15
  // bodies of 4 MiB beside the ordinary part.
  Result.TotalBytes = ProcessBytes / 2;
  Result.OrdinaryBytes = Result.TotalBytes / 4;
  Result.SmallBytes = std::min<std::size_t>(96 * 1024, ProcessBytes / 256);
  Result.GroupBytes = Result.TotalBytes / 2;
  return Result;
}

std::size_t MemoryAccount::missingBytes(const MemoryHolder &Holder,
                                        std::size_t Bytes) const {
  const std::size_t Used = UsedBytes_ - Holder.Bytes_ + Bytes;
  std::size_t Missing = excess(Used, Limits_.TotalBytes);
  if (isSmall(Bytes))
    return Missing;
  const std::size_t Large = LargeBytes_ - largePart(Holder.Bytes_) + Bytes;
  Missing = std::max(Missing,
                     excess(Large, Limits_.TotalBytes - Limits_.OrdinaryBytes));
  return std::max(Missing, missingInGroup(Holder, Bytes));
}

std::size_t MemoryAccount::missingInGroup(const MemoryHolder &Holder,
                                          std::size_t Bytes) const {
  const auto Group = GroupBytes_.find(Holder.Group_);
  if (isSmall(Bytes) || Holder.Group_.empty() || Group == GroupBytes_.end())
    return 0;
  return excess(Group->second - largePart(Holder.Bytes_) + Bytes,
                Limits_.GroupBytes);
}

bool MemoryAccount::isAfter(const MemoryHolder &Holder,
                            const MemoryHolder &Earlier) const {
  // Who waits for the share of its own group holds up only that group:
  // otherwise a crowd of one workspace shuts out the others.
  return Holder.Group_ == Earlier.Group_ ||
         missingInGroup(Earlier, Earlier.WaitsFor_) == 0;
}

void MemoryAccount::setBytes(MemoryHolder &Holder, std::size_t Bytes) {
  const std::size_t Before = largePart(Holder.Bytes_);
  UsedBytes_ = UsedBytes_ - Holder.Bytes_ + Bytes;
  LargeBytes_ = LargeBytes_ - Before + largePart(Bytes);
  if (!Holder.Group_.empty())
    GroupBytes_[Holder.Group_] += largePart(Bytes) - Before;
  Holder.Bytes_ = Bytes;
}

void MemoryAccount::moveToGroup(MemoryHolder &Holder, std::string Group) {
  if (!Holder.Group_.empty()) {
    std::size_t &Held = GroupBytes_[Holder.Group_];
    Held -= largePart(Holder.Bytes_);
    if (Held == 0)
      GroupBytes_.erase(Holder.Group_);
  }
  Holder.Group_ = std::move(Group);
  if (!Holder.Group_.empty())
    GroupBytes_[Holder.Group_] += largePart(Holder.Bytes_);
}

void MemoryAccount::serveWaiting() {
  // Large holders are served in turn, so that none of them waits for ever;
  // small ones use the ordinary part meanwhile.
  std::vector<const MemoryHolder *> LargeWaiting;
  for (auto Entry = Waiting_.begin(); Entry != Waiting_.end();) {
    MemoryHolder &Holder = **Entry;
    const std::size_t Bytes = Holder.WaitsFor_;
    const bool IsNext =
        isSmall(Bytes) || std::none_of(LargeWaiting.begin(), LargeWaiting.end(),
                                       [&](const MemoryHolder *Earlier) {
                                         return isAfter(Holder, *Earlier);
                                       });
    if (!IsNext || missingBytes(Holder, Bytes) > 0) {
      // Those behind it have to wait for whom it waits, too.
      if (!isSmall(Bytes) && IsNext)
        LargeWaiting.push_back(&Holder);
      ++Entry;
      continue;
    }
    Entry = Waiting_.erase(Entry);
    setBytes(Holder, Bytes);
    Holder.WaitsFor_ = 0;
    Holder.Wake_();
  }
}

MemoryHolder *MemoryAccount::longestStalled(const MemoryHolder &For,
                                            TimePoint Now) {
  const bool GroupIsFull =
      !For.Group_.empty() && !isSmall(For.WaitsFor_) &&
      GroupBytes_[For.Group_] - largePart(For.Bytes_) + For.WaitsFor_ >
          Limits_.GroupBytes;
  MemoryHolder *Result = nullptr;
  for (MemoryHolder *Holder : Holders_) {
    if (Holder->Pinned_ || Holder->Dropped_ || Holder->Bytes_ == 0 ||
        Now - Holder->ProgressAt_ < StallTime)
      continue;
    if (GroupIsFull && Holder->Group_ != For.Group_)
      continue;
    if (!Result || Holder->ProgressAt_ < Result->ProgressAt_)
      Result = Holder;
  }
  return Result;
}

std::size_t MemoryAccount::bytesToBeFreed() const {
  std::size_t Result = 0;
  for (const MemoryHolder *Holder : Holders_)
    if (Holder->Dropped_)
      Result += Holder->Bytes_;
  return Result;
}

void MemoryAccount::reclaim(TimePoint Now) {
  std::size_t Freed = bytesToBeFreed();
  std::size_t Needed = 0;
  std::vector<const MemoryHolder *> LargeWaiting;
  // Dropping may end the wait of another holder.
  const std::vector<MemoryHolder *> Waiting(Waiting_.begin(), Waiting_.end());
  for (MemoryHolder *Holder : Waiting) {
    if (!Holder->isWaiting() || Holder->Dropped_)
      continue;
    if (!isSmall(Holder->WaitsFor_)) {
      if (std::any_of(LargeWaiting.begin(), LargeWaiting.end(),
                      [&](const MemoryHolder *Earlier) {
                        return isAfter(*Holder, *Earlier);
                      }))
        continue;
      LargeWaiting.push_back(Holder);
    }
    const std::size_t Missing = missingBytes(*Holder, Holder->WaitsFor_);
    Needed += std::min(Missing, Holder->WaitsFor_ - Holder->Bytes_);
    while (Freed < Needed) {
      MemoryHolder *Victim = longestStalled(*Holder, Now);
      if (!Victim) {
        Needed = Freed; // nothing more can be freed for it
        break;
      }
      Victim->Dropped_ = true;
      ++DroppedTotal_;
      Freed += Victim->Bytes_;
      Victim->Drop_();
      if (Victim->isWaiting())
        Victim->Wake_();
      if (Victim == Holder)
        break;
    }
  }
}

MemoryHolder::MemoryHolder(MemoryAccount &Account, std::function<void()> Drop)
    : Account_(Account), Drop_(std::move(Drop)) {
  Place_ = Account_.Holders_.insert(Account_.Holders_.end(), this);
}

MemoryHolder::~MemoryHolder() {
  stopWaiting();
  Account_.setBytes(*this, 0);
  Account_.moveToGroup(*this, "");
  Account_.Holders_.erase(Place_);
  Account_.serveWaiting();
}

bool MemoryHolder::tryHold(std::size_t Bytes, TimePoint Now) {
  if (Bytes <= Bytes_)
    return true;
  // Those who wait go first, but for what small holders have of their own.
  const bool MustQueue =
      !Account_.isSmall(Bytes) &&
      std::any_of(Account_.Waiting_.begin(), Account_.Waiting_.end(),
                  [this](const MemoryHolder *Earlier) {
                    return Account_.isAfter(*this, *Earlier);
                  });
  if (MustQueue || Account_.missingBytes(*this, Bytes) > 0)
    return false;
  Account_.setBytes(*this, Bytes);
  ProgressAt_ = Now;
  return true;
}

void MemoryHolder::waitFor(std::size_t Bytes, TimePoint Now,
                           std::function<void()> Wake) {
  if (Bytes_ == 0)
    ProgressAt_ = Now;
  WaitsFor_ = Bytes;
  Wake_ = std::move(Wake);
  Account_.Waiting_.push_back(this);
  Account_.reclaim(Now);
}

void MemoryHolder::stopWaiting() {
  if (WaitsFor_ == 0)
    return;
  WaitsFor_ = 0;
  Account_.Waiting_.remove(this);
  Account_.serveWaiting();
}

void MemoryHolder::shrinkTo(std::size_t Bytes) {
  if (Bytes >= Bytes_)
    return;
  Account_.setBytes(*this, Bytes);
  Account_.serveWaiting();
}

void MemoryHolder::setGroup(std::string Group) {
  if (Group != Group_)
    Account_.moveToGroup(*this, std::move(Group));
}

void MemoryHolder::reset() {
  stopWaiting();
  setGroup("");
  Pinned_ = false;
  Dropped_ = false;
  shrinkTo(0);
}

} // namespace cassiashed::http
