#include "node/service_caller.h"

#include "node/recorded_call.h"
#include "node/service_sender.h"
#include <atomic>

namespace cassiashed {
namespace {

using http::Task;

class ServiceCallerImpl final : public ServiceCaller {
public:
  ServiceCallerImpl(const ConfigTable &Config, RecordedCallContext Recording)
      : Config_(Config), Recording_(std::move(Recording)) {}

  Task<ServiceAnswer> call(std::string Service, ServiceCall Call) override {
    const auto Sender =
        std::make_shared<ServiceSender>(Config_, std::move(Service), Next_++);
    ServiceAnswer Answer;
    if (Call.Idempotent)
      Answer = co_await callRepeatable(std::move(Call), Sender);
    else
      Answer = co_await runRecordedCall(Recording_, std::move(Call), Sender);
    co_return Answer;
  }

private:
  /// Tries one endpoint after the other.
  Task<ServiceAnswer> callRepeatable(ServiceCall Call,
                                     std::shared_ptr<ServiceSender> Sender) {
    ServiceAnswer Answer;
    bool MayHaveRun = false;
    while (true) {
      const auto MaySend = [this, &Call] {
        return Clock_.now() < Call.Deadline;
      };
      SendResult Result = co_await Sender->sendToNext(Call, MaySend);
      if (Result.End == SendEnd::Answered) {
        Answer.Reply = std::move(Result.Reply);
        co_return Answer;
      }
      MayHaveRun |= Result.End == SendEnd::Lost;
      if (Clock_.now() >= Call.Deadline) {
        Answer.Failure = Error{ErrorKind::DeadlineExceeded};
        break;
      }
      if (Result.End == SendEnd::Nowhere) {
        Answer.Failure = Error{MayHaveRun ? ErrorKind::EndpointFailed
                                          : ErrorKind::NoEndpoint};
        break;
      }
    }
    Answer.Failure.Effect = MayHaveRun ? Ran::Unknown : Ran::NotRun;
    co_return Answer;
  }

  SteadyClock Clock_;
  const ConfigTable &Config_;
  RecordedCallContext Recording_;
  std::atomic<std::size_t> Next_ = 0;
};

} // namespace

std::unique_ptr<ServiceCaller>
makeServiceCaller(const ConfigTable &Config, RecordedCallContext Recording) {
  return std::make_unique<ServiceCallerImpl>(Config, std::move(Recording));
}

} // namespace cassiashed
