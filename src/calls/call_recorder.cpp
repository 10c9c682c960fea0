#include "cassiashed/calls/call_recorder.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/hash.h"
#include "cassiashed/base/invariant.h"

#include <algorithm>

namespace cassiashed {
namespace {

Error withEffect(Error Failure, Ran Effect) {
  Failure.Effect = Effect;
  return Failure;
}

} // namespace

CallRecorder::CallRecorder(CallRequest Request, WriterLives IsAlive,
                           CallRecorderOptions Options)
    : Request_(std::move(Request)), IsAlive_(std::move(IsAlive)),
      Options_(Options), Backoff_(Options.FirstRetry) {}

CallRecord CallRecorder::makeRecord(CallState State) const {
  CallRecord Record;
  Record.State = State;
  Record.Attempt = Request_.Attempt;
  Record.Node = Request_.Node;
  Record.Incarnation = Request_.Incarnation;
  Record.RequestHash = Request_.RequestHash;
  Record.StartedMs = Request_.NowMs;
  return Record;
}

std::string CallRecorder::objectName() const {
  return "call-answers/" + hashHex(Request_.RowKey + "/" + Request_.Attempt);
}

void CallRecorder::claim(std::uint64_t Expected, TimePoint Now) {
  // A repeated write with the same condition keeps the start of the first one,
  // which may be the one that takes effect.
  if (Expected_ != Expected) {
    Expected_ = Expected;
    ClaimStart_ = Now;
    SendBy_ = std::min(Now + Options_.SendWindow, Request_.Deadline);
    RetryAt_ = Now;
  }
  Phase_ = Phase::Claiming;
}

CallActions CallRecorder::start(TimePoint Now) {
  CallActions Actions;
  claim(0, Now);
  proceed(Actions, Now);
  return Actions;
}

void CallRecorder::answer(CallActions &Actions, std::optional<Error> Failure,
                          const CallOutcome &Outcome, bool Replayed) {
  if (Answered_)
    return;
  Answered_ = true;
  CallAction Next;
  Next.Kind = CallActionKind::Answer;
  Next.Failure = std::move(Failure);
  if (!Next.Failure)
    Next.Outcome = Outcome;
  Next.Replayed = Replayed;
  Actions.push_back(std::move(Next));
}

void CallRecorder::retryLater(TimePoint Now) {
  RetryAt_ = Now + Backoff_;
  Backoff_ = std::min(Backoff_ * 2, Options_.LastRetry);
}

void CallRecorder::close(CallState State, bool Closed, TimePoint Now) {
  Final_ = makeRecord(State);
  Final_.Closed = Closed;
  Phase_ = Phase::Closing;
  Backoff_ = Options_.FirstRetry;
  RetryAt_ = Now;
}

void CallRecorder::release(const Error &Failure, CallActions &Actions,
                           TimePoint Now) {
  // The answer comes before the release, so nobody can have run by then. A
  // claim close to its expiry proves nothing any more.
  const bool Holds = Now - ClaimStart_ < CallExpiry / 2;
  answer(Actions, withEffect(Failure, Holds ? Ran::NotRun : Ran::Unknown), {},
         false);
  close(CallState::NotRun, false, Now);
}

void CallRecorder::becomeClaimed(std::uint64_t Version, CallActions &Actions,
                                 TimePoint Now) {
  ClaimVersion_ = Version;
  if (Now >= SendBy_) {
    release({ErrorKind::StoreUnavailable,
             "the claim of the idempotency key was confirmed too late"},
            Actions, Now);
    return;
  }
  Phase_ = Phase::Claimed;
  Actions.push_back({CallActionKind::Send});
}

/// Ends an attempt that does not know whether it holds the claim.
void CallRecorder::leaveUnclaimed(const Error &Failure, CallActions &Actions,
                                  TimePoint Now) {
  answer(Actions, withEffect(Failure, Ran::Unknown), {}, false);
  Phase_ = Phase::Cleaning;
  CleanUntil_ = Now + Options_.CleanUp;
  RetryAt_ = Now;
}

void CallRecorder::examine(const TableRow &Row, CallActions &Actions,
                           TimePoint Now) {
  RowFinding Found =
      decideOnRow(Row, Request_.Attempt, Request_.RequestHash, IsAlive_);
  switch (Found.Decision) {
  case CallDecision::Claimed:
    becomeClaimed(Row.Version, Actions, Now);
    return;
  case CallDecision::Claim:
    if (Expected_ == Row.Version)
      retryLater(Now);
    claim(Row.Version, Now);
    return;
  case CallDecision::Wait:
    Phase_ = Phase::Looking;
    retryLater(Now);
    return;
  case CallDecision::Replay:
    answer(Actions, std::nullopt, Found.Record.Outcome, true);
    break;
  case CallDecision::Unknown:
    answer(Actions,
           Error{ErrorKind::OutcomeUnknown,
                 "an earlier attempt with this key may have run and left no "
                 "outcome",
                 Ran::Unknown},
           {}, false);
    break;
  case CallDecision::Conflict:
    answer(Actions,
           Error{ErrorKind::KeyConflict,
                 "the idempotency key was used for another request"},
           {}, false);
    break;
  }
  Phase_ = Phase::Finished;
}

void CallRecorder::onClosingRow(const RowResult &Result, CallActions &Actions,
                                TimePoint Now) {
  bool IsRecorded = Result.Version.has_value();
  if (Result.Found) {
    std::string Reason;
    const auto Found = Result.Found->Version == 0
                           ? std::nullopt
                           : parseCallRecord(Result.Found->Value, Reason);
    const bool IsMine = Found && Found->Attempt == Request_.Attempt;
    if (IsMine && Found->State == CallState::Started && !Found->Closed) {
      // The write has not taken effect, or not yet.
      ClaimVersion_ = Result.Found->Version;
      retryLater(Now);
      return;
    }
    if (!IsMine)
      logError("call_row_lost")
          .field("row", Request_.RowKey)
          .field("attempt", Request_.Attempt)
          .field("version", Result.Found->Version);
    IsRecorded = true;
  }
  if (!IsRecorded) {
    retryLater(Now);
    return;
  }
  if (HasOutcome_)
    answer(Actions, std::nullopt, Outcome_, false);
  Phase_ = Phase::Finished;
}

void CallRecorder::onCleaningRow(const RowResult &Result, TimePoint Now) {
  std::optional<std::uint64_t> Mine = Result.Version;
  bool MayLand = !Result.Found;
  if (Result.Found) {
    const RowFinding Found = decideOnRow(*Result.Found, Request_.Attempt,
                                         Request_.RequestHash, IsAlive_);
    if (Found.Decision == CallDecision::Claimed)
      Mine = Result.Found->Version;
    // A claim that was delayed on its way can take effect while the row still
    // has the version that it requires.
    MayLand = Expected_ == Result.Found->Version;
  }
  if (Mine) {
    ClaimVersion_ = *Mine;
    close(CallState::NotRun, false, Now);
  } else if (MayLand && Now < CleanUntil_) {
    retryLater(Now);
  } else {
    Phase_ = Phase::Finished;
  }
}

CallActions CallRecorder::onRow(const RowResult &Result, TimePoint Now) {
  CallActions Actions;
  Outstanding_ = false;
  switch (Phase_) {
  case Phase::Claiming:
  case Phase::Looking:
    if (Result.Version)
      becomeClaimed(*Result.Version, Actions, Now);
    else if (Result.Found)
      examine(*Result.Found, Actions, Now);
    else if (Phase_ == Phase::Claiming && Now >= SendBy_)
      leaveUnclaimed(
          {ErrorKind::StoreUnavailable, "the table service cannot be reached"},
          Actions, Now);
    else
      retryLater(Now);
    break;
  case Phase::Closing:
    onClosingRow(Result, Actions, Now);
    break;
  case Phase::Cleaning:
    onCleaningRow(Result, Now);
    break;
  default:
    break;
  }
  proceed(Actions, Now);
  return Actions;
}

bool CallRecorder::maySend(TimePoint Now) {
  if (Phase_ != Phase::Claimed || Now >= SendBy_)
    return false;
  Phase_ = Phase::Sent;
  return true;
}

CallActions CallRecorder::onAnswer(CallOutcome Outcome, TimePoint Now) {
  CallActions Actions;
  if (Phase_ != Phase::Sent)
    return Actions;
  Outcome_ = std::move(Outcome);
  HasOutcome_ = true;
  AnswerBy_ = std::min(Request_.Deadline, Now + Options_.RecordPatience);
  if (Outcome_.Body.size() > MaxInlineAnswer) {
    Phase_ = Phase::Storing;
    RetryAt_ = Now;
  } else {
    close(CallState::Done, false, Now);
    Final_.Outcome = Outcome_;
  }
  proceed(Actions, Now);
  return Actions;
}

CallActions CallRecorder::onObject(bool Stored, TimePoint Now) {
  CallActions Actions;
  if (Phase_ != Phase::Storing)
    return Actions;
  Outstanding_ = false;
  if (Stored) {
    close(CallState::Done, false, Now);
    Final_.Outcome = {Outcome_.Status, Outcome_.ContentType, "", objectName()};
  } else {
    retryLater(Now);
  }
  proceed(Actions, Now);
  return Actions;
}

CallActions CallRecorder::onRefused(TimePoint Now) {
  CallActions Actions;
  if (Phase_ != Phase::Sent)
    return Actions;
  if (Now < SendBy_ && !Answered_) {
    Phase_ = Phase::Claimed;
    Actions.push_back({CallActionKind::Send});
  } else {
    release({ErrorKind::NoCapacity, "every endpoint refused the request"},
            Actions, Now);
  }
  proceed(Actions, Now);
  return Actions;
}

CallActions CallRecorder::onLost(const Error &Failure, TimePoint Now) {
  CallActions Actions;
  if (Phase_ != Phase::Sent)
    return Actions;
  answer(Actions, withEffect(Failure, Ran::Unknown), {}, false);
  close(CallState::Started, true, Now);
  proceed(Actions, Now);
  return Actions;
}

CallActions CallRecorder::giveUp(const Error &Failure, TimePoint Now) {
  CallActions Actions;
  switch (Phase_) {
  case Phase::Claimed:
    release(Failure, Actions, Now);
    break;
  case Phase::Claiming:
    leaveUnclaimed(Failure, Actions, Now);
    break;
  case Phase::Looking:
    // The row has moved on since this attempt's claim, if it made one.
    answer(Actions, withEffect(Failure, Ran::Unknown), {}, false);
    Phase_ = Phase::Finished;
    break;
  case Phase::Sent:
    answer(Actions, withEffect(Failure, Ran::Unknown), {}, false);
    break;
  case Phase::Storing:
  case Phase::Closing:
    if (HasOutcome_)
      answer(Actions, std::nullopt, Outcome_, false);
    break;
  default:
    break;
  }
  proceed(Actions, Now);
  return Actions;
}

CallActions CallRecorder::tick(TimePoint Now) {
  CallActions Actions;
  if (!Answered_ && Now >= Request_.Deadline)
    return giveUp({ErrorKind::DeadlineExceeded, "the deadline passed"}, Now);
  if (Phase_ == Phase::Claimed && Now >= SendBy_)
    release({ErrorKind::NoCapacity,
             "no endpoint took the request within the send window"},
            Actions, Now);
  if (HasOutcome_ && !Answered_ && Now >= AnswerBy_)
    answer(Actions, std::nullopt, Outcome_, false);
  proceed(Actions, Now);
  return Actions;
}

void CallRecorder::proceed(CallActions &Actions, TimePoint Now) {
  if (Outstanding_ || Now < RetryAt_)
    return;
  // The row may have expired and been claimed again. A new row can have the
  // same version as the old one, so the condition would not protect it.
  if (Phase_ == Phase::Closing && Now - ClaimStart_ >= CallExpiry / 2) {
    if (HasOutcome_)
      answer(Actions, std::nullopt, Outcome_, false);
    Phase_ = Phase::Finished;
    return;
  }
  // A claim that cannot be followed by a send is not written any more.
  if (Phase_ == Phase::Claiming && Now >= SendBy_)
    leaveUnclaimed({ErrorKind::StoreUnavailable,
                    "the idempotency key could not be claimed in time"},
                   Actions, Now);
  CallAction Next;
  switch (Phase_) {
  case Phase::Claiming:
    Next.Kind = CallActionKind::Write;
    Next.Write = {Request_.RowKey,
                  formatCallRecord(makeRecord(CallState::Started)), Expected_};
    break;
  case Phase::Closing:
    CASSIASHED_INVARIANT(ClaimVersion_ != 0,
                         "a call is closed without holding its claim");
    Next.Kind = CallActionKind::Write;
    Next.Write = {Request_.RowKey, formatCallRecord(Final_), ClaimVersion_};
    break;
  case Phase::Looking:
  case Phase::Cleaning:
    Next.Kind = CallActionKind::Read;
    Next.Key = Request_.RowKey;
    break;
  case Phase::Storing:
    Next.Kind = CallActionKind::StoreObject;
    Next.Outcome = Outcome_;
    Next.Outcome.ObjectName = objectName();
    break;
  default:
    return;
  }
  Outstanding_ = true;
  Actions.push_back(std::move(Next));
}

TimePoint CallRecorder::nextTick() const {
  TimePoint Next = TimePoint::max();
  if (Phase_ == Phase::Finished)
    return Next;
  if (!Answered_)
    Next = Request_.Deadline;
  if (Phase_ == Phase::Claimed)
    Next = std::min(Next, SendBy_);
  if (HasOutcome_ && !Answered_)
    Next = std::min(Next, AnswerBy_);
  const bool HasOperation = Phase_ != Phase::Claimed && Phase_ != Phase::Sent;
  if (HasOperation && !Outstanding_)
    Next = std::min(Next, RetryAt_);
  return Next;
}

} // namespace cassiashed
