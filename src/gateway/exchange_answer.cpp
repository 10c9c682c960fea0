#include "gateway/exchange_parts.h"

#include <boost/asio/write.hpp>

namespace cassiashed::gateway {
namespace {

/// Answers up to this size are read whole before they are passed on, so that
/// one that breaks off can be replaced by another attempt.
constexpr std::size_t BufferedAnswerBytes = 64 * 1024;
constexpr std::size_t PieceBytes = 8 * 1024;
/// Bytes of an answer that states no length; one that never ends is cut off.
constexpr std::size_t UnstatedAnswerBytes = 16 * 1024 * 1024;
/// Silence after which a running stream goes to another endpoint, in longest
/// pauses.
constexpr double SilencePauses = 3;
/// Shortest silence that ends a running stream; engines stall for 1.5 s on
/// work that depends on a lost one before they say so.
constexpr Duration LeastStreamSilence{2500};

} // namespace

AnswerHead Exchange::makeAnswerHead(const ResponseParser &Parser) const {
  AnswerHead Result;
  Result.Status = static_cast<int>(Parser.get().result_int());
  Result.Reason = std::string(Parser.get().reason());
  Result.Fields = endToEndFields(Parser.get());
  Result.HasBody =
      Request_.Method != "HEAD" && Result.Status != 204 && Result.Status != 304;
  Result.KeepAlive = Request_.KeepAlive && !State_.Stopping;
  const auto Length = Parser.content_length();
  if (Length) {
    Result.Length = *Length;
  } else if (Request_.IsOldVersion) {
    Result.Body = Framing::Close;
    Result.KeepAlive = false;
  } else {
    Result.Body = Framing::Chunked;
  }
  return Result;
}

http::Task<bool> Exchange::readPiece(EndpointLink &Link, ResponseParser &Parser,
                                     std::string &Piece) {
  Piece.resize(PieceBytes);
  std::size_t Count = 0;
  while (Count == 0 && !Parser.is_done()) {
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Parser.get().body().more = true;
    Code Failure;
    co_await bhttp::async_read_some(Link.Socket, Link.Buffer, Parser,
                                    intoCode(Failure));
    if (Failure && Failure != bhttp::error::need_buffer) {
      Cause_ = Failure.message();
      Piece.clear();
      co_return false;
    }
    Count = Piece.size() - Parser.get().body().size;
  }
  State_.Health.recordBytesReceived(
      Link.Number, State_.Pool.busyCount(Link.Number) > 1, State_.now());
  Piece.resize(Count);
  co_return true;
}

http::Task<bool> Exchange::writeToCaller(std::string Bytes) {
  Code Failure;
  co_await asio::async_write(Caller_, asio::buffer(Bytes), intoCode(Failure));
  if (Failure && Ending_ == Ending::None)
    end(Ending::CallerGone);
  co_return !Failure;
}

http::Task<AttemptEnd> Exchange::relayStream(EndpointLink &Link,
                                             ResponseParser &Parser) {
  const Duration Silence =
      std::max(LeastStreamSilence, std::chrono::duration_cast<Duration>(
                                       Route_->TokenGapTarget * SilencePauses));
  // A stream whose length is stated, or that cannot be resumed, passes
  // through byte by byte.
  const bool ByEvents =
      Route_->Resumable && CallerHead_.Body != Framing::Length;
  std::string Piece;
  setSilenceLimit(State_.now() + Silence);
  while (true) {
    const bool Read = co_await readPiece(Link, Parser, Piece);
    const bool Complete = Read && Parser.is_done();
    std::string Out = ByEvents ? Events_.take(Piece) : Piece;
    if (Events_.isOversized())
      Cause_ = "an event without end";
    if (!Read || Events_.isOversized()) {
      Events_.dropRest();
      co_return AnswerBegun_ ? AttemptEnd::Broken : AttemptEnd::Failed;
    }
    if (Complete && ByEvents) {
      Out += Events_.rest();
      Events_.dropRest();
    }
    std::string Bytes;
    if (!AnswerBegun_ && (!Out.empty() || Complete))
      Bytes = formatAnswerHead(CallerHead_);
    if (!Out.empty())
      Bytes += CallerHead_.Body == Framing::Chunked ? formatChunk(Out) : Out;
    if (Complete && CallerHead_.Body == Framing::Chunked)
      Bytes += LastChunk;
    if (!Bytes.empty()) {
      notePiece();
      AnswerBegun_ = true;
      setSilenceLimit(TimePoint::max());
      const bool Written = co_await writeToCaller(std::move(Bytes));
      if (!Written)
        co_return AttemptEnd::Broken;
      // Bytes that complete no event count as silence.
      setSilenceLimit(State_.now() + Silence);
    }
    if (Complete) {
      AnswerComplete_ = true;
      co_return AttemptEnd::Answered;
    }
  }
}

http::Task<AttemptEnd> Exchange::relayWhole(EndpointLink &Link,
                                            ResponseParser &Parser) {
  HeldAnswer Answer;
  Answer.Head = makeAnswerHead(Parser);
  std::string Piece;
  while (!Parser.is_done() && Answer.Body.size() < BufferedAnswerBytes) {
    const bool Read = co_await readPiece(Link, Parser, Piece);
    if (!Read)
      co_return AttemptEnd::Failed;
    Answer.Body += Piece;
  }
  if (Parser.is_done()) {
    if (Answer.Head.Body == Framing::Chunked) {
      Answer.Head.Body = Framing::Length;
      Answer.Head.Length = Answer.Body.size();
    }
    const bool ServerFailure = Answer.Head.Status >= 500;
    Held_ = std::move(Answer);
    co_return ServerFailure ? AttemptEnd::FailedAnswer : AttemptEnd::Answered;
  }
  // Too large to hold: passed on as it comes.
  AnswerBegun_ = true;
  std::string Bytes = formatAnswerHead(Answer.Head);
  Bytes += Answer.Head.Body == Framing::Chunked ? formatChunk(Answer.Body)
                                                : Answer.Body;
  std::size_t Passed = Answer.Body.size();
  Answer.Body.clear();
  while (true) {
    const bool Written = co_await writeToCaller(std::move(Bytes));
    if (!Written)
      co_return AttemptEnd::Broken;
    if (Parser.is_done())
      break;
    const bool Read = co_await readPiece(Link, Parser, Piece);
    Passed += Piece.size();
    if (!Parser.content_length() && Passed > UnstatedAnswerBytes) {
      Cause_ = "an answer without end";
      co_return AttemptEnd::Broken;
    }
    if (!Read)
      co_return AttemptEnd::Broken;
    Bytes = Answer.Head.Body == Framing::Chunked && !Piece.empty()
                ? formatChunk(Piece)
                : Piece;
    if (Parser.is_done() && Answer.Head.Body == Framing::Chunked)
      Bytes += LastChunk;
  }
  AnswerComplete_ = true;
  Request_.KeepAlive = Answer.Head.KeepAlive;
  co_return AttemptEnd::Answered;
}

http::Task<void> Exchange::answerOwn(int Status,
                                     std::optional<Duration> RetryAfter,
                                     std::string Reason) {
  Outcome_ = "own_" + std::to_string(Status);
  State_.Log.write("request_refused", State_.now(), [&](LogLine &Line) {
    Line.field("id", Head_.AttemptId)
        .field("status", Status)
        .field("reason", Reason)
        .field("work", Wanted_.Work.Id)
        .field("attempts", Sends_)
        .field("prompt_tokens", Head_.PromptTokens)
        .field("waited_ms", std::chrono::duration_cast<Duration>(
                                State_.now() - Request_.ReceivedAt)
                                .count())
        .field("config", Config_ ? Config_->Version : 0);
  });
  const bool KeepAlive = Request_.KeepAlive && !State_.Stopping;
  AnswerComplete_ = co_await sendOwnAnswer(
      State_, Caller_, Status, Head_.AttemptId, RetryAfter, KeepAlive, Reason);
}

http::Task<void> Exchange::answerEnd(AttemptEnd Last, const Dispatch &Chosen) {
  if (Ending_ == Ending::CallerGone || AnswerComplete_)
    co_return;
  if (AnswerBegun_) {
    Outcome_ = "broken_off";
    co_return; // the connection is closed, so the answer looks incomplete
  }
  if (Held_) {
    Held_->Head.KeepAlive = Request_.KeepAlive && !State_.Stopping;
    std::string Bytes = formatAnswerHead(Held_->Head);
    if (Held_->Head.HasBody)
      Bytes += Held_->Body;
    AnswerBegun_ = true;
    const bool Written = co_await writeToCaller(std::move(Bytes));
    AnswerComplete_ = Written;
    if (Held_->Head.Body == Framing::Close)
      Request_.KeepAlive = false;
    Outcome_ = Last == AttemptEnd::Answered ? "answered" : "endpoint_failed";
    co_return;
  }
  if (MayHaveRun_) {
    if (Ending_ == Ending::TimedOut)
      co_await answerOwn(504, std::nullopt, "no answer in time");
    else
      co_await answerOwn(502, std::nullopt, "the endpoint failed");
    co_return;
  }
  if (KeyLapsed_) {
    // At another attempt the key is looked up anew.
    co_await answerOwn(503, Duration(0), "the key may have been taken away");
    co_return;
  }
  std::optional<Duration> RetryAfter = Chosen.RetryAfter;
  std::string Reason(balancing::nameOf(Chosen.Failure));
  if (Chosen.Failure == balancing::DispatchFailure::None) {
    RetryAfter = Duration(200);
    Reason = "refused by the endpoint";
  }
  if (Ending_ == Ending::TimedOut)
    RetryAfter.reset();
  co_await answerOwn(503, RetryAfter, std::move(Reason));
}

http::Task<bool> sendOwnAnswer(GatewayState &State, Tcp::socket &Caller,
                               int Status, const std::string &AttemptId,
                               std::optional<Duration> RetryAfter,
                               bool KeepAlive, std::string Message) {
  AnswerHead Head;
  Head.Status = Status;
  Head.Fields = State.Protocol.makeRefusalFields(AttemptId, RetryAfter);
  Head.Fields.emplace_back("Content-Type", "text/plain");
  Message += '\n';
  Head.Length = Message.size();
  Head.KeepAlive = KeepAlive;
  std::string Bytes = formatAnswerHead(Head) + Message;
  Code Failure;
  co_await asio::async_write(Caller, asio::buffer(Bytes), intoCode(Failure));
  co_return !Failure;
}

} // namespace cassiashed::gateway
