#include "cassiashed/calls/call_recorder.h"

#include <fmt/format.h>

/// One non-idempotent call: claim of the row, one send, record, answer. The
/// program plays the table and the service; every write succeeds.
int main() {
  using namespace cassiashed;
  using namespace std::chrono_literals;

  TimePoint Now = std::chrono::steady_clock::now();
  CallRequest Request;
  Request.RowKey = callRowKey("driver-app", "hold-17-a");
  Request.RequestHash = "hash of path and body";
  Request.Attempt = "a1-1-1";
  Request.Node = "a1";
  Request.Deadline = Now + 10s;
  const auto IsAlive = [](const std::string &, std::uint64_t) { return true; };
  CallRecorder Recorder(Request, IsAlive);
  CallActions Actions = Recorder.start(Now);
  std::uint64_t Version = 0;
  for (std::size_t Index = 0; Index < Actions.size(); ++Index) {
    const CallAction Next = Actions[Index];
    CallActions More;
    if (Next.Kind == CallActionKind::Write) {
      fmt::print("write {}\n", Next.Write.Value.value_or("(delete)"));
      RowResult Row;
      Row.Version = ++Version;
      More = Recorder.onRow(Row, Now += 8ms);
    } else if (Next.Kind == CallActionKind::Send && Recorder.maySend(Now)) {
      fmt::print("send\n");
      More = Recorder.onAnswer({200, "text/plain", "held", ""}, Now += 50ms);
    } else if (Next.Kind == CallActionKind::Answer) {
      fmt::print("answer {}\n", Next.Outcome.Body);
    }
    Actions.insert(Actions.end(), More.begin(), More.end());
  }
}
