#include "cassiashed/scheduling/stream_budget.h"

#include "cassiashed/base/invariant.h"

#include <algorithm>

namespace cassiashed::scheduling {

std::uint64_t StreamBudget::chargedBytes(const Stream &Target) const {
  return std::max(Target.Buffered + Target.Reading, Options_.ReadBytes);
}

void StreamBudget::updateCharge(const Stream &Target, std::uint64_t Before) {
  std::uint64_t &Workspace = WorkspaceBytes_[Target.Workspace];
  Workspace = Workspace - Before + chargedBytes(Target);
  NodeBytes_ = NodeBytes_ - Before + chargedBytes(Target);
  CASSIASHED_INVARIANT(Target.Buffered + Target.Reading <= Options_.StreamBytes,
                       "a stream holds more than its buffer");
  CASSIASHED_INVARIANT(Workspace <= Options_.WorkspaceBytes,
                       "streams of a workspace hold more than its bound");
  CASSIASHED_INVARIANT(NodeBytes_ <= Options_.NodeBytes,
                       "streams hold more than the bound of the node");
}

bool StreamBudget::open(StreamId Id, const std::string &Workspace,
                        TimePoint Now) {
  CASSIASHED_INVARIANT(!Streams_.contains(Id), "stream id opened twice");
  const auto Known = WorkspaceBytes_.find(Workspace);
  const std::uint64_t Held = Known == WorkspaceBytes_.end() ? 0 : Known->second;
  if (Held + Options_.ReadBytes > Options_.WorkspaceBytes ||
      NodeBytes_ + Options_.ReadBytes > Options_.NodeBytes)
    return false;
  Stream &Opened = Streams_[Id];
  Opened.Workspace = Workspace;
  Opened.LastProgress = Now;
  updateCharge(Opened, 0);
  return true;
}

void StreamBudget::close(StreamId Id) {
  const auto Found = Streams_.find(Id);
  if (Found == Streams_.end())
    return;
  const std::uint64_t Charged = chargedBytes(Found->second);
  const auto Workspace = WorkspaceBytes_.find(Found->second.Workspace);
  Workspace->second -= Charged;
  if (Workspace->second == 0)
    WorkspaceBytes_.erase(Workspace);
  NodeBytes_ -= Charged;
  Streams_.erase(Found);
}

void StreamBudget::setEngine(StreamId Id, const std::string &Endpoint,
                             std::uint64_t Tokens) {
  Stream &Target = Streams_.at(Id);
  Target.Endpoint = Endpoint;
  Target.Tokens = Tokens;
}

std::uint64_t StreamBudget::beginRead(StreamId Id, TimePoint Now) {
  Stream &Target = Streams_.at(Id);
  CASSIASHED_INVARIANT(Target.Reading == 0, "two reads of one stream");
  const std::uint64_t Before = chargedBytes(Target);
  const std::uint64_t Pool =
      std::min(Options_.WorkspaceBytes - WorkspaceBytes_[Target.Workspace],
               Options_.NodeBytes - NodeBytes_);
  const std::uint64_t Room =
      std::min({Options_.ReadBytes, Options_.StreamBytes - Target.Buffered,
                Before - Target.Buffered + Pool});
  if (Room == 0) {
    if (Target.BehindSince == TimePoint::max())
      Target.BehindSince = Now;
    return 0;
  }
  Target.Reading = Room;
  updateCharge(Target, Before);
  return Room;
}

void StreamBudget::endRead(StreamId Id, std::uint64_t Bytes, TimePoint Now) {
  const auto Found = Streams_.find(Id);
  if (Found == Streams_.end())
    return;
  Stream &Target = Found->second;
  CASSIASHED_INVARIANT(Bytes <= Target.Reading,
                       "more bytes read than there was room for");
  const std::uint64_t Before = chargedBytes(Target);
  if (Target.Buffered == 0)
    Target.LastProgress = Now;
  Target.Reading = 0;
  Target.Buffered += Bytes;
  updateCharge(Target, Before);
}

void StreamBudget::sent(StreamId Id, std::uint64_t Bytes, TimePoint Now) {
  const auto Found = Streams_.find(Id);
  if (Found == Streams_.end())
    return;
  Stream &Target = Found->second;
  CASSIASHED_INVARIANT(Bytes <= Target.Buffered,
                       "more bytes sent than were buffered");
  const std::uint64_t Before = chargedBytes(Target);
  Target.Buffered -= Bytes;
  if (Bytes > 0)
    Target.LastProgress = Now;
  // A caller that reads only a few bytes now and then is still behind.
  if (Target.Buffered <= Options_.StreamBytes / 2)
    Target.BehindSince = TimePoint::max();
  updateCharge(Target, Before);
}

std::vector<StreamId> StreamBudget::stalled(TimePoint Now) const {
  std::vector<StreamId> Chosen;
  for (const auto &[Id, Target] : Streams_)
    if (!Target.Endpoint.empty() && Target.Buffered > 0 &&
        Now - Target.LastProgress >= Options_.StalledAfter)
      Chosen.push_back(Id);
  return Chosen;
}

std::vector<StreamId> StreamBudget::chooseToCancel(const std::string &Endpoint,
                                                   std::uint64_t Tokens,
                                                   TimePoint Now) const {
  std::vector<std::pair<TimePoint, StreamId>> Behind;
  for (const auto &[Id, Target] : Streams_)
    if (Target.Endpoint == Endpoint && Target.Tokens > 0 &&
        Target.BehindSince != TimePoint::max() &&
        Now - Target.BehindSince >= Options_.BehindAfter)
      Behind.emplace_back(Target.BehindSince, Id);
  std::sort(Behind.begin(), Behind.end());
  std::vector<StreamId> Chosen;
  std::uint64_t Freed = 0;
  for (const auto &[Since, Id] : Behind) {
    if (Freed >= Tokens)
      break;
    Freed += Streams_.at(Id).Tokens;
    Chosen.push_back(Id);
  }
  if (Freed < Tokens)
    Chosen.clear();
  return Chosen;
}

StreamStats StreamBudget::stats() const {
  StreamStats Stats;
  Stats.Streams = Streams_.size();
  Stats.NodeBytes = NodeBytes_;
  for (const auto &[Id, Target] : Streams_)
    Stats.LargestStreamBytes =
        std::max(Stats.LargestStreamBytes, Target.Buffered + Target.Reading);
  return Stats;
}

} // namespace cassiashed::scheduling
