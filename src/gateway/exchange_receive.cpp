#include "gateway/exchange_internal.h"

#include "cassiashed/balancing/first_byte_timeout.h"
#include "gateway/endpoint_refusal.h"
#include "http/peek.h"
#include <limits>

namespace cassiashed::gateway {
namespace {

constexpr std::uint32_t MaxEndpointHeadBytes = 64 * 1024;
/// Answers to earlier requests that are skipped on one connection.
constexpr int MaxStaleAnswers = 3;
/// Bytes of these answers that are skipped; beyond it a new attempt is cheaper.
constexpr std::size_t MaxStaleAnswerBytes = 256 * 1024;

/// Whether the endpoint has sent more than the answer whose head was read.
bool isFollowed(EndpointConnection &Connection, const ResponseParser &Parser) {
  const auto Length = Parser.content_length();
  Code Ignored;
  return Length &&
         Connection.Buffer.size() + Connection.Socket.available(Ignored) >
             *Length;
}

} // namespace

std::unique_ptr<ResponseParser> Exchange::makeResponseParser() const {
  auto Result = std::make_unique<ResponseParser>();
  Result->header_limit(MaxEndpointHeadBytes);
  // Boost 1.74 treats an absent limit as 0 if the answer states a length.
  Result->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (Request_.Method == "HEAD")
    Result->skip(true);
  return Result;
}

Framing framingOf(const ResponseParser &Parser) {
  if (Parser.need_eof())
    return Framing::Close;
  return Parser.chunked() ? Framing::Chunked : Framing::Length;
}

TimePoint Exchange::firstByteDeadline(const Dispatch &Chosen) const {
  balancing::SentRequest Sent;
  Sent.IsStream = Route_->Kind == CallKind::Stream;
  Sent.PredictedFirstToken =
      Duration(static_cast<Duration::rep>(std::min(1e6, Chosen.FirstTokenMs)));
  Sent.PrefillEngines = Chosen.Endpoints.size();
  Sent.Remaining = remainingTime();
  // The caller of a stream retries if this node may not.
  Sent.CanRetryElsewhere =
      Sent.IsStream ? Route_->isRetryable() : allowsAnotherAttempt();
  const std::optional<Duration> Timeout = balancing::firstByteTimeout(Sent);
  return Timeout ? State_.now() + *Timeout : TimePoint::max();
}

void Exchange::recordEndpointState(const EndpointRef &Endpoint,
                                   const EndpointHead &Answer) {
  const TimePoint Now = State_.now();
  if (Answer.ColdRemaining && Answer.ColdRemaining->count() > 0)
    State_.Directory.markCold(Endpoint, *Answer.ColdRemaining, Now);
  if (Answer.PausedFor && Answer.PausedFor->count() > 0)
    State_.Directory.pause(Endpoint, *Answer.PausedFor, Now);
  // Engines are placed by the known requests only.
  if (Answer.Load && !Service_->Engine)
    State_.recordStatedLoad(*Endpoint, *Answer.Load);
  if (!Answer.IsLeaving || Endpoint->IsLeaving)
    return;
  State_.Directory.markLeaving(Endpoint);
  State_.Pool.closeIdle(Endpoint->Number);
  State_.Log.write("endpoint_leaving", Now, [&](LogLine &Line) {
    Line.field("endpoint", Endpoint->Entry.Id);
  });
}

http::Task<std::optional<AttemptResult>> Exchange::readAnswerHead(
    const EndpointRef &Endpoint, EndpointConnection &Connection,
    std::unique_ptr<ResponseParser> &Parser, EndpointHead &Answer) {
  std::size_t StaleAnswerBytes = 0;
  for (int Skipped = 0; Skipped <= MaxStaleAnswers; ++Skipped) {
    if (!Parser)
      Parser = makeResponseParser();
    Code Failure;
    co_await bhttp::async_read_header(Connection.Socket, Connection.Buffer,
                                      *Parser, intoCode(Failure));
    if (Failure) {
      FailureCause_ = Failure.message();
      MayHaveRun_ = true;
      if (EndpointTimedOut_ && Connection.Socket.is_open())
        co_return AttemptResult::Suspended;
      recordInterruption(Endpoint);
      co_return AttemptResult::Failed;
    }
    const int Status = static_cast<int>(Parser->get().result_int());
    if (!http::isHttpStatus(Status)) {
      FailureCause_ = "a status that HTTP does not have";
      State_.recordOutcome(*Endpoint, EndpointOutcome::Broken);
      MayHaveRun_ = true;
      co_return AttemptResult::Failed;
    }
    if (Status < 200) {
      Parser.reset();
      continue;
    }
    const http::Headers Fields = endToEndFields(Parser->get());
    Answer = State_.Protocol.readEndpointHead(Status, Fields);
    if (isAnswerTo(RequestHead_.AttemptId, Answer))
      co_return std::nullopt;
    // An answer to an earlier request may precede the one to this request.
    while (!Parser->is_done()) {
      std::string Ignored;
      const bool Read = co_await readPiece(Connection, *Parser, Ignored);
      StaleAnswerBytes += Ignored.size();
      if (StaleAnswerBytes > MaxStaleAnswerBytes)
        FailureCause_ = "an answer to another request is too large";
      if (!Read || StaleAnswerBytes > MaxStaleAnswerBytes) {
        recordInterruption(Endpoint);
        MayHaveRun_ = true;
        co_return AttemptResult::Failed;
      }
    }
    Parser.reset();
  }
  FailureCause_ = "answers to other requests";
  MayHaveRun_ = true;
  co_return AttemptResult::Failed;
}

http::Task<AttemptResult>
Exchange::receive(const Dispatch &Chosen, EndpointConnectionPtr &Connection,
                  const std::shared_ptr<PendingWrite> &Sending,
                  std::unique_ptr<ResponseParser> Parser) {
  const EndpointRef Endpoint = Chosen.Endpoints.front();
  const bool IsStream = Route_->Kind == CallKind::Stream;
  setEndpointDeadline(firstByteDeadline(Chosen));
  Sending_ = Sending;
  EndpointHead Answer;
  const std::optional<AttemptResult> Ended =
      co_await readAnswerHead(Endpoint, *Connection, Parser, Answer);
  if (Ended == AttemptResult::Suspended) {
    suspend(Chosen, std::move(Connection), std::move(Parser), Sending);
    co_return AttemptResult::Suspended;
  }
  if (Ended)
    co_return *Ended;
  EndpointFraming_ = framingOf(*Parser);
  const int Status = static_cast<int>(Parser->get().result_int());
  recordEndpointState(Endpoint, Answer);
  if (provesNotRun(Status, Answer)) {
    if (!Route_->isRetryable() && isFollowed(*Connection, *Parser)) {
      FailureCause_ = "another answer behind a refusal";
      State_.recordOutcome(*Endpoint, EndpointOutcome::Broken);
      MayHaveRun_ = true;
      co_return AttemptResult::Failed;
    }
    State_.recordOutcome(*Endpoint, Answer.WrongEndpoint
                                        ? EndpointOutcome::Unreachable
                                        : EndpointOutcome::Refused);
    if (Status == 503 && (Answer.FaultyAddress.empty() ||
                          Answer.FaultyAddress == Endpoint->Entry.address()))
      State_.Stated.recordRejection(Endpoint->Number, State_.now());
    State_.Log.write("endpoint_refused", State_.now(), [&](LogLine &Line) {
      Line.field("id", RequestHead_.AttemptId)
          .field("endpoint", Endpoint->Entry.Id)
          .field("status", Status)
          .field("running", Answer.Load ? Answer.Load->Running : -1)
          .field("waiting", Answer.Load ? Answer.Load->Waiting : -1)
          .field("at_fault", Answer.FaultyAddress);
    });
    co_return AttemptResult::NotRun;
  }
  MayHaveRun_ = true;
  const bool Success = Status >= 200 && Status < 300;
  if ((Success && Answer.SaysNotRun) ||
      (promisesNotRun(Status) && !Route_->isRetryable())) {
    FailureCause_ = "unclear whether the request ran";
    State_.recordOutcome(*Endpoint, EndpointOutcome::Broken);
    co_return AttemptResult::Failed;
  }
  if (Success && !Answer.HasSignature) {
    FailureCause_ = "success without a signature";
    State_.recordOutcome(*Endpoint, EndpointOutcome::Broken);
    co_return AttemptResult::Failed;
  }
  AttemptResult Result;
  if (IsStream && Success && carriesEvents(*Parser)) {
    if (!AnswerStarted_)
      AnswerHead_ = makeStreamHead(*Parser);
    RelaysEvents_ = true;
    Continuity_.beginAnswer(Route_->Resumable ? RequestHead_.LastEventId : "",
                            AnswerStarted_);
    recordFirstByte(Chosen);
    IsRelaying_ = true;
    Result = co_await relayStream(*Connection, *Parser);
  } else {
    if (AnswerStarted_) {
      FailureCause_ = "the resumed request was not answered with a stream";
      co_return AttemptResult::Broken;
    }
    Result = co_await relayWhole(*Connection, *Parser);
    recordFirstByte(Chosen);
  }
  endRelay(Chosen, Result, std::move(Connection), std::move(Parser), Sending);
  co_return Result;
}

void Exchange::endRelay(const Dispatch &Chosen, AttemptResult Result,
                        EndpointConnectionPtr Connection,
                        std::unique_ptr<ResponseParser> Parser,
                        const std::shared_ptr<PendingWrite> &Sending) {
  if (Result == AttemptResult::Suspended)
    suspend(Chosen, std::move(Connection), std::move(Parser), Sending);
  else
    finishAttempt(Chosen.Endpoints.front(), Result, std::move(Connection),
                  *Parser, *Sending);
}

void Exchange::finishAttempt(const EndpointRef &Endpoint, AttemptResult Result,
                             EndpointConnectionPtr Connection,
                             const ResponseParser &Parser,
                             const PendingWrite &Sending) {
  if (Result == AttemptResult::Answered ||
      Result == AttemptResult::FailedAnswer) {
    const EndpointOutcome Outcome = Parser.get().result_int() >= 500
                                        ? EndpointOutcome::ServerError
                                        : EndpointOutcome::Answered;
    State_.recordOutcome(*Endpoint, Outcome);
    State_.Crashes.recordCompletion(ContentHash_);
    State_.Stated.recordDuration(
        Endpoint->Number,
        std::chrono::duration_cast<Duration>(State_.now() - SentAt_), Outcome);
    if (Sending.Done && !Sending.Failure && Parser.is_done() &&
        Parser.keep_alive() && CancelReason_ == CancelReason::None) {
      const auto KeepAlive = Parser.get()[bhttp::field::keep_alive];
      Connection->KeepAliveTimeout =
          keepAliveTimeout({KeepAlive.data(), KeepAlive.size()});
      State_.Pool.release(std::move(Connection), State_.now());
    }
  } else if (Result == AttemptResult::Failed ||
             Result == AttemptResult::Broken) {
    recordInterruption(Endpoint);
  }
}

} // namespace cassiashed::gateway
