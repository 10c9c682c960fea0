#pragma once

#include "cassiashed/duties/scaling.h"
#include "cassiashed/duties/usage.h"
#include "http/asio.h"
#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace cassiashed::gateway {

enum class DutyCallResult {
  Accepted,
  Limited,  ///< too many calls; nothing was done
  Rejected, ///< the platform does not accept this call
  Unclear,  ///< no valid response; may have been done
  NotSent,
};

constexpr std::string_view nameOf(DutyCallResult Result) {
  constexpr std::array<std::string_view, 5> Names = {
      "accepted", "limited", "rejected", "unclear", "not_sent"};
  return Names[static_cast<std::size_t>(Result)];
}

/// Who makes a call, and until when it may be sent.
struct DutyCaller {
  std::string Holder;
  std::uint64_t Fence = 0;
  /// Checked right before the first byte is sent.
  std::function<bool()> MaySend;
};

/// Client of the platform's API for the duties that one node carries out for
/// all.
class DutyApi {
public:
  virtual ~DutyApi() = default;
  virtual http::Task<DutyCallResult>
  reportUsage(const DutyCaller &Caller, const duties::UsageReport &Report) = 0;
  virtual http::Task<DutyCallResult>
  orderReplicas(const DutyCaller &Caller, const std::string &Service,
                const duties::ReplicaOrder &Order) = 0;
};

} // namespace cassiashed::gateway
