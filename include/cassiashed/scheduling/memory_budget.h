#pragma once

#include "cassiashed/scheduling/length_class.h"
#include "cassiashed/scheduling/share.h"

#include <cstdint>

/// The token memory of one endpoint that this node may use.
namespace cassiashed::scheduling {

struct MemoryBudgetOptions {
  /// Part of the capacity that is never reserved. It absorbs prompts whose
  /// token count was estimated too low.
  double Headroom = 0.05;
  /// Part of the limit that long and huge prompts together may use while
  /// short requests wait.
  double LongPart = 0.60;
};

/// Adds up the reserved tokens and compares them with the limit
/// `share(capacity * 95 % - foreign)`. Foreign tokens are those that the
/// endpoint reports but this node did not reserve. They are subtracted before
/// the share is taken: two nodes with half of the budget each, which both see
/// the same foreign tokens, then stay within the budget together.
class MemoryBudget {
public:
  explicit MemoryBudget(MemoryBudgetOptions Options) : Options_(Options) {}

  void setCapacity(std::uint64_t Tokens) { Capacity_ = Tokens; }
  void setForeign(std::uint64_t Tokens) { Foreign_ = Tokens; }
  void setShare(Share NodeShare) { Share_ = NodeShare; }

  /// Reserves tokens; they must fit.
  void reserve(std::uint64_t Tokens, LengthClass Class);
  /// Adds tokens that are already in use, even if that exceeds the limit.
  void add(std::uint64_t Tokens, LengthClass Class);
  void release(std::uint64_t Tokens, LengthClass Class);

  /// Tokens that this node may have reserved at any time.
  std::uint64_t limit() const;
  /// The most that a request may need: the limit without foreign tokens.
  std::uint64_t largestRequest() const;
  std::uint64_t used() const { return Used_; }
  std::uint64_t usedByLong() const { return UsedByLong_; }
  std::uint64_t usedByShorter() const { return Used_ - UsedByLong_; }
  std::uint64_t foreign() const { return Foreign_; }
  std::uint64_t free() const;
  bool fits(std::uint64_t Tokens) const { return Tokens <= free(); }
  /// Tokens that long and huge prompts together may use while short requests
  /// wait.
  std::uint64_t longPart() const;
  /// Whether the long prompts stay within `longPart` with one more that needs
  /// `Tokens`.
  bool fitsLongPart(std::uint64_t Tokens) const;

private:
  std::uint64_t budget() const;

  MemoryBudgetOptions Options_;
  std::uint64_t Capacity_ = 0;
  std::uint64_t Foreign_ = 0;
  std::uint64_t Used_ = 0;
  std::uint64_t UsedByLong_ = 0;
  Share Share_ = Share::None;
};

} // namespace cassiashed::scheduling
