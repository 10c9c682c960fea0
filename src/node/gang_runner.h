#pragma once

#include "cassiashed/scheduling/group_reservation.h"
#include "node/crash_guard.h"
#include "node/grant_broker.h"
#include "node/kv_transfer.h"
#include "node/owner_client.h"
#include "node/request_runner.h"
#include <map>

namespace cassiashed {

/// Runs one prompt on several engines: reserves all of them or none, computes
/// the prompt segment by segment, each engine continuing from the cache of the
/// one before, and streams the answer from the last one. Everything is released
/// at the end, however the run ends.
class GangRunner {
public:
  GangRunner(OwnerClient &Owners, CrashGuard &Crashes, std::string Node,
             http::asio::any_io_executor Executor)
      : Owners_(Owners), Crashes_(Crashes), Node_(std::move(Node)),
        Executor_(std::move(Executor)) {}

  http::Task<RunResult> run(GrantQuery Query, std::vector<GangEngine> Engines,
                            TokenConsumer Consume);

  /// Ends the run because the caller is gone. Must be called on the executor
  /// of the runner.
  void cancel();

private:
  using Actions = std::vector<scheduling::ReservationAction>;
  struct Part {
    GangEngine Engine;
    std::string Owner;
    std::uint64_t GrantId = 0;
    std::uint64_t Incarnation = 0;
  };

  http::Task<bool> reserve(GrantQuery Query,
                           scheduling::GroupReservation &Reservation);
  http::Task<Actions> perform(GrantQuery Query,
                              scheduling::ReservationAction Action,
                              scheduling::GroupReservation &Reservation);
  http::Task<Actions> offer(GrantQuery Query,
                            scheduling::ReservationAction Action,
                            scheduling::GroupReservation &Reservation);
  http::Task<Actions> startPart(GrantQuery Query,
                                scheduling::ReservationAction Action,
                                scheduling::GroupReservation &Reservation);
  void release(const scheduling::ReservationAction &Action);
  http::Task<AttemptResult> compute(const GrantQuery &Query,
                                    const TokenConsumer &Consume);
  http::Task<AttemptResult> runSegment(const GrantQuery &Query,
                                       const Part &Target,
                                       std::uint64_t PromptTokens, bool Last,
                                       const TokenConsumer &Consume);
  static RunningAt placeOf(const Part &Target);

  OwnerClient &Owners_;
  CrashGuard &Crashes_;
  std::string Node_;
  http::asio::any_io_executor Executor_;
  SteadyClock Clock_;
  std::vector<Part> Parts_;
  std::vector<KvExport> Exports_;
  std::shared_ptr<EngineAttempt> Attempt_;
  Error Refusal_;
  std::string RequestId_;
  bool Cancelled_ = false;
};

} // namespace cassiashed
