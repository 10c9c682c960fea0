#include "cassiashed/calls/call_recorder.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

/// Measures on a fake table, in simulated time, how many commits and reads per
/// second 500 keyed calls/s cost, and how long a call is held up by recording.
namespace {

using namespace cassiashed;
using namespace std::chrono_literals;

constexpr int CallsPerSecond = 500;
constexpr auto Simulated = 20s;
constexpr auto TableLatency = 8ms;
constexpr auto ServiceTime = 50ms;

struct Call {
  std::unique_ptr<CallRecorder> Recorder;
  std::size_t Batcher = 0;
  TimePoint StartedAt{};
  std::optional<TimePoint> OutcomeAt;
  std::optional<TimePoint> AnsweredAt;
};

struct Reply {
  std::size_t Batcher = 0;
  std::uint64_t Id = 0;
  bool IsLost = false;
  std::optional<CommitResult> Commit;
  std::optional<std::vector<TableRow>> Rows;
};

class Simulation {
public:
  /// Each batcher is a node, or a batch writer to which nodes forward their
  /// rows at once.
  Simulation(std::size_t Batchers, double LostReplies)
      : Batchers_(Batchers), Tickets_(Batchers), LostReplies_(LostReplies) {}

  void run(const char *Name) {
    const TimePoint Start = Now_;
    for (int Ms = 0; Now_ < Start + Simulated; ++Ms, Now_ += 1ms) {
      if (Ms * CallsPerSecond / 1000 != (Ms + 1) * CallsPerSecond / 1000)
        startCall();
      step();
    }
    std::vector<double> Held;
    std::size_t Answered = 0;
    for (const auto &[Index, Next] : Calls_)
      if (Next.AnsweredAt) {
        ++Answered;
        Held.push_back(std::chrono::duration<double, std::milli>(
                           *Next.AnsweredAt - Next.StartedAt - ServiceTime)
                           .count());
      }
    std::sort(Held.begin(), Held.end());
    const auto PerSecond = [](std::size_t Count) {
      return static_cast<double>(Count) /
             std::chrono::duration<double>(Simulated).count();
    };
    fmt::print("case=\"{}\" batchers={} lost_replies={:.0f}% "
               "calls_per_s={:.0f} commits_per_s={:.0f} rows_per_s={:.0f} "
               "reads_per_s={:.0f} held_p50_ms={:.0f} held_p99_ms={:.0f}\n",
               Name, Batchers_.size(), LostReplies_ * 100, PerSecond(Answered),
               PerSecond(Commits_), PerSecond(RowsWritten_), PerSecond(Reads_),
               Held[Held.size() / 2], Held[Held.size() * 99 / 100]);
  }

private:
  void startCall() {
    const std::size_t Index = NextCall_++;
    Call &Next = Calls_[Index];
    Next.Batcher = Random_() % Batchers_.size();
    Next.StartedAt = Now_;
    CallRequest Request{callRowKey("w", std::to_string(Index)),
                        "hash",
                        std::to_string(Index),
                        "node",
                        1,
                        0,
                        Now_ + 30s};
    Next.Recorder = std::make_unique<CallRecorder>(
        Request, [](const std::string &, std::uint64_t) { return true; });
    perform(Index, Next.Recorder->start(Now_));
  }

  void perform(std::size_t Index, const CallActions &Actions) {
    Call &Of = Calls_[Index];
    CallBatcher &At = Batchers_[Of.Batcher];
    for (const CallAction &Next : Actions)
      if (Next.Kind == CallActionKind::Write)
        Tickets_[Of.Batcher][At.addWrite(Next.Write, Now_)] = Index;
      else if (Next.Kind == CallActionKind::Read)
        Tickets_[Of.Batcher][At.addRead(Next.Key, Now_)] = Index;
      else if (Next.Kind == CallActionKind::Send && Of.Recorder->maySend(Now_))
        Outcomes_.emplace(Now_ + ServiceTime, Index);
      else if (Next.Kind == CallActionKind::Answer)
        Of.AnsweredAt = Now_;
    if (const TimePoint Tick = Of.Recorder->nextTick(); Tick < Now_ + 20s)
      Ticks_.emplace(Tick, Index);
  }

  void step() {
    while (!Outcomes_.empty() && Outcomes_.begin()->first <= Now_) {
      const std::size_t Index = Outcomes_.begin()->second;
      Outcomes_.erase(Outcomes_.begin());
      perform(Index, Calls_[Index].Recorder->onAnswer(
                         {201, "application/json", "{\"ok\":true}", ""}, Now_));
    }
    while (!Ticks_.empty() && Ticks_.begin()->first <= Now_) {
      const std::size_t Index = Ticks_.begin()->second;
      Ticks_.erase(Ticks_.begin());
      perform(Index, Calls_[Index].Recorder->tick(Now_));
    }
    while (!Replies_.empty() && Replies_.begin()->first <= Now_) {
      const Reply Next = std::move(Replies_.begin()->second);
      Replies_.erase(Replies_.begin());
      CallBatcher &At = Batchers_[Next.Batcher];
      const auto Results = Next.Rows ? At.onRead(Next.Id, Next.Rows, Now_)
                                     : At.onCommit(Next.Id, Next.Commit, Now_);
      for (const RowResult &Result : Results) {
        const std::size_t Index = Tickets_[Next.Batcher].at(Result.Ticket);
        Tickets_[Next.Batcher].erase(Result.Ticket);
        perform(Index, Calls_[Index].Recorder->onRow(Result, Now_));
      }
    }
    for (std::size_t Index = 0; Index < Batchers_.size(); ++Index) {
      while (const auto Batch = Batchers_[Index].takeCommit(Now_))
        commit(Index, *Batch);
      while (const auto Batch = Batchers_[Index].takeRead(Now_)) {
        ++Reads_;
        Reply Next{Index, Batch->Id};
        Next.Rows.emplace();
        for (const std::string &Key : Batch->Keys)
          Next.Rows->push_back(Rows_[Key]);
        Replies_.emplace(Now_ + TableLatency, std::move(Next));
      }
    }
  }

  void commit(std::size_t Index, const CommitBatch &Batch) {
    ++Commits_;
    RowsWritten_ += Batch.Writes.size();
    CommitResult Result{true, {}};
    for (const TableWrite &Write : Batch.Writes) {
      TableRow &Row = Rows_[Write.Key];
      Row.Key = Write.Key;
      if (Write.IfVersion == Row.Version) {
        Row.Value = *Write.Value;
        Result.Versions.emplace_back(++Row.Version);
      } else {
        Result.Versions.emplace_back();
      }
    }
    Reply Next{Index, Batch.Id};
    if (std::uniform_real_distribution<>(0, 1)(Random_) >= LostReplies_)
      Next.Commit = std::move(Result);
    Replies_.emplace(Now_ + TableLatency, std::move(Next));
  }

  TimePoint Now_{1h};
  std::mt19937_64 Random_{1};
  std::vector<CallBatcher> Batchers_;
  std::vector<std::unordered_map<std::uint64_t, std::size_t>> Tickets_;
  double LostReplies_;
  std::unordered_map<std::size_t, Call> Calls_;
  std::size_t NextCall_ = 0;
  std::unordered_map<std::string, TableRow> Rows_;
  std::multimap<TimePoint, std::size_t> Outcomes_;
  std::set<std::pair<TimePoint, std::size_t>> Ticks_;
  std::multimap<TimePoint, Reply> Replies_;
  std::size_t Commits_ = 0;
  std::size_t RowsWritten_ = 0;
  std::size_t Reads_ = 0;
};

} // namespace

int main() {
  Simulation(6, 0).run("6 nodes");
  Simulation(16, 0).run("16 nodes");
  Simulation(8, 0).run("8 batch writers");
  Simulation(8, 0.05).run("8 batch writers");
  Simulation(360, 0).run("360 nodes without batch writers");
  return 0;
}
