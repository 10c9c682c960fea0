#include "cassiashed/scheduling/prefill_backlog.h"

#include <algorithm>

namespace cassiashed::scheduling {

void PrefillBacklog::advance(TimePoint Now) {
  double Work = Now > Last_
                    ? std::chrono::duration<double>(Now - Last_).count() * Rate_
                    : 0;
  Last_ = std::max(Last_, Now);
  for (int Class = 0; Class < LengthClassCount; ++Class) {
    const double Step = std::min(Work, Added_[Class] - Done_[Class]);
    Done_[Class] += Step;
    Work -= Step;
  }
}

double PrefillBacklog::add(std::uint64_t Tokens, LengthClass Class,
                           TimePoint Now) {
  advance(Now);
  double &Added = Added_[static_cast<std::size_t>(Class)];
  Added += static_cast<double>(Tokens);
  return Added;
}

void PrefillBacklog::remove(double Position, std::uint64_t Tokens,
                            LengthClass Class, TimePoint Now) {
  advance(Now);
  const auto Index = static_cast<std::size_t>(Class);
  // Later prompts of the class move forward by the remaining tokens of this
  // one.
  Done_[Index] = std::min(
      Added_[Index], Done_[Index] + std::clamp(Position - Done_[Index], 0.0,
                                               static_cast<double>(Tokens)));
}

void PrefillBacklog::clear() { Done_ = Added_; }

bool PrefillBacklog::done(double Position, LengthClass Class, TimePoint Now) {
  advance(Now);
  return Done_[static_cast<std::size_t>(Class)] >= Position;
}

std::chrono::microseconds PrefillBacklog::delay(LengthClass Class,
                                                TimePoint Now) {
  advance(Now);
  double Tokens = 0;
  for (int Index = 0; Index <= static_cast<int>(Class); ++Index)
    Tokens += Added_[Index] - Done_[Index];
  return prefillTime(static_cast<std::uint64_t>(Tokens));
}

std::chrono::microseconds
PrefillBacklog::prefillTime(std::uint64_t Tokens) const {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(static_cast<double>(Tokens) / Rate_ * 1e6));
}

} // namespace cassiashed::scheduling
