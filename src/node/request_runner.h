#pragma once

#include "cassiashed/base/error.h"
#include "node/grant_broker.h"
#include <functional>
#include <optional>

namespace cassiashed {

/// The one terminal outcome of a request.
enum class Outcome { Answered, Refused, DeadlinePassed, Failed, CallerGone };

std::string_view nameOf(Outcome Value);

Outcome outcomeOf(ErrorKind Kind);

/// What the caller is told when no attempt follows the one that ended so.
Error describeFailure(const AttemptResult &Result);

struct RunResult {
  Outcome End = Outcome::Failed;
  std::optional<Error> Failure; ///< set unless the request was answered
  std::uint64_t Tokens = 0;
  std::uint32_t Attempts = 0;
  std::string Endpoint; ///< of the last attempt
  std::optional<TimePoint> FirstToken;
};

struct RunnerOptions {
  std::string Node;
  Duration SilenceTimeout = std::chrono::seconds(10);
};

/// Runs one request: grant, attempt, and further attempts that resume the
/// stream where the last one ended.
class RequestRunner {
public:
  RequestRunner(GrantBroker &Broker, RunnerOptions Options,
                http::asio::any_io_executor Executor)
      : Broker_(Broker), Options_(std::move(Options)),
        Executor_(std::move(Executor)) {}

  http::Task<RunResult> run(GrantQuery Query, TokenConsumer Consume);

  /// Ends the request because its caller is gone. Must be called on the
  /// executor of the runner.
  void cancel();

private:
  http::Task<AttemptResult> runAttempt(const GrantQuery &Query,
                                       const EngineGrant &Grant,
                                       const TokenConsumer &Consume);
  bool mayRetry(const GrantQuery &Query, const AttemptResult &Result);

  GrantBroker &Broker_;
  RunnerOptions Options_;
  http::asio::any_io_executor Executor_;
  std::shared_ptr<EngineAttempt> Attempt_;
  std::string RequestId_;
  bool Cancelled_ = false;
};

} // namespace cassiashed
