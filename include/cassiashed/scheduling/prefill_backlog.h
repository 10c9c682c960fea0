#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/scheduling/length_class.h"

#include <array>
#include <cstdint>

/// Predicted prefill work of one endpoint.
namespace cassiashed::scheduling {

/// Counts the prompt tokens that were granted but are not yet prefilled, as
/// predicted from the prefill rate. Engines prefill in chunks by priority, so a
/// prompt waits only for work of its own class and of shorter ones.
class PrefillBacklog {
public:
  explicit PrefillBacklog(double TokensPerSecond) : Rate_(TokensPerSecond) {}

  /// Adds a prompt and returns its position, to be passed to `remove`.
  double add(std::uint64_t Tokens, LengthClass Class, TimePoint Now);
  /// Removes the predicted remaining work of a prompt that ended.
  void remove(double Position, std::uint64_t Tokens, LengthClass Class,
              TimePoint Now);
  /// Removes all remaining work.
  void clear();

  /// Whether the prompt at this position is predicted to be prefilled by now.
  bool done(double Position, LengthClass Class, TimePoint Now);
  /// Predicted time until the prefill of a new prompt of this class starts.
  std::chrono::microseconds delay(LengthClass Class, TimePoint Now);
  std::chrono::microseconds prefillTime(std::uint64_t Tokens) const;

private:
  void advance(TimePoint Now);

  double Rate_;
  TimePoint Last_{};
  std::array<double, LengthClassCount> Added_{}; ///< tokens added so far
  std::array<double, LengthClassCount> Done_{};  ///< of these, prefilled
};

} // namespace cassiashed::scheduling
