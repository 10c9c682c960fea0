#include "cassiashed/scheduling/grant.h"

namespace cassiashed::scheduling {
namespace {

struct ReasonProperties {
  RefusalReason Reason;
  std::string_view Name;
  ErrorKind Kind;
};

constexpr std::array<ReasonProperties, RefusalReasonCount> Reasons = {{
    {RefusalReason::OverShare, "over-share", ErrorKind::OverShare},
    {RefusalReason::QueueFull, "queue-full", ErrorKind::NoCapacity},
    {RefusalReason::Late, "late", ErrorKind::NoCapacity},
    {RefusalReason::Expired, "expired", ErrorKind::DeadlineExceeded},
    {RefusalReason::TooLarge, "too-large", ErrorKind::NoCapacity},
    {RefusalReason::Leaving, "leaving", ErrorKind::NoEndpoint},
    {RefusalReason::NoShare, "no-share", ErrorKind::NoCapacity},
    {RefusalReason::AlreadyEnded, "already-ended", ErrorKind::CallerGone},
}};

constexpr bool reasonsAreInOrder() {
  for (int Index = 0; Index < RefusalReasonCount; ++Index)
    if (static_cast<int>(Reasons[Index].Reason) != Index)
      return false;
  return true;
}
static_assert(reasonsAreInOrder(),
              "Reasons must follow the order of RefusalReason");

} // namespace

std::string_view nameOf(RefusalReason Reason) {
  return Reasons[static_cast<std::size_t>(Reason)].Name;
}

ErrorKind errorKindOf(RefusalReason Reason) {
  return Reasons[static_cast<std::size_t>(Reason)].Kind;
}

} // namespace cassiashed::scheduling
