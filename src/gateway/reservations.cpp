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
  ReservationsImpl(asio::io_context &Context, const Dialect &Protocol,
                   ReservationOptions Options)
      : Context_(Context), Protocol_(Protocol), Options_(Options) {}

  http::Task<bool> acquire(std::vector<ReservationPlan> Plans) override {
    Plans_ = std::move(Plans);
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
    auto Self = shared_from_this();
    asio::co_spawn(Context_, renewLoop(Self), asio::detached);
    co_return true;
  }

  void release() override {
    if (Released_)
      return;
    Released_ = true;
    // Without an answer a reservation may have been made, so all that were
    // tried are released.
    Plans_.resize(Tried_);
    if (!Plans_.empty()) {
      auto Self = shared_from_this();
      asio::co_spawn(Context_, releaseAll(Self), asio::detached);
    }
  }

private:
  /// `Status` is 0 without an answer.
  http::Task<void> order(const ReservationPlan &Plan, bool Reserve,
                         int &Status) {
    http::Request Call =
        Reserve ? Protocol_.reserveOrder(Plan.Id, Plan.Tokens, Options_.Hold)
                : Protocol_.releaseOrder(Plan.Id);
    http::Address Where{Plan.Host, Plan.Port};
    std::optional<http::Response> Reply =
        co_await http::fetch(Where, Call, Options_.CallTimeout);
    Status = Reply ? Reply->Status : 0;
  }

  static http::Task<void> renewLoop(std::shared_ptr<ReservationsImpl> Self) {
    while (true) {
      co_await http::sleepFor(Self->Options_.Renew);
      if (Self->Released_)
        co_return;
      for (const ReservationPlan &Plan : Self->Plans_) {
        int Status = 0;
        co_await Self->order(Plan, true, Status);
        if (Self->Released_) {
          // The renewal may have arrived after the release.
          int Ignored = 0;
          co_await Self->order(Plan, false, Ignored);
          co_return;
        }
      }
    }
  }

  static http::Task<void> releaseAll(std::shared_ptr<ReservationsImpl> Self) {
    for (const ReservationPlan &Plan : Self->Plans_) {
      int Status = 0;
      for (int Try = 0; Try < ReleaseTries && Status == 0; ++Try)
        co_await Self->order(Plan, false, Status);
      if (Status == 0)
        logWarning("release_unanswered")
            .field("reservation", Plan.Id)
            .field("endpoint", Plan.Host);
    }
  }

  asio::io_context &Context_;
  const Dialect &Protocol_;
  ReservationOptions Options_;
  std::vector<ReservationPlan> Plans_;
  std::size_t Tried_ = 0;
  bool Released_ = false;
};

} // namespace

std::shared_ptr<Reservations> makeReservations(asio::io_context &Context,
                                               const Dialect &Protocol,
                                               ReservationOptions Options) {
  return std::make_shared<ReservationsImpl>(Context, Protocol, Options);
}

} // namespace cassiashed::gateway
