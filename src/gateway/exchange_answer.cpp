#include "gateway/exchange_internal.h"

#include "cassiashed/balancing/first_byte_timeout.h"
#include "http/peek.h"
#include <boost/asio/write.hpp>

namespace cassiashed::gateway {
namespace {

/// Answers up to this size are read whole before they are passed on, so that
/// another attempt can replace one that is interrupted.
constexpr std::size_t MaxBufferedAnswerBytes = 64 * 1024;
constexpr std::size_t PieceBytes = 8 * 1024;
/// Limit for an answer that states no length; a longer one is cut off.
constexpr std::size_t MaxUnsizedAnswerBytes = 16 * 1024 * 1024;

} // namespace

AnswerHead Exchange::makeAnswerHead(const ResponseParser &Parser) const {
  AnswerHead Result;
  Result.Status = static_cast<int>(Parser.get().result_int());
  Result.Reason = std::string(Parser.get().reason());
  Result.Fields = endToEndFields(Parser.get());
  Result.HasBody =
      Request_.Method != "HEAD" && Result.Status != 204 && Result.Status != 304;
  Result.KeepAlive = Request_.KeepAlive;
  const auto Length = Parser.content_length();
  if (Length) {
    Result.Length = *Length;
  } else if (Request_.IsHttp10) {
    Result.Body = Framing::Close;
    Result.KeepAlive = false;
  } else {
    Result.Body = Framing::Chunked;
  }
  return Result;
}

AnswerHead Exchange::makeStreamHead(const ResponseParser &Parser) const {
  AnswerHead Result = makeAnswerHead(Parser);
  Result.Body = Request_.IsHttp10 ? Framing::Close : Framing::Chunked;
  if (Request_.IsHttp10)
    Result.KeepAlive = false;
  return Result;
}

bool Exchange::carriesEvents(const ResponseParser &Parser) const {
  static constexpr std::string_view EventStream = "text/event-stream";
  if (!makeAnswerHead(Parser).HasBody)
    return false;
  const auto Type = Parser.get()[bhttp::field::content_type];
  return Type.empty() ||
         equalsIgnoringCase(std::string_view(Type.data(), Type.size())
                                .substr(0, EventStream.size()),
                            EventStream);
}

bool Exchange::isWholeStream(const ResponseParser &Parser,
                             bool HasEvents) const {
  if (Events_.isInsideEvent())
    return false;
  // Without a length or chunks, an empty stream cannot be told from one that
  // was broken off before its first event.
  return HasEvents || framingOf(Parser) != Framing::Close;
}

std::string Exchange::beginAnswer(const AnswerHead &Head) {
  AnswerStarted_ = true;
  Suspended_.reset(); // its answer would be another one
  Code Ignored;
  if (Head.Body == Framing::Close)
    Caller_.set_option(asio::socket_base::linger(true, 0), Ignored);
  return formatAnswerHead(Head);
}

void Exchange::endAnswer(const AnswerHead &Head) {
  AnswerComplete_ = true;
  if (!Head.KeepAlive)
    Request_.KeepAlive = false;
  Code Ignored;
  if (Head.Body == Framing::Close)
    Caller_.set_option(asio::socket_base::linger(false, 0), Ignored);
}

http::Task<bool> Exchange::readPiece(EndpointConnection &Connection,
                                     ResponseParser &Parser,
                                     std::string &Piece) {
  Piece.resize(PieceBytes);
  std::size_t Count = 0;
  while (Count == 0 && !Parser.is_done()) {
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Parser.get().body().more = true;
    Code Failure;
    co_await bhttp::async_read_some(Connection.Socket, Connection.Buffer,
                                    Parser, intoCode(Failure));
    if (Failure && Failure != bhttp::error::need_buffer) {
      FailureCause_ = Failure.message();
      Piece.clear();
      co_return false;
    }
    Count = Piece.size() - Parser.get().body().size;
    const bool EndsWithConnection =
        Parser.is_done() && framingOf(Parser) == Framing::Close;
    // An endpoint that ends its connection before it has the whole request may
    // have failed: the end does not show that its answer is whole.
    const bool EndsEarly =
        EndsWithConnection && (!Sending_->Done || Sending_->Failure ||
                               http::hasUnsentBytes(Connection.Socket));
    if (EndsEarly || (EndsWithConnection && http::isReset(Connection.Socket))) {
      FailureCause_ = EndsEarly ? "an early end of an answer without a length"
                                : "the connection was reset";
      Piece.clear();
      co_return false;
    }
  }
  State_.Health.recordBytesReceived(
      Connection.Number, State_.Pool.busyCount(Connection.Number) > 1,
      State_.now());
  Piece.resize(Count);
  co_return true;
}

http::Task<bool> Exchange::writeToCaller(std::string Bytes) {
  Code Failure;
  co_await asio::async_write(Caller_, asio::buffer(Bytes), intoCode(Failure));
  if (Failure && CancelReason_ == CancelReason::None)
    cancel(CancelReason::CallerDisconnected);
  co_return !Failure;
}

Duration Exchange::streamIdleTimeout() const {
  return balancing::streamIdleTimeout(
      Route_->TokenGapTarget,
      Duration(static_cast<Duration::rep>(std::min(1e6, idleFirstTokenMs()))));
}

http::Task<AttemptResult> Exchange::relayStream(EndpointConnection &Connection,
                                                ResponseParser &Parser) {
  const Duration IdleTimeout = streamIdleTimeout();
  std::string Piece;
  setEndpointDeadline(State_.now() + IdleTimeout);
  while (true) {
    const bool Read = co_await readPiece(Connection, Parser, Piece);
    if (Read)
      EndpointTimedOut_ = false;
    else if (EndpointTimedOut_ && Connection.Socket.is_open())
      co_return AttemptResult::Suspended;
    if (SuspendedSendsAgain_)
      co_return AttemptResult::Failed;
    std::string Output = Continuity_.accept(Events_.append(Piece));
    const bool Complete =
        Read && Parser.is_done() && Continuity_.mayEnd() &&
        isWholeStream(Parser, AnswerStarted_ || !Output.empty());
    if (Events_.isOversized())
      FailureCause_ = "an event is too large";
    else if (Continuity_.isRefused())
      FailureCause_ = "an event does not continue the stream";
    else if (Read && Parser.is_done() && !Continuity_.mayEnd())
      FailureCause_ = "no event continues the stream";
    else if (Read && Parser.is_done() && !Complete)
      FailureCause_ = "the stream was broken off";
    if (Complete)
      Output += Events_.incompleteEvent();
    std::string Bytes;
    if (!AnswerStarted_ && (!Output.empty() || Complete))
      Bytes = beginAnswer(AnswerHead_);
    if (!Output.empty())
      Bytes +=
          AnswerHead_.Body == Framing::Chunked ? formatChunk(Output) : Output;
    if (Complete && AnswerHead_.Body == Framing::Chunked)
      Bytes += LastChunk;
    if (!Output.empty() || Complete)
      Suspended_.reset();
    if (!Bytes.empty()) {
      recordTokenGap();
      setEndpointDeadline(TimePoint::max());
      const bool Written = co_await writeToCaller(std::move(Bytes));
      if (!Written)
        co_return AttemptResult::Broken;
      // Only bytes that complete an event extend the deadline.
      setEndpointDeadline(State_.now() + IdleTimeout);
    }
    if (Complete) {
      endAnswer(AnswerHead_);
      co_return AttemptResult::Answered;
    }
    if (!Read || Parser.is_done() || Events_.isOversized() ||
        Continuity_.isRefused()) {
      Events_.discardIncompleteEvent();
      co_return AnswerStarted_ ? AttemptResult::Broken : AttemptResult::Failed;
    }
  }
}

TimePoint Exchange::wholeAnswerDeadline() const {
  balancing::SentRequest Sent;
  Sent.Remaining = remainingTime();
  Sent.CanRetryElsewhere = allowsAnotherAttempt();
  const std::optional<Duration> Timeout = balancing::firstByteTimeout(Sent);
  return Timeout ? State_.now() + *Timeout : TimePoint::max();
}

http::Task<AttemptResult> Exchange::relayWhole(EndpointConnection &Connection,
                                               ResponseParser &Parser) {
  BufferedAnswer Answer;
  Answer.Head = makeAnswerHead(Parser);
  std::string Piece;
  // Where memory is short, an answer is passed on as it comes.
  const std::size_t HeldBytes = Request_.Memory->bytes();
  const auto CanBuffer = [&] {
    return Answer.Body.empty() ||
           Request_.Memory->tryHold(HeldBytes + Answer.Body.size() + PieceBytes,
                                    State_.now());
  };
  while (!Parser.is_done() && Answer.Body.size() < MaxBufferedAnswerBytes &&
         CanBuffer()) {
    setEndpointDeadline(wholeAnswerDeadline());
    const bool Read = co_await readPiece(Connection, Parser, Piece);
    if (!Read)
      co_return AttemptResult::Failed;
    Answer.Body += Piece;
  }
  if (Parser.is_done()) {
    if (Answer.Head.Body == Framing::Chunked) {
      Answer.Head.Body = Framing::Length;
      Answer.Head.Length = Answer.Body.size();
    }
    const bool ServerFailure = Answer.Head.Status >= 500;
    BufferedAnswer_ = std::move(Answer);
    co_return ServerFailure ? AttemptResult::FailedAnswer
                            : AttemptResult::Answered;
  }
  // Too large to buffer: passed on as it comes.
  setEndpointDeadline(TimePoint::max());
  std::string Bytes = beginAnswer(Answer.Head);
  Bytes += Answer.Head.Body == Framing::Chunked ? formatChunk(Answer.Body)
                                                : Answer.Body;
  std::size_t SentBytes = Answer.Body.size();
  Answer.Body.clear();
  while (true) {
    const bool Written = co_await writeToCaller(std::move(Bytes));
    if (!Written)
      co_return AttemptResult::Broken;
    if (Parser.is_done())
      break;
    const bool Read = co_await readPiece(Connection, Parser, Piece);
    SentBytes += Piece.size();
    if (!Parser.content_length() && SentBytes > MaxUnsizedAnswerBytes) {
      FailureCause_ = "the answer is too large";
      co_return AttemptResult::Broken;
    }
    if (!Read)
      co_return AttemptResult::Broken;
    Bytes = Answer.Head.Body == Framing::Chunked && !Piece.empty()
                ? formatChunk(Piece)
                : Piece;
    if (Parser.is_done() && Answer.Head.Body == Framing::Chunked)
      Bytes += LastChunk;
  }
  endAnswer(Answer.Head);
  co_return AttemptResult::Answered;
}

http::Task<void> Exchange::answerWithError(int Status,
                                           std::optional<Duration> RetryAfter,
                                           std::string Reason) {
  Outcome_ = "own_" + std::to_string(Status);
  State_.Log.write("request_refused", State_.now(), [&](LogLine &Line) {
    Line.field("id", RequestHead_.AttemptId)
        .field("status", Status)
        .field("reason", Reason)
        .field("work", DispatchRequest_.Work.Id)
        .field("attempts", SentAttempts_)
        .field("prompt_tokens", RequestHead_.PromptTokens)
        .field("waited_ms", std::chrono::duration_cast<Duration>(
                                State_.now() - Request_.ReceivedAt)
                                .count())
        .field("config", Config_ ? Config_->Version : 0);
  });
  ErrorAnswer Answer;
  Answer.Status = Status;
  Answer.AttemptId = RequestHead_.AttemptId;
  Answer.RetryAfter = RetryAfter;
  Request_.KeepAlive = canKeepConnection();
  Answer.KeepAlive = Request_.KeepAlive;
  Answer.HasBody = Request_.Method != "HEAD";
  Answer.Message = std::move(Reason);
  AnswerComplete_ =
      co_await sendErrorAnswer(State_, Caller_, std::move(Answer));
}

http::Task<void> Exchange::sendFinalAnswer(AttemptResult Last,
                                           const Dispatch &Chosen) {
  if (CancelReason_ == CancelReason::CallerDisconnected || AnswerComplete_)
    co_return;
  if (AnswerStarted_) {
    Outcome_ = "broken_off";
    co_return; // closing the connection marks the answer as incomplete
  }
  if (BufferedAnswer_) {
    AnswerHead &Head = BufferedAnswer_->Head;
    Head.KeepAlive = Head.KeepAlive && canKeepConnection();
    std::string Bytes = beginAnswer(Head);
    if (BufferedAnswer_->Head.HasBody)
      Bytes += BufferedAnswer_->Body;
    const bool Written = co_await writeToCaller(std::move(Bytes));
    if (Written)
      endAnswer(BufferedAnswer_->Head);
    Outcome_ = Last == AttemptResult::Answered ? "answered" : "endpoint_failed";
    co_return;
  }
  if (MayHaveRun_) {
    if (CancelReason_ == CancelReason::ShuttingDown)
      co_await answerWithError(502, std::nullopt, "stopping");
    else if (CancelReason_ == CancelReason::DeadlinePassed)
      co_await answerWithError(504, std::nullopt, "no answer in time");
    else
      co_await answerWithError(502, std::nullopt, "the endpoint failed");
    co_return;
  }
  if (KeyNotConfirmed_) {
    // The key is looked up again when the caller retries.
    co_await answerWithError(503, Duration(0),
                             "the key may have been taken away");
    co_return;
  }
  std::optional<Duration> RetryAfter = Chosen.RetryAfter;
  std::string Reason(balancing::nameOf(Chosen.Failure));
  if (Chosen.Failure == balancing::DispatchFailure::None) {
    RetryAfter = Duration(200);
    Reason = "refused by the endpoint";
  }
  if (CancelReason_ == CancelReason::ShuttingDown) {
    RetryAfter = Duration(0); // another node can serve it at once
    Reason = balancing::nameOf(balancing::DispatchFailure::ShuttingDown);
  }
  if (CancelReason_ == CancelReason::DeadlinePassed)
    RetryAfter.reset();
  co_await answerWithError(503, RetryAfter, std::move(Reason));
}

http::Task<bool> sendErrorAnswer(GatewayState &State, Tcp::socket &Caller,
                                 ErrorAnswer Answer) {
  AnswerHead Head;
  Head.Status = Answer.Status;
  Head.Fields =
      State.Protocol.makeRefusalFields(Answer.AttemptId, Answer.RetryAfter);
  Head.Fields.emplace_back("Content-Type", "text/plain");
  Answer.Message += '\n';
  Head.Length = Answer.Message.size();
  Head.HasBody = Answer.HasBody;
  Head.KeepAlive = Answer.KeepAlive;
  std::string Bytes = formatAnswerHead(Head);
  if (Answer.HasBody)
    Bytes += Answer.Message;
  Code Failure;
  co_await asio::async_write(Caller, asio::buffer(Bytes), intoCode(Failure));
  co_return !Failure;
}

} // namespace cassiashed::gateway
