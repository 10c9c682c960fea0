#pragma once

#include "cassiashed/balancing/admission.h"
#include "gateway/event_assembler.h"
#include "gateway/exchange.h"
#include "gateway/reservations.h"
#include "gateway/shared_placement.h"

namespace cassiashed::gateway {

using balancing::Assignment;
using balancing::Dispatch;
using balancing::DispatchRequest;
using balancing::EndpointOutcome;
using catalog::CallKind;
using catalog::EndpointRef;
using ResponseParser = bhttp::response_parser<bhttp::buffer_body>;

enum class Ending { None, CallerGone, TimedOut };

/// How one attempt ended.
enum class AttemptEnd {
  Answered,     ///< a final answer went to the caller
  NotSent,      ///< the endpoint got nothing of the request
  NotRun,       ///< the endpoint states that it did not run the request
  Failed,       ///< may have run; nothing went to the caller
  FailedAnswer, ///< the endpoint's own failure, kept for the caller
  Broken,       ///< broke off after a part went to the caller
};

std::string_view nameOf(AttemptEnd End);

/// Buffers of a request on its way to an endpoint; kept until the write ends,
/// also if the attempt is over before.
struct PendingWrite {
  std::string Head;
  std::shared_ptr<const std::string> Body;
  bool Done = false;
  Code Failure;
};

/// A whole answer that is held back because another attempt may do better.
struct HeldAnswer {
  AnswerHead Head;
  std::string Body;
};

/// One request on its way: preparation and the loop over attempts are in
/// exchange.cpp, one attempt at an endpoint in exchange_attempt.cpp, and what
/// the caller gets in exchange_answer.cpp.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(GatewayState &State, Tcp::socket &Caller, ReceivedRequest &Request)
      : State_(State), Caller_(Caller), Request_(Request),
        Limit_(State.Context) {}

  http::Task<bool> run();

private:
  // Before the first attempt.
  /// Returns the status to refuse with, or 0.
  int resolve(std::string &Reason);
  void prepareWork();
  /// Whether the process stops before the request could end.
  bool isTooLateToStart() const;
  /// Whether the key of the request is still valid, as far as that has to be
  /// known. Asked again right before each send: the request may have waited.
  bool keyStillHolds() const;
  std::string chooseService();

  // Time limits and the caller's end.
  void armLimit();
  void setSilenceLimit(TimePoint At);
  void onLimit();
  void watchCaller();
  void end(Ending Why);

  // Attempts.
  http::Task<Dispatch> dispatch();
  /// Where the request runs and whether it is sent now, waits or is refused
  /// for others' sake: from the placers where there are some.
  http::Task<PlacementDecision> decide(TimePoint Now);
  PlacementDecision decideAlone(TimePoint Now, const PlacementContext &Context);
  http::Task<bool> reserve(const Dispatch &Chosen);
  /// Gives reserved memory back. Every attempt ends with it, sent or not:
  /// reservations are renewed until they are released.
  void releaseReservations();
  http::Task<LinkRef> openLink(const EndpointRef &Peer);
  http::Task<AttemptEnd> attempt(const Dispatch &Chosen);
  /// When an endpoint that sent no byte of its answer is given up.
  TimePoint firstByteLimit(const Dispatch &Chosen) const;
  http::Task<AttemptEnd> receive(const Dispatch &Chosen, LinkRef &Link,
                                 const std::shared_ptr<PendingWrite> &Sending);
  http::Task<AttemptEnd> relayStream(EndpointLink &Link,
                                     ResponseParser &Parser);
  http::Task<AttemptEnd> relayWhole(EndpointLink &Link, ResponseParser &Parser);
  http::Task<bool> readPiece(EndpointLink &Link, ResponseParser &Parser,
                             std::string &Piece);
  http::Task<bool> writeToCaller(std::string Bytes);
  std::string formatForward(const Dispatch &Chosen);
  /// Whether other nodes hear of the work: in a large fleet only work of model
  /// services is placed together.
  bool isWorkShared() const;
  /// The endpoint gets no further attempt of this request.
  void exclude(const catalog::KnownEndpoint &Which);
  /// Excludes those of the chosen endpoints, helpers included, that have left
  /// since: a reservation and a connection take their time. Returns whether
  /// there are none.
  bool excludeLeft(const Dispatch &Chosen);
  void beginWork(const Dispatch &Chosen);
  void finishWork();
  void noteFirstByte(const Dispatch &Chosen);
  void noteBroken(const EndpointRef &Peer);
  /// Measures the pauses between pieces of a stream.
  void notePiece();
  AnswerHead makeAnswerHead(const ResponseParser &Parser) const;

  http::Task<void> answerOwn(int Status, std::optional<Duration> RetryAfter,
                             std::string Reason);
  http::Task<void> answerEnd(AttemptEnd Last, const Dispatch &Chosen);
  bool mayTryAgain(AttemptEnd End);
  Duration left() const;

  GatewayState &State_;
  Tcp::socket &Caller_;
  ReceivedRequest &Request_;
  CallerHead Head_;
  std::shared_ptr<const catalog::ServiceConfig> Config_;
  const catalog::Route *Route_ = nullptr;
  const catalog::Workspace *Workspace_ = nullptr;
  const catalog::Service *Service_ = nullptr;
  std::shared_ptr<const std::string> Body_;
  std::uint64_t Content_ = 0;
  DispatchRequest Wanted_;

  asio::steady_timer Limit_;
  TimePoint EndsAt_;
  TimePoint SilentAt_ = TimePoint::max();
  TimePoint ArmedFor_ = TimePoint::max();
  Ending Ending_ = Ending::None;
  bool Silent_ = false;
  std::string Cause_; ///< why the last attempt broke
  EndpointLink *Current_ = nullptr;

  std::shared_ptr<Reservations> Reservations_;
  std::vector<ReservationPlan> Plans_;
  int Sends_ = 0;
  bool MayHaveRun_ = false;
  bool AnswerBegun_ = false;
  bool AnswerComplete_ = false;
  bool WorkActive_ = false;
  bool IsCounted_ = false; ///< a placer counts the work as sent
  std::string Placer_;     ///< address of the node that chose; empty: this one
  std::vector<std::string> ExcludedIds_;
  bool KeyLapsed_ = false; ///< taken away, or not known to hold, before a send
  bool FirstByteSeen_ = false;
  TimePoint SentAt_;
  TimePoint LastPieceAt_; ///< of the stream; unset before the first piece
  Duration LongestPause_{0};
  EventAssembler Events_;
  AnswerHead CallerHead_; ///< of the stream that the caller gets
  std::optional<HeldAnswer> Held_;
  std::string Outcome_;
};

} // namespace cassiashed::gateway
