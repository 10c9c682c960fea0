#include "gateway/exchange_internal.h"

#include "http/peek.h"
#include <array>

namespace cassiashed::gateway {
namespace {

constexpr std::size_t PeekBytes = 16 * 1024;
/// How often bytes that complete no event are looked at again.
constexpr Duration PeekPeriod{50};

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// Whether the unread bytes complete an event or the stream. Bytes alone may
/// belong to an event that never ends, a head to a stream without events.
bool hasEventEnd(Tcp::socket &Socket, bool IsHeadRead) {
  std::array<char, PeekBytes> Bytes{};
  Code Failure;
  const std::size_t Count =
      Socket.receive(asio::buffer(Bytes), Tcp::socket::message_peek, Failure);
  std::string_view Text(Bytes.data(), Failure ? 0 : Count);
  if (!IsHeadRead) {
    const std::size_t AtEnd = Text.find(HeadEnd);
    if (AtEnd == std::string_view::npos)
      return false;
    Text.remove_prefix(AtEnd + HeadEnd.size());
  }
  return Text.find("\n\n") != std::string_view::npos ||
         Text.find(HeadEnd) != std::string_view::npos;
}

} // namespace

void Exchange::suspend(const Dispatch &Chosen, EndpointConnectionPtr Connection,
                       std::unique_ptr<ResponseParser> Parser,
                       std::shared_ptr<PendingWrite> Sending) {
  recordInterruption(Chosen.Endpoints.front());
  Suspended_ = std::make_unique<SuspendedAttempt>();
  Suspended_->Chosen = Chosen;
  Suspended_->Connection = std::move(Connection);
  Suspended_->Parser = std::move(Parser);
  Suspended_->Sending = std::move(Sending);
  Suspended_->Events = Events_;
  Suspended_->Continuity = Continuity_;
  Suspended_->Memory = std::move(Reservations_);
  Events_.discardIncompleteEvent();
  watchSuspended();
}

void Exchange::watchSuspended() {
  std::weak_ptr<Exchange> Weak = weak_from_this();
  Suspended_->Connection->Socket.async_wait(
      Tcp::socket::wait_read, [Weak](Code Failure) {
        const auto Self = Weak.lock();
        if (Self && !Failure && Self->Suspended_)
          Self->checkSuspended();
      });
}

void Exchange::checkSuspended() {
  Tcp::socket &Socket = Suspended_->Connection->Socket;
  if (http::probeReadable(Socket) != http::Readable::Bytes)
    return;
  if (hasEventEnd(Socket, Suspended_->Parser->is_header_done())) {
    SuspendedSendsAgain_ = true;
    Code Ignored;
    if (ActiveConnection_)
      ActiveConnection_->Socket.close(Ignored);
    return;
  }
  std::weak_ptr<Exchange> Weak = weak_from_this();
  Suspended_->PeekTimer.emplace(State_.Context, PeekPeriod);
  Suspended_->PeekTimer->async_wait([Weak](Code Failure) {
    const auto Self = Weak.lock();
    if (Self && !Failure && Self->Suspended_)
      Self->checkSuspended();
  });
}

http::Task<AttemptResult> Exchange::resumeSuspended() {
  const std::unique_ptr<SuspendedAttempt> Attempt = std::move(Suspended_);
  const EndpointRef Endpoint = Attempt->Chosen.Endpoints.front();
  const bool IsHeadRead = Attempt->Parser->is_header_done();
  Attempt->PeekTimer.reset();
  Code Ignored; // ends watchSuspended()
  Attempt->Connection->Socket.cancel(Ignored);
  SuspendedSendsAgain_ = false;
  Events_ = std::move(Attempt->Events);
  Continuity_ = std::move(Attempt->Continuity);
  Reservations_ = std::move(Attempt->Memory);
  ActiveConnection_ = Attempt->Connection.get();
  EndpointTimedOut_ = false;
  IsRelaying_ = IsHeadRead;
  FailureCause_.clear();
  EndpointFraming_.reset();
  if (IsHeadRead)
    EndpointFraming_ = framingOf(*Attempt->Parser);
  // The attempt in between may have brought the head of another answer.
  if (IsHeadRead && !AnswerStarted_)
    AnswerHead_ = makeStreamHead(*Attempt->Parser);
  State_.Log.write("attempt_resumed", State_.now(), [&](LogLine &Line) {
    Line.field("id", RequestHead_.AttemptId)
        .field("endpoint", Endpoint->Entry.Id);
  });
  AttemptResult Result = AttemptResult::Failed;
  if (IsHeadRead) {
    Sending_ = Attempt->Sending;
    Result = co_await relayStream(*Attempt->Connection, *Attempt->Parser);
    endRelay(Attempt->Chosen, Result, std::move(Attempt->Connection),
             std::move(Attempt->Parser), Attempt->Sending);
  } else {
    Result = co_await receive(Attempt->Chosen, Attempt->Connection,
                              Attempt->Sending, std::move(Attempt->Parser));
  }
  ActiveConnection_ = nullptr;
  IsRelaying_ = false;
  setEndpointDeadline(TimePoint::max());
  logAttemptEnd(Endpoint, Result);
  releaseReservations();
  co_return Result;
}

} // namespace cassiashed::gateway
