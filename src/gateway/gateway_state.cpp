#include "gateway/gateway_state.h"

#include "gateway/shared_placement.h"

#include <algorithm>
#include <limits>

namespace cassiashed::gateway {
namespace {

/// A broken connection and the end of its endpoint belong together within the
/// time in which a silent endpoint loses its registration.
constexpr Duration CrashWindow{6000};
/// Nodes that join before this one hears of them are covered by this factor.
constexpr double JoiningNodes = 1.25;
/// Predictions of first tokens that never come are cut to this before they
/// become a duration.
constexpr double LongestExpectationMs = 1e6;
/// Part of the bound on revoked keys that is left for a request on its way to
/// an endpoint.
constexpr double RevokeMargin = 0.05;

balancing::ColdStartLimiterOptions coldOptions(const GatewayBounds &Bounds) {
  return {Bounds.ColdOverage, Bounds.ColdSlack};
}

balancing::RetryShareOptions retryOptions(const GatewayBounds &Bounds) {
  return {Bounds.RetryWindow, Bounds.RetryRatio, Bounds.RetrySlack};
}

balancing::DispatcherOptions dispatcherOptions(const GatewaySettings &From) {
  balancing::DispatcherOptions Result;
  Result.Zone = From.Gateway.Zone;
  Result.RegionOfZone = From.Cluster.RegionOfZone;
  return Result;
}

} // namespace

GatewayState::GatewayState(asio::io_context &Context,
                           const GatewaySettings &Settings,
                           const PlatformProtocol &Protocol)
    : Context(Context), Settings(Settings), Protocol(Protocol),
      Random(std::random_device{}()), Cold(coldOptions(Settings.Bounds)),
      Retries(retryOptions(Settings.Bounds)),
      Dispatcher(Directory, Load, Health, Cold, dispatcherOptions(Settings)),
      Pool(Context), Placement(std::make_unique<SharedPlacement>(*this)),
      Metrics(makeGatewayMetrics()), NextWorkId(Random()) {}

GatewayState::~GatewayState() = default;

void GatewayState::expectFirstToken(const catalog::KnownEndpoint &Which,
                                    const balancing::PlacementRequest &Work,
                                    double FirstTokenMs) {
  const auto ToDuration = [](double Ms) {
    return Duration(
        static_cast<Duration::rep>(std::clamp(Ms, 0.0, LongestExpectationMs)));
  };
  Health.recordSent(Which.Number, Work.Id, ToDuration(FirstTokenMs),
                    ToDuration(Work.DeadlineMs), now());
}

void GatewayState::finishWork(std::uint64_t Id) {
  const TimePoint Now = now();
  const std::string *Writer = Load.decodeEndpointOf(Id);
  const catalog::EndpointRef Known = Writer ? Directory.find(*Writer) : nullptr;
  if (Known)
    Health.recordEnd(Known->Number, Id, Now);
  Load.finish(Id, Now);
}

void GatewayState::recordOutcome(const catalog::KnownEndpoint &Which,
                                 balancing::EndpointOutcome Outcome) {
  using balancing::EndpointOutcome;
  Health.recordOutcome(Which.Number, Outcome, now());
  // Silence may be due to this node's own links, so it counts as a report.
  if (Outcome == EndpointOutcome::Unresponsive ||
      Outcome == EndpointOutcome::Unreachable)
    Nodes->announceUnresponsive(Which.Entry.Id);
  else
    Nodes->announceOutcome(Which.Entry.Id, Outcome);
}

int GatewayState::sharingNodes() const {
  const int Possible = Nodes ? Nodes->possibleNodes() : 1;
  return static_cast<int>(Possible * JoiningNodes) + 1;
}

int GatewayState::connectionShare(const catalog::KnownEndpoint &Which) const {
  const catalog::Service *Target =
      Config ? Config->findService(Which.Entry.Service) : nullptr;
  if (!Target || Target->ConnectionLimit <= 0)
    return std::numeric_limits<int>::max();
  return std::max(1, Target->ConnectionLimit / sharingNodes());
}

bool GatewayState::knowsKeys() const {
  if (!Settings.Bounds.RevokeFailClosed)
    return true;
  const auto Bound = std::chrono::duration_cast<Duration>(
      Settings.Bounds.Revoke * (1 - RevokeMargin));
  return OperatorFreshness.isWithin(Bound, BootClock::now());
}

void GatewayState::applyBounds() {
  Cold.setOptions(coldOptions(Settings.Bounds));
  Retries.setOptions(retryOptions(Settings.Bounds));
}

void GatewayState::confirmCrashes(const catalog::KnownEndpoint &Ended) {
  const TimePoint Now = now();
  std::erase_if(InterruptedRuns, [&](const InterruptedRun &Run) {
    if (Now - Run.At > CrashWindow)
      return true;
    if (Run.Endpoint->Number != Ended.Number)
      return false;
    if (Crashes.recordCrash(Run.Content, Ended.Entry.Id, Now)) {
      Log.write("content_crashed_endpoint", Now, [&](LogLine &Line) {
        Line.field("content", Run.Content)
            .field("endpoint", Ended.Entry.Id)
            .field("crashes", Crashes.crashedEndpointCount(Run.Content));
      });
      if (Nodes)
        Nodes->announceCrash({Run.Content, Ended.Entry.Id});
    }
    return true;
  });
}

} // namespace cassiashed::gateway
