#include "node/engine_attempt.h"

#include "cassiashed/text/json.h"
#include "http/event_stream.h"
#include <algorithm>
#include <array>

namespace cassiashed {
namespace {

using http::Task;

constexpr std::array<std::string_view, 8> EndNames = {
    "complete", "refused",  "not-reached",     "engine-lost",
    "silent",   "deadline", "consumer-failed", "cancelled"};
static_assert(EndNames.size() ==
              static_cast<std::size_t>(AttemptEnd::Cancelled) + 1);

// Keeps the kernel from buffering tokens of a stream whose caller is slow.
constexpr int EngineReceiveBufferBytes = 16 * 1024;
constexpr Duration CancelTimeout = std::chrono::seconds(2);

http::Request makeGenerateCall(const CompletionRequest &Request,
                               const AttemptInput &Input, TimePoint Now) {
  const auto Remaining =
      std::chrono::duration_cast<Duration>(Input.Deadline - Now);
  Json Body = {{"request_id", Input.RequestId},
               {"attempt", Input.Attempt},
               {"node", Input.Node},
               {"epoch", Input.Epoch},
               {"model", Request.Model},
               {"prompt_tokens", Request.PromptTokens},
               {"max_tokens", Request.MaxTokens},
               {"priority", Input.Priority},
               {"deadline_ms", Remaining.count()},
               {"resume_from", Input.ResumeFrom}};
  Body["prompt"] = Request.Prompt;
  http::Request Call;
  Call.Method = "POST";
  Call.Target = "/v1/generate";
  Call.Fields.emplace_back("Content-Type", "application/json");
  Call.Fields.emplace_back("X-Request-Id", Input.RequestId);
  Call.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Call;
}

/// Checks and collects the events of one attempt.
class FrameReader {
public:
  enum class State { Open, Done, Broken };

  FrameReader(const AttemptInput &Input, std::uint64_t MaxTokens)
      : RequestId_(Input.RequestId), Attempt_(Input.Attempt),
        NextSequence_(Input.ResumeFrom), MaxTokens_(MaxTokens) {}

  void feed(std::string_view Bytes) {
    Events_.feed(Bytes);
    while (State_ == State::Open) {
      const auto Event = Events_.next();
      if (!Event)
        break;
      accept(Event->Data);
    }
    if (Events_.invalid())
      fail("event too large");
  }

  State state() const { return State_; }
  const std::string &detail() const { return Detail_; }
  std::string takeText() { return std::exchange(Text_, {}); }
  std::uint64_t takeTokens() { return std::exchange(Tokens_, 0); }

private:
  void fail(std::string Detail) {
    State_ = State::Broken;
    Detail_ = std::move(Detail);
  }

  void accept(const std::string &Data) {
    std::string Reason;
    const std::optional<Json> Event = parseJsonObject(Data, Reason);
    if (!Event)
      return fail("malformed event: " + Reason);
    // An event of an earlier attempt or of another request.
    if (readString(*Event, "request_id") != RequestId_ ||
        readInteger(*Event, "attempt") != Attempt_)
      return;
    if (readBool(*Event, "done"))
      return finish(*Event);
    if (Event->contains("error"))
      return fail("engine error: " + readString(*Event, "error"));
    const auto Sequence =
        static_cast<std::uint64_t>(readInteger(*Event, "seq", -1));
    if (Sequence < NextSequence_)
      return;
    if (Sequence > NextSequence_)
      return fail("gap in the stream");
    if (Sequence >= MaxTokens_)
      return fail("more tokens than requested");
    ++NextSequence_;
    ++Tokens_;
    Text_ += readString(*Event, "text");
  }

  void finish(const Json &Event) {
    const auto Total =
        static_cast<std::uint64_t>(readInteger(Event, "tokens", -1));
    if (Total != NextSequence_)
      return fail("last event does not match the number of tokens");
    State_ = State::Done;
  }

  std::string RequestId_;
  std::int64_t Attempt_;
  std::uint64_t NextSequence_;
  std::uint64_t MaxTokens_;
  http::EventParser Events_;
  std::string Text_;
  std::uint64_t Tokens_ = 0;
  State State_ = State::Open;
  std::string Detail_;
};

class EngineAttemptImpl final : public EngineAttempt {
public:
  explicit EngineAttemptImpl(http::asio::any_io_executor Executor)
      : Stream_(http::makeClientStream(
            std::move(Executor),
            {.ReceiveBufferBytes = EngineReceiveBufferBytes})) {}

  Task<AttemptResult> run(http::Address Engine,
                          const CompletionRequest &Request, AttemptInput Input,
                          TokenConsumer Consume) override {
    AttemptResult Result;
    const TimePoint Now = Clock_.now();
    if (Now >= Input.Deadline) {
      Result.End = AttemptEnd::Deadline;
      co_return Result;
    }
    http::Request Call = makeGenerateCall(Request, Input, Now);
    const bool Connected = co_await Stream_->connect(std::move(Engine));
    // A process that was paused must not act on a grant that the owner counts
    // as unused by now.
    if (Connected && Clock_.now() >= Input.SendBy) {
      Result.Detail = "the grant was too old to be sent";
      co_return Result;
    }
    bool Sent = false;
    if (Connected)
      Sent = co_await Stream_->send(std::move(Call));
    if (!Sent) {
      fail(Result, Input);
      co_return Result;
    }
    const Duration HeadTimeout = timeLeft(Input, Input.FirstEventTimeout);
    const std::optional<http::Response> Head =
        co_await Stream_->readHead(HeadTimeout);
    if (!Head) {
      fail(Result, Input);
      co_return Result;
    }
    if (Head->Status != 200) {
      co_await readRefusal(Result, Head->Status);
      co_return Result;
    }
    FrameReader Frames(Input, Request.MaxTokens);
    co_await readEvents(Result, Input, Frames, Consume);
    co_return Result;
  }

  void cancel() override {
    Cancelled_ = true;
    Stream_->close();
  }

private:
  Duration timeLeft(const AttemptInput &Input, Duration Limit) const {
    const auto Left =
        std::chrono::duration_cast<Duration>(Input.Deadline - Clock_.now());
    return std::clamp(Left, Duration(1), Limit);
  }

  void fail(AttemptResult &Result, const AttemptInput &Input) {
    using http::ClientFailure;
    const ClientFailure Failure = Stream_->failure();
    if (Cancelled_)
      Result.End = AttemptEnd::Cancelled;
    else if (Clock_.now() >= Input.Deadline)
      Result.End = AttemptEnd::Deadline;
    else if (Failure == ClientFailure::NotConnected)
      Result.End = AttemptEnd::NotReached;
    else if (Failure == ClientFailure::TimedOut)
      Result.End = AttemptEnd::Silent;
    else
      Result.End = AttemptEnd::EngineLost;
  }

  Task<void> readRefusal(AttemptResult &Result, int Status) {
    const Duration Limit = std::chrono::seconds(2);
    const std::optional<std::string> Body = co_await Stream_->readSome(Limit);
    std::string Reason;
    const std::optional<Json> Parsed =
        parseJsonObject(Body.value_or(""), Reason);
    const bool NotRun = Parsed && readString(*Parsed, "ran") == "not-run";
    Result.End = NotRun ? AttemptEnd::Refused : AttemptEnd::EngineLost;
    Result.Detail = "status " + std::to_string(Status);
  }

  Task<void> readEvents(AttemptResult &Result, const AttemptInput &Input,
                        FrameReader &Frames, const TokenConsumer &Consume) {
    while (true) {
      const Duration Limit =
          timeLeft(Input, Result.FirstToken ? Input.SilenceTimeout
                                            : Input.FirstEventTimeout);
      const std::optional<std::string> Piece =
          co_await Stream_->readSome(Limit);
      if (!Piece) {
        fail(Result, Input);
        co_return;
      }
      Frames.feed(*Piece);
      const std::uint64_t Tokens = Frames.takeTokens();
      if (Tokens > 0) {
        if (!Result.FirstToken)
          Result.FirstToken = Clock_.now();
        std::string Text = Frames.takeText();
        const bool Consumed = co_await Consume(std::move(Text), Tokens);
        if (!Consumed) {
          Result.End =
              Cancelled_ ? AttemptEnd::Cancelled : AttemptEnd::ConsumerFailed;
          co_return;
        }
        Result.Tokens += Tokens;
      }
      if (Frames.state() == FrameReader::State::Done) {
        Result.End = AttemptEnd::Complete;
        co_return;
      }
      // A stream that closes cleanly without its last event is not whole.
      if (Piece->empty() || Frames.state() == FrameReader::State::Broken) {
        Result.End = AttemptEnd::EngineLost;
        Result.Detail = Piece->empty() ? "stream ended early" : Frames.detail();
        co_return;
      }
    }
  }

  SteadyClock Clock_;
  std::shared_ptr<http::ClientStream> Stream_;
  bool Cancelled_ = false;
};

} // namespace

std::string_view nameOf(AttemptEnd End) {
  return EndNames[static_cast<std::size_t>(End)];
}

std::shared_ptr<EngineAttempt>
makeEngineAttempt(http::asio::any_io_executor Executor) {
  return std::make_shared<EngineAttemptImpl>(std::move(Executor));
}

Task<bool> cancelAtEngine(http::Address Engine, std::string RequestId,
                          std::uint32_t Attempt) {
  const Json Body = {{"request_id", RequestId}, {"attempt", Attempt}};
  http::Request Call;
  Call.Method = "POST";
  Call.Target = "/v1/cancel";
  Call.Fields.emplace_back("Content-Type", "application/json");
  Call.Body = Body.dump();
  const std::optional<http::Response> Reply =
      co_await http::fetch(std::move(Engine), std::move(Call), CancelTimeout);
  co_return Reply && Reply->Status < 300;
}

} // namespace cassiashed
