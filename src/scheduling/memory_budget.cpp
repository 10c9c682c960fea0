#include "cassiashed/scheduling/memory_budget.h"

#include "cassiashed/base/invariant.h"

namespace cassiashed::scheduling {

std::uint64_t MemoryBudget::budget() const {
  return static_cast<std::uint64_t>(static_cast<double>(Capacity_) *
                                    (1.0 - Options_.Headroom));
}

std::uint64_t MemoryBudget::limit() const {
  const std::uint64_t Budget = budget();
  return Foreign_ >= Budget ? 0 : shareOf(Budget - Foreign_, Share_);
}

std::uint64_t MemoryBudget::largestRequest() const {
  return shareOf(budget(), Share_);
}

std::uint64_t MemoryBudget::free() const {
  const std::uint64_t Limit = limit();
  return Used_ >= Limit ? 0 : Limit - Used_;
}

std::uint64_t MemoryBudget::longPart() const {
  return static_cast<std::uint64_t>(static_cast<double>(limit()) *
                                    Options_.LongPart);
}

bool MemoryBudget::fitsLongPart(std::uint64_t Tokens) const {
  return UsedByLong_ + Tokens <= longPart();
}

void MemoryBudget::reserve(std::uint64_t Tokens, LengthClass Class) {
  add(Tokens, Class);
  CASSIASHED_INVARIANT(Used_ <= limit(),
                       "reserved tokens exceed this node's share");
}

void MemoryBudget::add(std::uint64_t Tokens, LengthClass Class) {
  Used_ += Tokens;
  if (isLong(Class))
    UsedByLong_ += Tokens;
}

void MemoryBudget::release(std::uint64_t Tokens, LengthClass Class) {
  CASSIASHED_INVARIANT(Tokens <= Used_, "more tokens released than reserved");
  Used_ -= Tokens;
  if (isLong(Class)) {
    CASSIASHED_INVARIANT(Tokens <= UsedByLong_,
                         "more long tokens released than reserved");
    UsedByLong_ -= Tokens;
  }
}

} // namespace cassiashed::scheduling
