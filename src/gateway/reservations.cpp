#include "gateway/reservations.h"

#include "cassiashed/base/event_log.h"
#include "http/client.h"

namespace cassiashed::gateway {
namespace {

constexpr int ReleaseTries = 3;

class ReservationsImpl final
    : public Reservations,
      public std::enable_shared_from_this<ReservationsImpl> {
public:
  ReservationsImpl(asio::io_context &Context, const PlatformProtocol &Protocol,
                   ReservationOptions Options)
      : Context_(Context), Protocol_(Protocol), Options_(Options) {}

  http::Task<bool> acquire(std::vector<ReservationPlan> Plans) override {
    Plans_ = std::move(Plans);
    Uses_.resize(Plans_.size());
    bool Complete = true;
    for (std::size_t Index = 0; Index < Plans_.size() && Complete; ++Index) {
      Tried_ = Index + 1;
      int Status = 0;
      co_await order(Plans_[Index], true, Status);
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
    for (balancing::ReservationTracker &Each : Uses_)
      Each.recordAnswerStarted(Now);
  }

  void release() override {
    if (Released_)
      return;
    Released_ = true;
    // Without an answer a reservation may have been made, so all that were
    // tried are released.
    auto Self = shared_from_this();
    for (std::size_t Index = 0; Index < Tried_; ++Index)
      asio::co_spawn(Context_, releaseOne(Self, Index), asio::detached);
  }

private:
  /// `Status` is 0 without an answer.
  http::Task<void> order(const ReservationPlan &Plan, bool Reserve,
                         int &Status) {
    http::Request Call =
        Reserve
            ? Protocol_.makeReserveRequest(Plan.Id, Plan.Tokens, Options_.Hold)
            : Protocol_.makeReleaseRequest(Plan.Id);
    http::Address Where{Plan.Host, Plan.Port};
    std::optional<http::Response> Reply =
        co_await http::fetch(Where, Call, Options_.CallTimeout);
    Status = Reply ? Reply->Status : 0;
  }

  http::Task<std::optional<http::Response>> askForReport(http::Address Where) {
    const http::Request Call = Protocol_.makeReportRequest();
    std::optional<http::Response> Reply =
        co_await http::fetch(Where, Call, Options_.CallTimeout);
    if (Reply && Reply->Status != 200)
      Reply.reset();
    co_return Reply;
  }

  /// Asks the engine whether the request still uses its memory.
  http::Task<void> noteUse(const ReservationPlan &Plan,
                           balancing::ReservationTracker &Use) {
    const http::Address Engine{Plan.Host, Plan.Port};
    const TimePoint AskedAt = std::chrono::steady_clock::now();
    const std::optional<http::Response> Reply = co_await askForReport(Engine);
    Use.recordReport(Reply
                         ? Protocol_.readReservationState(Reply->Body, Plan.Id)
                         : balancing::ReservationState::Unknown,
                     AskedAt);
    if (!Use.mayBeQueuedAtDecodeEngine())
      co_return;
    const std::optional<http::Response> AtWriter =
        co_await askForReport(Options_.Writer);
    if (!AtWriter)
      Use.recordDecodeEngineUnresponsive();
  }

  /// Each reservation has a loop of its own, since an engine that does not
  /// answer takes the whole time limit of each call.
  static http::Task<void> renewLoop(std::shared_ptr<ReservationsImpl> Self,
                                    std::size_t Index) {
    const ReservationPlan &Plan = Self->Plans_[Index];
    balancing::ReservationTracker &Use = Self->Uses_[Index];
    while (!Self->Released_) {
      co_await http::sleepFor(Self->Options_.Renew);
      if (!Self->Released_)
        co_await Self->noteUse(Plan, Use);
      if (Self->Released_)
        co_return;
      if (Use.isNoLongerNeeded()) {
        logEvent("reservation_unused")
            .field("reservation", Plan.Id)
            .field("endpoint", Plan.Host);
        co_await releaseOne(Self, Index);
        co_return;
      }
      int Status = 0;
      co_await Self->order(Plan, true, Status);
    }
    // The last renewal may have arrived after the release.
    int Ignored = 0;
    co_await Self->order(Plan, false, Ignored);
  }

  static http::Task<void> releaseOne(std::shared_ptr<ReservationsImpl> Self,
                                     std::size_t Index) {
    const ReservationPlan &Plan = Self->Plans_[Index];
    int Status = 0;
    for (int Try = 0; Try < ReleaseTries && Status == 0; ++Try)
      co_await Self->order(Plan, false, Status);
    if (Status == 0)
      logWarning("release_unanswered")
          .field("reservation", Plan.Id)
          .field("endpoint", Plan.Host);
  }

  asio::io_context &Context_;
  const PlatformProtocol &Protocol_;
  ReservationOptions Options_;
  std::vector<ReservationPlan> Plans_;
  std::vector<balancing::ReservationTracker> Uses_; ///< one per plan
  std::size_t Tried_ = 0;
  bool Released_ = false;
};

} // namespace

std::shared_ptr<Reservations> makeReservations(asio::io_context &Context,
                                               const PlatformProtocol &Protocol,
                                               ReservationOptions Options) {
  return std::make_shared<ReservationsImpl>(Context, Protocol, Options);
}

} // namespace cassiashed::gateway
