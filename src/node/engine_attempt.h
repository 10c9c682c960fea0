#pragma once

#include "cassiashed/base/clock.h"
#include "http/client.h"
#include "node/completion_request.h"
#include <functional>
#include <optional>
#include <string>

/// One attempt to run a request at a model engine.
namespace cassiashed {

/// How an attempt ended.
enum class AttemptEnd {
  Complete,       ///< the engine sent its last event
  Refused,        ///< the engine refused before any work
  NotReached,     ///< no byte reached the engine
  EngineLost,     ///< the connection broke or the stream was truncated
  Silent,         ///< no event arrived in time
  Deadline,       ///< the deadline of the request passed
  ConsumerFailed, ///< the consumer returned false: caller gone or too slow
  Cancelled,      ///< `cancel` was called
};

std::string_view nameOf(AttemptEnd End);

struct AttemptInput {
  std::string RequestId;
  std::uint32_t Attempt = 1;
  std::string Node;
  std::uint64_t Epoch = 0;
  std::uint32_t Priority = 0;
  std::uint64_t ResumeFrom = 0; ///< tokens that the caller already has
  TimePoint Deadline;
  TimePoint SendBy = TimePoint::max(); ///< nothing is sent after this time
  Duration SilenceTimeout = std::chrono::seconds(10);
  Duration FirstEventTimeout = std::chrono::seconds(10);
};

struct AttemptResult {
  AttemptEnd End = AttemptEnd::NotReached;
  std::uint64_t Tokens = 0; ///< delivered by this attempt
  std::optional<TimePoint> FirstToken;
  std::string Detail;
};

/// Takes the text of the next tokens in order; returns false to stop.
using TokenConsumer =
    std::function<http::Task<bool>(std::string Text, std::uint64_t Tokens)>;

/// Runs one attempt. Events are accepted only with the request id and attempt
/// number of this attempt and with the next sequence number: a repeated event
/// is dropped, a gap ends the attempt as `EngineLost`.
class EngineAttempt {
public:
  virtual ~EngineAttempt() = default;
  virtual http::Task<AttemptResult> run(http::Address Engine,
                                        const CompletionRequest &Request,
                                        AttemptInput Input,
                                        TokenConsumer Consume) = 0;
  /// Ends the attempt. Must be called on its executor.
  virtual void cancel() = 0;
};

std::shared_ptr<EngineAttempt>
makeEngineAttempt(http::asio::any_io_executor Executor);

/// Cancels all attempts of a request.
inline constexpr std::uint32_t AnyAttempt = 0;

/// Tells the engine to drop an attempt. Returns false if it could not be told.
http::Task<bool> cancelAtEngine(http::Address Engine, std::string RequestId,
                                std::uint32_t Attempt);

} // namespace cassiashed
