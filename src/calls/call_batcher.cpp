#include "cassiashed/calls/call_batcher.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/calls/call_record.h"

#include <algorithm>
#include <unordered_set>

namespace cassiashed {
namespace {

/// Up to this number each node commits its own rows. 500 keyed calls/s cost 386
/// commits/s at 16 nodes, and 243 through 8 batch writers (examples/call_rate).
constexpr std::size_t MaxNodesWithoutWriter = 16;

std::uint64_t rankOf(const std::string &Node, const std::string &For) {
  return hashBytes(Node, hashBytes(For));
}

} // namespace

std::uint64_t CallBatcher::addWrite(TableWrite Write, TimePoint Now) {
  Writes_.push_back({NextTicket_, std::move(Write), false,
                     Now + Options_.MaxDelay, Now + Options_.GiveUp});
  return NextTicket_++;
}

std::uint64_t CallBatcher::addRead(std::string Key, TimePoint Now) {
  Reads_.push_back({NextTicket_,
                    {std::move(Key), std::nullopt, std::nullopt},
                    true,
                    Now,
                    Now + Options_.GiveUp});
  return NextTicket_++;
}

std::optional<CommitBatch> CallBatcher::takeCommit(TimePoint Now) {
  if (Writes_.empty() || Commits_.size() >= Options_.MaxInFlight ||
      (Writes_.front().Due > Now && Writes_.size() < Options_.MaxRows))
    return std::nullopt;
  CommitBatch Batch;
  Items Taken;
  std::deque<Item> Left;
  std::unordered_set<std::string> Keys;
  for (Item &Next : Writes_) {
    if (Next.GiveUp <= Now) {
      // After a long pause the condition could hold for a newer row that has
      // the same version, so the write is not made.
      Next.Due = Now;
      Next.GiveUp = Now + Options_.GiveUp;
      Reads_.push_back(std::move(Next));
    } else if (Taken.size() < Options_.MaxRows &&
               Keys.insert(Next.Write.Key).second) {
      Batch.Writes.push_back(Next.Write);
      Taken.push_back(std::move(Next));
    } else {
      Left.push_back(std::move(Next));
    }
  }
  Writes_ = std::move(Left);
  if (Taken.empty())
    return std::nullopt;
  Batch.Id = NextBatch_++;
  Commits_.emplace(Batch.Id, std::move(Taken));
  return Batch;
}

std::optional<ReadBatch> CallBatcher::takeRead(TimePoint Now) {
  if (ReadsInFlight_.size() >= Options_.MaxInFlight)
    return std::nullopt;
  ReadBatch Batch;
  Items Taken;
  std::deque<Item> Left;
  std::unordered_set<std::string> Keys;
  for (Item &Next : Reads_) {
    if (Next.Due <= Now && Taken.size() < Options_.MaxRows) {
      if (Keys.insert(Next.Write.Key).second)
        Batch.Keys.push_back(Next.Write.Key);
      Taken.push_back(std::move(Next));
    } else {
      Left.push_back(std::move(Next));
    }
  }
  Reads_ = std::move(Left);
  if (Taken.empty())
    return std::nullopt;
  Batch.Id = NextBatch_++;
  ReadsInFlight_.emplace(Batch.Id, std::move(Taken));
  return Batch;
}

std::optional<TimePoint> CallBatcher::nextTime() const {
  std::optional<TimePoint> Next;
  if (!Writes_.empty() && Commits_.size() < Options_.MaxInFlight)
    Next = Writes_.front().Due;
  if (ReadsInFlight_.size() < Options_.MaxInFlight)
    for (const Item &Read : Reads_)
      Next = std::min(Next.value_or(Read.Due), Read.Due);
  return Next;
}

std::vector<RowResult>
CallBatcher::onCommit(std::uint64_t Id,
                      const std::optional<CommitResult> &Result,
                      TimePoint Now) {
  std::vector<RowResult> Results;
  const auto Found = Commits_.find(Id);
  if (Found == Commits_.end())
    return Results;
  Items Written = std::move(Found->second);
  Commits_.erase(Found);
  const bool IsKnown =
      Result && Result->Committed && Result->Versions.size() == Written.size();
  for (std::size_t Index = 0; Index < Written.size(); ++Index) {
    Item &Next = Written[Index];
    if (IsKnown && Result->Versions[Index]) {
      Results.push_back({Next.Ticket, Result->Versions[Index], std::nullopt});
    } else if (!Options_.ReadBack) {
      Results.push_back({Next.Ticket, std::nullopt, std::nullopt});
    } else {
      // A condition that failed may have been broken by an earlier copy of
      // this same write, so the row is read in that case too.
      Next.Due = Now;
      Next.GiveUp = Now + Options_.GiveUp;
      Reads_.push_back(std::move(Next));
    }
  }
  return Results;
}

std::vector<RowResult>
CallBatcher::onRead(std::uint64_t Id,
                    const std::optional<std::vector<TableRow>> &Rows,
                    TimePoint Now) {
  std::vector<RowResult> Results;
  const auto Found = ReadsInFlight_.find(Id);
  if (Found == ReadsInFlight_.end())
    return Results;
  Items Read = std::move(Found->second);
  ReadsInFlight_.erase(Found);
  std::map<std::string_view, const TableRow *> ByKey;
  if (Rows)
    for (const TableRow &Row : *Rows)
      ByKey[Row.Key] = &Row;
  for (Item &Next : Read) {
    const auto Row = ByKey.find(Next.Write.Key);
    if (Row == ByKey.end()) {
      if (Now < Next.GiveUp) {
        Next.Due = Now + Options_.ReadRetry;
        Reads_.push_back(std::move(Next));
      } else {
        Results.push_back({Next.Ticket, std::nullopt, std::nullopt});
      }
      continue;
    }
    const TableRow &Content = *Row->second;
    if (!Next.IsRead && Content.Version != 0 &&
        isSameWrite(Next.Write.Value.value_or(""), Content.Value))
      Results.push_back({Next.Ticket, Content.Version, std::nullopt});
    else
      Results.push_back({Next.Ticket, std::nullopt, Content});
  }
  return Results;
}

std::string batchWriterFor(const std::string &Node,
                           const std::vector<std::string> &LiveNodes,
                           std::size_t Writers) {
  if (LiveNodes.size() <= MaxNodesWithoutWriter)
    return {};
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  Ranked.reserve(LiveNodes.size());
  for (const std::string &Next : LiveNodes)
    Ranked.emplace_back(rankOf(Next, "batch-writer"), Next);
  std::sort(Ranked.rbegin(), Ranked.rend());
  Ranked.resize(std::min(Writers, Ranked.size()));
  return std::max_element(Ranked.begin(), Ranked.end(),
                          [&](const auto &Left, const auto &Right) {
                            return rankOf(Left.second, Node) <
                                   rankOf(Right.second, Node);
                          })
      ->second;
}

} // namespace cassiashed
