#include "gateway/reservations.h"

#include "cassiashed/base/event_log.h"
#include "http/client.h"

namespace cassiashed::gateway {
namespace {

constexpr int MaxReleaseAttempts = 3;
/// Answers to orders and reports are some kilobytes; a faulty engine may send
/// bytes without end.
constexpr std::size_t MaxAnswerBytes = 256 * 1024;

class ReservationsImpl final
    : public Reservations,
      public std::enable_shared_from_this<ReservationsImpl> {
public:
  ReservationsImpl(asio::io_context &Context, const PlatformProtocol &Protocol,
                   ReservationOptions Options)
      : Context_(Context), Protocol_(Protocol), Options_(Options) {}

  http::Task<bool> acquire(std::vector<ReservationPlan> Plans) override {
    Plans_ = std::move(Plans);
    Trackers_.resize(Plans_.size());
    bool Complete = true;
    for (std::size_t Index = 0; Index < Plans_.size() && Complete; ++Index) {
      RequestedCount_ = Index + 1;
      int Status = 0;
      co_await sendCall(Plans_[Index], true, Status);
      Complete = Status == 200;
      if (!Complete)
        logEvent("reservation_failed")
            .field("reservation", Plans_[Index].Id)
            .field("endpoint", Plans_[Index].Host)
            .field("tokens", Plans_[Index].Tokens)
            .field("status", Status);
    }
    if (!Complete) {
      release();
      co_return false;
    }
    // g++ 12 destroys temporaries among a coroutine's arguments twice.
    auto Self = shared_from_this();
    for (std::size_t Index = 0; Index < Plans_.size(); ++Index)
      asio::co_spawn(Context_, renewLoop(Self, Index), asio::detached);
    co_return true;
  }

  void recordAnswerStarted() override {
    const TimePoint Now = std::chrono::steady_clock::now();
    for (balancing::ReservationTracker &Tracker : Trackers_)
      Tracker.recordAnswerStarted(Now);
  }

  void release() override {
    if (Released_)
      return;
    Released_ = true;
    // A helper that did not answer may have reserved memory all the same, so
    // every reservation that was requested is released.
    auto Self = shared_from_this();
    for (std::size_t Index = 0; Index < RequestedCount_; ++Index)
      asio::co_spawn(Context_, releaseOne(Self, Index), asio::detached);
  }

private:
  /// Reserves (or renews) if `Reserve` is set, else releases. `Status` is 0 if
  /// there is no answer.
  http::Task<void> sendCall(const ReservationPlan &Plan, bool Reserve,
                            int &Status) {
    http::Request Call = Reserve ? Protocol_.makeReserveRequest(
                                       Plan.Id, Plan.Tokens, Options_.Lifetime)
                                 : Protocol_.makeReleaseRequest(Plan.Id);
    http::Address Address{Plan.Host, Plan.Port};
    std::optional<http::Response> Reply = co_await http::fetch(
        Address, Call, Options_.CallTimeout, nullptr, MaxAnswerBytes);
    Status = Reply ? Reply->Status : 0;
  }

  http::Task<std::optional<http::Response>> fetchReport(http::Address Address) {
    const http::Request Call = Protocol_.makeReportRequest();
    std::optional<http::Response> Reply = co_await http::fetch(
        Address, Call, Options_.CallTimeout, nullptr, MaxAnswerBytes);
    if (Reply && Reply->Status != 200)
      Reply.reset();
    co_return Reply;
  }

  /// Asks the helper whether the request still uses its memory.
  http::Task<void> updateTracker(const ReservationPlan &Plan,
                                 balancing::ReservationTracker &Tracker) {
    const http::Address Engine{Plan.Host, Plan.Port};
    const TimePoint AskedAt = std::chrono::steady_clock::now();
    const std::optional<http::Response> Reply = co_await fetchReport(Engine);
    Tracker.recordReport(
        Reply ? Protocol_.readReservationState(Reply->Body, Plan.Id)
              : balancing::ReservationState::Unknown,
        AskedAt);
    if (!Tracker.mayBeQueuedAtDecodeEngine())
      co_return;
    const std::optional<http::Response> DecodeEngineReport =
        co_await fetchReport(Options_.DecodeEngine);
    if (!DecodeEngineReport)
      Tracker.recordDecodeEngineUnresponsive();
  }

  /// One loop per reservation, since each call to a helper that does not answer
  /// takes until its timeout.
  static http::Task<void> renewLoop(std::shared_ptr<ReservationsImpl> Self,
                                    std::size_t Index) {
    const ReservationPlan &Plan = Self->Plans_[Index];
    balancing::ReservationTracker &Tracker = Self->Trackers_[Index];
    while (!Self->Released_) {
      co_await http::sleepFor(Self->Options_.RenewalInterval);
      if (!Self->Released_)
        co_await Self->updateTracker(Plan, Tracker);
      if (Self->Released_)
        co_return;
      if (Tracker.isNoLongerNeeded()) {
        logEvent("reservation_unused")
            .field("reservation", Plan.Id)
            .field("endpoint", Plan.Host);
        co_await releaseOne(Self, Index);
        co_return;
      }
      int Status = 0;
      co_await Self->sendCall(Plan, true, Status);
    }
    // The last renewal may have arrived after the release.
    int Ignored = 0;
    co_await Self->sendCall(Plan, false, Ignored);
  }

  static http::Task<void> releaseOne(std::shared_ptr<ReservationsImpl> Self,
                                     std::size_t Index) {
    const ReservationPlan &Plan = Self->Plans_[Index];
    int Status = 0;
    for (int Attempt = 0; Attempt < MaxReleaseAttempts && Status == 0;
         ++Attempt)
      co_await Self->sendCall(Plan, false, Status);
    if (Status == 0)
      logWarning("release_unanswered")
          .field("reservation", Plan.Id)
          .field("endpoint", Plan.Host);
  }

  asio::io_context &Context_;
  const PlatformProtocol &Protocol_;
  ReservationOptions Options_;
  std::vector<ReservationPlan> Plans_;
  std::vector<balancing::ReservationTracker> Trackers_; ///< one per plan
  std::size_t RequestedCount_ = 0;
  bool Released_ = false;
};

} // namespace

std::shared_ptr<Reservations> makeReservations(asio::io_context &Context,
                                               const PlatformProtocol &Protocol,
                                               ReservationOptions Options) {
  return std::make_shared<ReservationsImpl>(Context, Protocol, Options);
}

} // namespace cassiashed::gateway
