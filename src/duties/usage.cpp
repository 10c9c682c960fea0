#include "cassiashed/duties/usage.h"

#include <algorithm>

namespace cassiashed::duties {

std::int64_t UsageLedger::windowAt(std::int64_t UnixMs) const {
  return UnixMs / Window_.count();
}

std::int64_t UsageLedger::endOf(std::int64_t Window) const {
  return (Window + 1) * Window_.count();
}

void UsageLedger::count(const std::string &Workspace, std::int64_t UnixMs) {
  ++Windows_[windowAt(UnixMs)][""][Workspace];
}

void UsageLedger::merge(const std::string &Origin, const UsageReport &Counted,
                        std::int64_t UnixMs) {
  const std::int64_t Current = windowAt(UnixMs);
  // Clocks differ by less than a window; other numbers come from a faulty
  // sender and would be kept for ever.
  if (Origin.empty() || Counted.Window > Current + 1 ||
      Counted.Window < Current - static_cast<std::int64_t>(Kept_))
    return;
  UsageCounts &Known = Windows_[Counted.Window][Origin];
  for (const auto &[Workspace, Count] : Counted.Counts) {
    std::uint64_t &Stored = Known[Workspace];
    Stored = std::max(Stored, Count);
  }
}

std::vector<UsageReport> UsageLedger::own(std::int64_t UnixMs,
                                          std::size_t MaxCounts) const {
  std::vector<UsageReport> Result;
  const std::int64_t Oldest =
      windowAt(UnixMs) - static_cast<std::int64_t>(Kept_);
  std::size_t Counts = 0;
  for (auto Entry = Windows_.rbegin(); Entry != Windows_.rend(); ++Entry) {
    const auto Found = Entry->second.find("");
    if (Entry->first < Oldest || Found == Entry->second.end())
      continue;
    Counts += Found->second.size();
    // Older windows were told when they were new.
    if (Counts > MaxCounts)
      break;
    Result.push_back({Entry->first, Found->second});
  }
  return Result;
}

UsageReport UsageLedger::total(std::int64_t Window) const {
  UsageReport Result;
  Result.Window = Window;
  const auto Found = Windows_.find(Window);
  if (Found == Windows_.end())
    return Result;
  for (const auto &[Origin, Counts] : Found->second)
    for (const auto &[Workspace, Count] : Counts)
      Result.Counts[Workspace] += Count;
  return Result;
}

void UsageLedger::discardOld(std::int64_t UnixMs) {
  const std::int64_t Oldest =
      windowAt(UnixMs) - static_cast<std::int64_t>(Kept_);
  std::erase_if(Windows_,
                [Oldest](const auto &Entry) { return Entry.first < Oldest; });
}

void UsageReporter::begin(std::vector<UsageReport> Recorded,
                          std::int64_t FirstWindow, std::int64_t UnixMs) {
  HasBegun_ = true;
  Decided_ = std::move(Recorded);
  std::sort(Decided_.begin(), Decided_.end(),
            [](const UsageReport &Left, const UsageReport &Right) {
              return Left.Window < Right.Window;
            });
  Confirmed_ = Proposed_ = Decided_.size();
  Sent_.clear();
  // A window whose report would come too late is not decided any more.
  const std::int64_t Oldest =
      (UnixMs - Times_.Late.count()) / Times_.Window.count();
  NextWindow_ = std::max(FirstWindow, Oldest);
  if (!Decided_.empty())
    NextWindow_ = std::max(NextWindow_, Decided_.back().Window + 1);
}

std::optional<std::vector<UsageReport>>
UsageReporter::toRecord(const UsageLedger &Ledger, std::int64_t UnixMs) {
  while (endOf(NextWindow_) + Times_.Settle.count() <= UnixMs) {
    if (endOf(NextWindow_) + Times_.Late.count() > UnixMs)
      Decided_.push_back(Ledger.total(NextWindow_));
    ++NextWindow_;
  }
  if (Decided_.size() == Confirmed_)
    return std::nullopt;
  // Reports that can no longer be sent need no record, except the newest: it
  // tells the next holder where to go on.
  std::size_t Expired = 0;
  while (Expired < Confirmed_ && Expired + 1 < Decided_.size() &&
         endOf(Decided_[Expired].Window) + Times_.Late.count() < UnixMs)
    ++Expired;
  Decided_.erase(Decided_.begin(),
                 Decided_.begin() + static_cast<std::ptrdiff_t>(Expired));
  Confirmed_ -= Expired;
  Proposed_ = Decided_.size();
  return Decided_;
}

void UsageReporter::recordConfirmed() { Confirmed_ = Proposed_; }

const UsageReport *UsageReporter::toSend(std::int64_t UnixMs) {
  for (std::size_t Index = 0; Index < Confirmed_; ++Index) {
    const UsageReport &Report = Decided_[Index];
    if (Sent_.count(Report.Window) == 0 &&
        endOf(Report.Window) + Times_.Late.count() > UnixMs)
      return &Report;
  }
  return nullptr;
}

void UsageReporter::recordSent(std::int64_t Window) { Sent_.insert(Window); }

} // namespace cassiashed::duties
