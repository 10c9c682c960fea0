#pragma once

#include "cassiashed/scheduling/grant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Group reservation: memory at several engines for one prompt, all or none.
namespace cassiashed::scheduling {

/// Memory reserved at one engine of the group.
struct ReservationPart {
  std::string Endpoint;
  std::uint64_t Tokens = 0;
};

/// Chooses as few engines as possible whose available memory adds up to
/// `Tokens`, and returns them ordered by name. Returns nothing if `MaxParts`
/// engines are not enough.
std::optional<std::vector<ReservationPart>>
planGroupReservation(std::uint64_t Tokens,
                     std::vector<ReservationPart> Available,
                     std::size_t MaxParts);

struct GroupReservationOptions {
  /// The reservation fails if not all parts have started after this time. It
  /// must cover the wait at each engine: 8 s (`WaitQueueOptions::MaxBypass`)
  /// plus the time until running requests have freed the memory.
  Duration StartTimeout = std::chrono::seconds(60);
};

enum class GroupReservationState : std::uint8_t {
  Acquiring, ///< the engines are asked for their parts, one at a time
  Starting,  ///< all granted; waiting until short requests that borrowed the
             ///< memory have ended
  Running,   ///< all parts have started
  Ended,     ///< all parts are released
};

enum class ReservationActionKind : std::uint8_t {
  Offer,            ///< `EndpointLedger::offer(Request)`
  SetExpectedStart, ///< `EndpointLedger::setExpectedStart(GrantId,
                    ///< ExpectedStart)`
  Start,            ///< `EndpointLedger::start(GrantId)`
  Release,          ///< `EndpointLedger::release(GrantId, Outcome)`
  Cancel,           ///< `EndpointLedger::cancel(...)`: no grant id is known yet
};

/// A message to send to the node that owns `Endpoint`.
struct ReservationAction {
  ReservationActionKind Kind = ReservationActionKind::Offer;
  std::string Endpoint;
  std::uint64_t GrantId = 0;
  /// Complete for `Offer`; otherwise only the request id and the attempt.
  GrantRequest Request;
  TimePoint ExpectedStart;
  GrantOutcome Outcome = GrantOutcome::Cancelled;
};

/// Reserves memory at several engines for a prompt that is too large for one.
/// It is a state machine at the node that received the request: each call
/// reports an event and returns the messages to send.
///
/// Engines are asked one at a time in the order of their names. This prevents
/// deadlock: a prompt that has reserved an engine waits only for engines with
/// later names. Parts that wait are subject to `MaxBypass` of the engine's
/// queue, so a stream of short requests cannot starve them. If a part fails,
/// every part that was offered is released.
class GroupReservation {
public:
  /// `PromptRequest` describes the whole prompt; the request for a part has
  /// the token count of that part.
  GroupReservation(GrantRequest PromptRequest,
                   std::vector<ReservationPart> Parts,
                   GroupReservationOptions Options);

  /// Offers the first part.
  std::vector<ReservationAction> begin(TimePoint Now);
  /// The owner queued the part. `Start` is its prediction of the time until a
  /// request of this class starts.
  std::vector<ReservationAction> queued(const std::string &Endpoint,
                                        std::chrono::microseconds Start,
                                        TimePoint Now);
  std::vector<ReservationAction> granted(const std::string &Endpoint,
                                         const Grant &Part, TimePoint Now);
  std::vector<ReservationAction> started(const std::string &Endpoint,
                                         std::uint64_t GrantId, TimePoint Now);
  /// The part was refused, has expired, or was lost with its endpoint.
  std::vector<ReservationAction> failed(const std::string &Endpoint,
                                        TimePoint Now);
  /// Releases all parts if they have not all started within `StartTimeout`, or
  /// if the deadline of the prompt has passed.
  std::vector<ReservationAction> poll(TimePoint Now);
  /// The prompt has ended or was abandoned; releases all parts.
  std::vector<ReservationAction> finish(GrantOutcome Outcome, TimePoint Now);

  GroupReservationState state() const { return State_; }

private:
  struct Member {
    ReservationPart Part;
    std::uint64_t GrantId = 0; ///< 0: not granted
    bool Offered = false;
    bool Started = false;
  };

  Member *find(const std::string &Endpoint);
  ReservationAction actionFor(ReservationActionKind Kind,
                              const Member &Target) const;
  ReservationAction offerNext(TimePoint Now);
  std::vector<ReservationAction> releaseAll(GrantOutcome Outcome);

  GrantRequest PromptRequest_;
  std::vector<Member> Members_;
  GroupReservationOptions Options_;
  GroupReservationState State_ = GroupReservationState::Acquiring;
  std::size_t Acquired_ = 0;
  TimePoint HoldUntil_{};
};

} // namespace cassiashed::scheduling
