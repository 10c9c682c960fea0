#pragma once

#include "cassiashed/balancing/admission.h"
#include "gateway/event_assembler.h"
#include "gateway/exchange.h"
#include "gateway/reservations.h"
#include "gateway/shared_placement.h"
#include "gateway/stream_continuity.h"

namespace cassiashed::gateway {

using balancing::Assignment;
using balancing::Dispatch;
using balancing::DispatchRequest;
using balancing::EndpointOutcome;
using catalog::CallKind;
using catalog::EndpointRef;
using ResponseParser = bhttp::response_parser<bhttp::buffer_body>;

/// How the body that `Parser` reads ends.
Framing framingOf(const ResponseParser &Parser);

/// Why the gateway gave up a request before its answer was complete.
enum class CancelReason {
  None,
  CallerDisconnected,
  DeadlinePassed,
  ShuttingDown
};

/// How one attempt ended.
enum class AttemptResult {
  Answered,     ///< a final answer went to the caller
  NotSent,      ///< the endpoint received nothing of the request
  NotRun,       ///< the endpoint states that it did not run the request
  Failed,       ///< may have run; nothing went to the caller
  FailedAnswer, ///< the endpoint's own error answer, kept for the caller
  Broken,       ///< interrupted after a part went to the caller
  Suspended,    ///< silent, before or after a part of a stream; may go on later
};

std::string_view nameOf(AttemptResult Result);

/// Buffers of a request that is written to an endpoint. They outlive the
/// attempt if it ends before the write does.
struct PendingWrite {
  std::string Head;
  std::shared_ptr<const std::string> Body;
  bool Done = false;
  Code Failure;
};

/// A complete answer that is not sent yet, because another attempt may give a
/// better one.
struct BufferedAnswer {
  AnswerHead Head;
  std::string Body;
};

/// An attempt whose endpoint fell silent before or in the middle of a stream.
/// It is kept until another endpoint has begun or continued the stream, since
/// that one may refuse or fail, and the silent one may go on.
struct SuspendedAttempt {
  Dispatch Chosen;
  EndpointConnectionPtr Connection;
  std::unique_ptr<ResponseParser> Parser; ///< may not have read the head yet
  std::shared_ptr<PendingWrite> Sending;
  EventAssembler Events; ///< with the begin of an event, if it is inside one
  StreamContinuity Continuity;
  std::shared_ptr<Reservations> Memory;
  std::optional<asio::steady_timer> PeekTimer;

  ~SuspendedAttempt() {
    if (Memory)
      Memory->release();
  }
};

/// Serves one request of a caller. Routing, placement and the loop over
/// attempts are in exchange.cpp, one attempt at an endpoint is in
/// exchange_attempt.cpp, what the endpoint answers in exchange_receive.cpp,
/// attempts with silent endpoints in exchange_suspended.cpp, and the answer to
/// the caller in exchange_answer.cpp.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(GatewayState &State, Tcp::socket &Caller, ReceivedRequest &Request)
      : State_(State), Caller_(Caller), Request_(Request),
        TimeoutTimer_(State.Context), CallerCheckTimer_(State.Context) {}

  http::Task<bool> run();
  /// Gives the request up, unless its answer has started.
  void endUnanswered();

private:
  // Before the first attempt.
  /// Finds the route, the workspace and the service. Returns the status to
  /// refuse with, or 0.
  int resolve(std::string &Reason);
  void preparePlacementRequest();
  /// Whether the process is expected to stop before the request can finish.
  /// `FirstTokenMs`: predicted time to its first token.
  bool isTooLateToStart(double FirstTokenMs) const;
  /// Time to the first token at an idle engine.
  double idleFirstTokenMs() const;
  /// Whether the request's key is still valid; always true where the
  /// deployment does not refuse keys that cannot be confirmed. Checked again
  /// before each send, since the request may have waited.
  bool isKeyStillValid() const;
  std::string chooseService();

  // Time limits and disconnection of the caller.
  void armTimeoutTimer();
  /// Sets when the current attempt ends unless the endpoint sends bytes or no
  /// other endpoint could continue the request.
  void setEndpointDeadline(TimePoint At);
  void onTimeout();
  /// Ends the current attempt because its endpoint has been silent.
  void abandonEndpoint();
  /// Whether another endpoint could run the request now, for this node or, if
  /// it may make no further attempt, for the caller after a 502. The silence of
  /// an endpoint alone is no reason to give up its answer.
  bool canRetryElsewhere();
  /// Whether the current attempt can be kept while another endpoint is tried.
  bool canSuspend() const;
  /// Whether another attempt is allowed, apart from the choice of an endpoint.
  bool canSpendAttempt() const;
  /// Whether this node could continue the started answer at another endpoint.
  bool canResumeElsewhere();
  void watchCaller();
  /// The same once the caller has sent its next request: the end of its
  /// connection then shows only behind unread bytes.
  void watchCallerBehindBytes();
  /// Looks at the caller's connection itself. After the process was busy or
  /// suspended, the request may run before the event of its caller's leaving.
  void cancelIfCallerLeft();
  void cancel(CancelReason Reason);

  // Attempts.
  /// Chooses endpoints for the next attempt; waits for them where that helps.
  http::Task<Dispatch> chooseEndpoints();
  /// Decides where the request runs and whether it is sent now, waits or is
  /// refused in favour of other requests. Placers decide it where there are
  /// some.
  http::Task<PlacementDecision> decidePlacement(TimePoint Now);
  /// Ids of the endpoints that a placer must not choose for this node: those
  /// already tried, and those that told this node that they leave or pause.
  std::vector<std::string> endpointsNotToUse() const;
  PlacementDecision decideLocally(TimePoint Now,
                                  const PlacementContext &Context);
  Duration placementRetryDelay();
  http::Task<bool> reserve(const Dispatch &Chosen);
  /// Delay before memory is reserved again after a helper had too little. Grows
  /// with each failure; random, so that requests do not retry together.
  Duration reservationRetryDelay();
  /// Releases reserved memory. Must be called at the end of every attempt, sent
  /// or not: reservations are renewed until they are released.
  void releaseReservations();
  http::Task<EndpointConnectionPtr> openConnection(const EndpointRef &Endpoint);
  http::Task<AttemptResult> attempt(const Dispatch &Chosen);
  /// When the attempt ends if the endpoint has sent no byte of its answer.
  TimePoint firstByteDeadline(const Dispatch &Chosen) const;
  /// When an answer that is read whole is abandoned unless more of it arrives.
  TimePoint wholeAnswerDeadline() const;
  std::unique_ptr<ResponseParser> makeResponseParser() const;
  /// Reads heads up to the one that answers this request. Returns how the
  /// attempt ended if there is none. `Parser` may have read a part of a head.
  http::Task<std::optional<AttemptResult>>
  readAnswerHead(const EndpointRef &Endpoint, EndpointConnection &Connection,
                 std::unique_ptr<ResponseParser> &Parser, EndpointHead &Answer);
  http::Task<AttemptResult>
  receive(const Dispatch &Chosen, EndpointConnectionPtr &Connection,
          const std::shared_ptr<PendingWrite> &Sending,
          std::unique_ptr<ResponseParser> Parser);
  /// Keeps the state of an attempt whose endpoint is silent.
  void suspend(const Dispatch &Chosen, EndpointConnectionPtr Connection,
               std::unique_ptr<ResponseParser> Parser,
               std::shared_ptr<PendingWrite> Sending);
  /// Goes on with the suspended attempt, because no other endpoint began or
  /// continued its stream.
  http::Task<AttemptResult> resumeSuspended();
  /// Ends the attempt that should replace the suspended one if that one sends
  /// again first.
  void watchSuspended();
  void checkSuspended();
  /// Suspends or finishes an attempt whose answer was relayed.
  void endRelay(const Dispatch &Chosen, AttemptResult Result,
                EndpointConnectionPtr Connection,
                std::unique_ptr<ResponseParser> Parser,
                const std::shared_ptr<PendingWrite> &Sending);
  /// Records the result of an attempt and keeps its connection for others.
  void finishAttempt(const EndpointRef &Endpoint, AttemptResult Result,
                     EndpointConnectionPtr Connection,
                     const ResponseParser &Parser, const PendingWrite &Sending);
  void logAttemptEnd(const EndpointRef &Endpoint, AttemptResult Result);
  /// How long a stream may be silent before another endpoint takes over.
  Duration streamIdleTimeout() const;
  http::Task<AttemptResult> relayStream(EndpointConnection &Connection,
                                        ResponseParser &Parser);
  http::Task<AttemptResult> relayWhole(EndpointConnection &Connection,
                                       ResponseParser &Parser);
  http::Task<bool> readPiece(EndpointConnection &Connection,
                             ResponseParser &Parser, std::string &Piece);
  http::Task<bool> writeToCaller(std::string Bytes);
  std::string formatForwardedHead(const Dispatch &Chosen);
  /// Whether start and end of the request are announced to other nodes. Where
  /// nodes have roles, only requests of model services are.
  bool isWorkAnnounced() const;
  /// The endpoint gets no further attempt of this request.
  void exclude(const catalog::KnownEndpoint &Endpoint);
  /// Excludes the chosen endpoints, helpers included, that became unusable
  /// while memory was reserved and the connection opened. Returns whether all
  /// are still usable.
  bool excludeUnusable(const Dispatch &Chosen);
  void recordSent(const Dispatch &Chosen);
  /// Records what the endpoint says of itself in an answer.
  void recordEndpointState(const EndpointRef &Endpoint,
                           const EndpointHead &Answer);
  void finishWork();
  void recordFirstByte(const Dispatch &Chosen);
  /// Records that the endpoint's connection failed or timed out.
  void recordInterruption(const EndpointRef &Endpoint);
  /// Records the time since the last piece of a stream.
  void recordTokenGap();
  /// Whether an answer that is sent whole now leaves the caller's connection
  /// open. An answer that takes longer always does, since requests may arrive
  /// until its end.
  bool canKeepConnection();
  AnswerHead makeAnswerHead(const ResponseParser &Parser) const;
  /// Head of a stream. Its length is not stated, since it may be resumed.
  AnswerHead makeStreamHead(const ResponseParser &Parser) const;
  /// Whether the answer is a stream of events.
  bool carriesEvents(const ResponseParser &Parser) const;
  /// Whether the stream that `Parser` has read to its end is whole.
  /// `HasEvents`: the caller got or gets some.
  bool isWholeStream(const ResponseParser &Parser, bool HasEvents) const;
  /// Returns the bytes of the head, with which the answer begins. Until
  /// `endAnswer`, the end of an answer that is framed by its connection shows
  /// as a reset, even if this process is killed.
  std::string beginAnswer(const AnswerHead &Head);
  /// Call when the whole answer was written.
  void endAnswer(const AnswerHead &Head);

  http::Task<void> answerWithError(int Status,
                                   std::optional<Duration> RetryAfter,
                                   std::string Reason);
  /// Answers the caller after the last attempt, if it has no answer yet.
  http::Task<void> sendFinalAnswer(AttemptResult Last, const Dispatch &Chosen);
  /// Whether another attempt is made; uses up a part of the service's retry
  /// budget if the last attempt was sent.
  bool shouldRetry(AttemptResult Result);
  /// Whether the route allows one more attempt after one that may have run.
  bool allowsAnotherAttempt() const;
  /// Whether the rest of a started answer may come from another endpoint.
  bool isAnswerResumable() const;
  /// Time until the deadline of the request.
  Duration remainingTime() const;

  GatewayState &State_;
  Tcp::socket &Caller_;
  ReceivedRequest &Request_;
  CallerHead RequestHead_;
  std::shared_ptr<const catalog::ServiceConfig> Config_;
  const catalog::Route *Route_ = nullptr;
  const catalog::Workspace *Workspace_ = nullptr;
  const catalog::Service *Service_ = nullptr;
  std::shared_ptr<const std::string> Body_;
  std::uint64_t ContentHash_ = 0;
  DispatchRequest DispatchRequest_;

  asio::steady_timer TimeoutTimer_;
  asio::steady_timer CallerCheckTimer_;
  TimePoint Deadline_;                            ///< of the whole request
  TimePoint EndpointDeadline_ = TimePoint::max(); ///< for its next bytes
  TimePoint TimerExpiry_ = TimePoint::max();
  CancelReason CancelReason_ = CancelReason::None;
  bool EndpointTimedOut_ = false;
  std::string FailureCause_; ///< of the last attempt
  /// How the endpoint framed its answer to the last attempt; empty before the
  /// head.
  std::optional<Framing> EndpointFraming_;
  /// Of the request whose answer is being read.
  std::shared_ptr<const PendingWrite> Sending_;
  EndpointConnection *ActiveConnection_ = nullptr;
  std::unique_ptr<SuspendedAttempt> Suspended_;
  bool SuspendedSendsAgain_ = false;
  bool IsRelaying_ = false; ///< the current attempt sends events

  std::shared_ptr<Reservations> Reservations_;
  std::vector<ReservationPlan> ReservationPlans_;
  int FailedReservations_ = 0;
  int SentAttempts_ = 0;
  bool MayHaveRun_ = false;
  bool AnswerStarted_ = false;
  bool AnswerComplete_ = false;
  bool IsWorkAssigned_ = false;
  bool IsCountedByPlacer_ = false; ///< a placer counts the request as sent
  std::string Placer_; ///< address of the node that placed it; empty: this one
  std::vector<std::string> ExcludedIds_;
  /// The key was removed, or could not be confirmed, before a send.
  bool KeyNotConfirmed_ = false;
  bool IsUsageCounted_ = false; ///< once, however many attempts began to run
  bool FirstByteSeen_ = false;
  TimePoint SentAt_;
  TimePoint LastPieceSentAt_; ///< of the stream; unset before the first piece
  Duration LongestTokenGap_{0};
  EventAssembler Events_;
  StreamContinuity Continuity_;
  AnswerHead AnswerHead_;     ///< of the stream that the caller gets
  bool RelaysEvents_ = false; ///< the answer is relayed event by event
  std::optional<BufferedAnswer> BufferedAnswer_;
  std::string Outcome_;
};

} // namespace cassiashed::gateway
