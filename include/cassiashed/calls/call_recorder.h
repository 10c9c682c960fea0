#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/base/error.h"
#include "cassiashed/calls/call_batcher.h"
#include "cassiashed/calls/call_record.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// One attempt at a non-idempotent call: claims the row, allows one send within
/// the send window, records the outcome and answers the caller.
namespace cassiashed {

struct CallRecorderOptions {
  /// The send must begin within this time of the start of the claim. It keeps
  /// an attempt that was paused from running after its row has expired and
  /// been claimed again, and bounds how late a call can run whose caller was
  /// told `unknown`.
  std::chrono::milliseconds SendWindow{5'000};
  /// How long a known outcome is held back from the caller while it cannot be
  /// recorded. Recording goes on after the answer.
  std::chrono::milliseconds RecordPatience{1'000};
  std::chrono::milliseconds FirstRetry{50}; ///< doubled each time
  std::chrono::milliseconds LastRetry{2'000};
  /// How long an attempt that was refused because its claim could not be
  /// confirmed looks for the claim in order to release it.
  std::chrono::milliseconds CleanUp{60'000};
};

struct CallRequest {
  std::string RowKey; ///< from `callRowKey`
  std::string RequestHash;
  std::string Attempt; ///< unique over all nodes and incarnations
  std::string Node;
  std::uint64_t Incarnation = 0;
  std::int64_t NowMs = 0; ///< Unix time
  TimePoint Deadline{};
};

enum class CallActionKind {
  Write,       ///< `CallBatcher::addWrite(Write)`, result to `onRow`
  Read,        ///< `CallBatcher::addRead(Key)`, result to `onRow`
  Send,        ///< choose an endpoint; send only if `maySend` allows it
  StoreObject, ///< put `Outcome.Body` as `Outcome.ObjectName`, then `onObject`
  Answer,      ///< answer the caller with `Failure`, or else with `Outcome`
};

struct CallAction {
  CallActionKind Kind = CallActionKind::Read;
  TableWrite Write;
  std::string Key;
  CallOutcome Outcome; ///< replayed with `ObjectName`: body in that object
  std::optional<Error> Failure;
  bool Replayed = false;
};

using CallActions = std::vector<CallAction>;

/// What a caller is told about the effect:
///
/// | situation | kind | ran |
/// |---|---|---|
/// | outcome known, recorded or not | - | done |
/// | endpoint lost after the send | as given | unknown |
/// | claim held, nothing sent or refused before work | as given | not-run |
/// | window passed with the claim held | store-unavailable | not-run |
/// | claim or row could not be confirmed | store-unavailable | unknown |
/// | another attempt may have run | outcome-unknown | unknown |
/// | deadline after the send or unclaimed | deadline-exceeded | unknown |
/// | key used for another request | key-conflict | not-run |
///
/// `not-run` is answered only while this attempt holds the claim, before the
/// claim is released, so no other attempt can have run or be about to run.
///
/// Usage: perform every action, pass results back, call `tick` at `nextTick`.
/// The object may be dropped once `isFinished`; it goes on after the answer
/// until the row is written. At most one table operation is outstanding. Not
/// thread-safe.
class CallRecorder {
public:
  CallRecorder(CallRequest Request, WriterLives IsAlive,
               CallRecorderOptions Options = {});

  CallActions start(TimePoint Now);
  CallActions onRow(const RowResult &Result, TimePoint Now);
  /// To be called immediately before the first byte is sent. True at most once
  /// per `Send` action. If false, nothing may be sent; call `tick`.
  bool maySend(TimePoint Now);
  /// The complete answer of the endpoint.
  CallActions onAnswer(CallOutcome Outcome, TimePoint Now);
  /// The endpoint refused before any work, or nothing was sent. Yields another
  /// `Send` while the window is open.
  CallActions onRefused(TimePoint Now);
  /// The endpoint may have done the work, but no answer will come.
  CallActions onLost(const Error &Failure, TimePoint Now);
  CallActions onObject(bool Stored, TimePoint Now);
  /// Ends the attempt for the caller: no endpoint, caller gone, draining. A
  /// call that was sent is still recorded when its outcome arrives.
  CallActions giveUp(const Error &Failure, TimePoint Now);
  CallActions tick(TimePoint Now);

  TimePoint nextTick() const;
  /// Latest time at which `maySend` allows the send.
  TimePoint sendBy() const { return SendBy_; }
  bool isAnswered() const { return Answered_; }
  bool isFinished() const { return Phase_ == Phase::Finished; }

private:
  enum class Phase {
    Claiming, ///< writing `started`
    Looking,  ///< reading; another attempt holds the row
    Claimed,
    Sent,
    Storing,  ///< putting the answer into the object store
    Closing,  ///< writing the final state
    Cleaning, ///< answered; looking for a claim that may have taken effect
    Finished,
  };

  void claim(std::uint64_t Expected, TimePoint Now);
  void becomeClaimed(std::uint64_t Version, CallActions &Actions,
                     TimePoint Now);
  void examine(const TableRow &Row, CallActions &Actions, TimePoint Now);
  void release(const Error &Failure, CallActions &Actions, TimePoint Now);
  void close(CallState State, bool Closed, TimePoint Now);
  void leaveUnclaimed(const Error &Failure, CallActions &Actions,
                      TimePoint Now);
  void onClosingRow(const RowResult &Result, CallActions &Actions,
                    TimePoint Now);
  void onCleaningRow(const RowResult &Result, TimePoint Now);
  void answer(CallActions &Actions, std::optional<Error> Failure,
              const CallOutcome &Outcome, bool Replayed);
  void retryLater(TimePoint Now);
  /// Issues the operation of the current phase if it is due.
  void proceed(CallActions &Actions, TimePoint Now);
  CallRecord makeRecord(CallState State) const;
  std::string objectName() const;

  CallRequest Request_;
  WriterLives IsAlive_;
  CallRecorderOptions Options_;
  Phase Phase_ = Phase::Claiming;
  bool Outstanding_ = false; ///< an operation has been issued
  bool Answered_ = false;
  TimePoint RetryAt_{};
  std::chrono::milliseconds Backoff_{0};
  std::optional<std::uint64_t> Expected_; ///< version that the claim requires
  TimePoint ClaimStart_{};
  TimePoint SendBy_{};
  std::uint64_t ClaimVersion_ = 0;
  CallRecord Final_;
  CallOutcome Outcome_; ///< with the body and without an object name
  bool HasOutcome_ = false;
  TimePoint AnswerBy_{};
  TimePoint CleanUntil_{};
};

} // namespace cassiashed
