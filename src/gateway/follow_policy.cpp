#include "gateway/follow_policy.h"

#include <array>

namespace cassiashed::gateway {
namespace {

using catalog::Table;

/// How long the store holds a call open while nothing changes. Long, because
/// each call is charged. A dead connection is noticed after this time at the
/// latest, and usually earlier through the versions that other nodes report.
constexpr Duration LongPollWait{20000};
/// From this number of nodes on, a few followers read the operator's table for
/// all. In smaller fleets every node reads it: followers whose calls the store
/// leaves unanswered would delay a change for all nodes until the time-out.
constexpr int MinNodesForOperatorFollowers = 100;
/// If keys that cannot be confirmed are refused, the calls of the confirmers
/// wait at most this fraction of the bound on revoked keys.
constexpr double FailClosedWaitFraction = 0.2;
/// The two best-ranked followers are confirmers: their reports confirm the
/// copies of other nodes. The store holds the calls of each open for this
/// fraction of the bound on changes of the table.
constexpr std::array<double, 2> ConfirmerWaitFractions = {0.2, 0.4};

} // namespace

Duration FollowPolicy::boundOf(Table TableId) const {
  const GatewayBounds &Bounds = State_.Settings.Bounds;
  return TableId == Table::Operator ? Bounds.ConfigApply : Bounds.Drain;
}

std::optional<double> FollowPolicy::confirmerWaitFraction() const {
  const auto Better =
      static_cast<std::size_t>(State_.Nodes->betterRankedFollowers());
  if (!State_.Nodes->isFollowing() || Better >= ConfirmerWaitFractions.size())
    return std::nullopt;
  return ConfirmerWaitFractions.at(Better);
}

bool FollowPolicy::hasOperatorFollowers() const {
  return State_.Nodes->possibleNodes() >= MinNodesForOperatorFollowers;
}

Duration FollowPolicy::longPollWait(Table TableId) const {
  const GatewayBounds &Bounds = State_.Settings.Bounds;
  const std::optional<double> Fraction = confirmerWaitFraction();
  if (!Fraction)
    return LongPollWait;
  Duration Wait =
      std::chrono::duration_cast<Duration>(boundOf(TableId) * *Fraction);
  if (TableId == Table::Operator && Bounds.RevokeFailClosed)
    Wait = std::min(Wait, std::chrono::duration_cast<Duration>(
                              Bounds.Revoke * FailClosedWaitFraction));
  return Wait;
}

bool FollowPolicy::updateFollowing(Table TableId) {
  if (TableId != Table::Endpoints && !hasOperatorFollowers())
    return true;
  const bool Should = State_.Nodes->shouldFollow();
  if (!Should)
    State_.Nodes->setFollowing(false);
  return Should;
}

} // namespace cassiashed::gateway
