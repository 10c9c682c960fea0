#include "gateway/exchange_internal.h"

#include "http/peek.h"

namespace cassiashed::gateway {

void Exchange::suspend(const EndpointRef &Endpoint,
                       EndpointConnectionPtr Connection,
                       std::unique_ptr<ResponseParser> Parser,
                       std::shared_ptr<PendingWrite> Sending) {
  recordInterruption(Endpoint);
  Suspended_ = std::make_unique<SuspendedAttempt>();
  Suspended_->Endpoint = Endpoint;
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
        if (!Self || Failure || !Self->Suspended_)
          return;
        if (http::probeReadable(Self->Suspended_->Connection->Socket) !=
            http::Readable::Bytes)
          return;
        Self->SuspendedSendsAgain_ = true;
        Code Ignored;
        if (Self->ActiveConnection_)
          Self->ActiveConnection_->Socket.close(Ignored);
      });
}

http::Task<AttemptResult> Exchange::resumeSuspended() {
  const std::unique_ptr<SuspendedAttempt> Attempt = std::move(Suspended_);
  const EndpointRef Endpoint = Attempt->Endpoint;
  Code Ignored; // ends watchSuspended()
  Attempt->Connection->Socket.cancel(Ignored);
  SuspendedSendsAgain_ = false;
  Events_ = std::move(Attempt->Events);
  Continuity_ = std::move(Attempt->Continuity);
  Reservations_ = std::move(Attempt->Memory);
  ActiveConnection_ = Attempt->Connection.get();
  EndpointTimedOut_ = false;
  FailureCause_.clear();
  State_.Log.write("attempt_resumed", State_.now(), [&](LogLine &Line) {
    Line.field("id", RequestHead_.AttemptId)
        .field("endpoint", Endpoint->Entry.Id);
  });
  const AttemptResult Result =
      co_await relayStream(*Attempt->Connection, *Attempt->Parser);
  ActiveConnection_ = nullptr;
  setEndpointDeadline(TimePoint::max());
  logAttemptEnd(Endpoint, Result);
  if (Result == AttemptResult::Suspended)
    suspend(Endpoint, std::move(Attempt->Connection),
            std::move(Attempt->Parser), std::move(Attempt->Sending));
  else
    finishAttempt(Endpoint, Result, std::move(Attempt->Connection),
                  *Attempt->Parser, *Attempt->Sending);
  releaseReservations();
  co_return Result;
}

} // namespace cassiashed::gateway
