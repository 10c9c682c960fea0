#include "gateway/gateway_state.h"

#include "gateway/duty_runner.h"
#include "gateway/shared_placement.h"

#include <algorithm>
#include <limits>

namespace cassiashed::gateway {
namespace {

/// A broken connection counts as a crash of its endpoint if the endpoint is
/// removed, restarted or unreachable within this time. The registration of an
/// unresponsive endpoint expires earlier.
constexpr Duration CrashWindow{6000};
/// Margin for nodes that have joined but are not known here yet.
constexpr double JoiningNodesFactor = 1.25;
/// Limit for predictions of first tokens, which can be infinite, before they
/// are converted to a duration.
constexpr double MaxExpectationMs = 1e6;
/// Fraction of the bound on revoked keys that is reserved for the time in which
/// a request reaches its endpoint.
constexpr double RevokeMargin = 0.05;

balancing::ColdStartLimiterOptions coldOptions(const GatewayBounds &Bounds) {
  return {Bounds.ColdOverage, Bounds.ColdSlack};
}

balancing::RetryShareOptions retryOptions(const GatewayBounds &Bounds) {
  return {Bounds.RetryWindow, Bounds.RetryRatio, Bounds.RetrySlack};
}

balancing::DispatcherOptions
dispatcherOptions(const GatewaySettings &Settings) {
  balancing::DispatcherOptions Result;
  Result.Zone = Settings.Gateway.Zone;
  Result.RegionOfZone = Settings.Cluster.RegionOfZone;
  return Result;
}

std::size_t bytesOf(const GatewayLimits &Limits) {
  return static_cast<std::size_t>(Limits.MemoryMb) << 20U;
}

} // namespace

GatewayState::GatewayState(asio::io_context &Context,
                           const GatewaySettings &Settings,
                           const PlatformProtocol &Protocol)
    : Context(Context), Settings(Settings), Protocol(Protocol),
      Random(std::random_device{}()),
      Memory(http::memoryLimitsFor(bytesOf(Settings.Limits))),
      Cold(coldOptions(Settings.Bounds)),
      Retries(retryOptions(Settings.Bounds)),
      Dispatcher(Directory, Load, Health, Cold, dispatcherOptions(Settings)),
      Pool(Context), Placement(std::make_unique<SharedPlacement>(*this)),
      Metrics(makeGatewayMetrics()), NextWorkId(Random()) {
  Dispatcher.setLoadEstimate(&Stated);
}

GatewayState::~GatewayState() = default;

void GatewayState::expectFirstToken(const catalog::KnownEndpoint &Endpoint,
                                    const balancing::PlacementRequest &Request,
                                    double FirstTokenMs) {
  const auto ToDuration = [](double Ms) {
    return Duration(
        static_cast<Duration::rep>(std::clamp(Ms, 0.0, MaxExpectationMs)));
  };
  Health.recordSent(Endpoint.Number, Request.Id, ToDuration(FirstTokenMs),
                    ToDuration(Request.DeadlineMs), now());
}

void GatewayState::finishWork(std::uint64_t Id) {
  const TimePoint Now = now();
  const std::string *DecodeEndpointId = Load.decodeEndpointOf(Id);
  const catalog::EndpointRef Known =
      DecodeEndpointId ? Directory.find(*DecodeEndpointId) : nullptr;
  if (Known)
    Health.recordEnd(Known->Number, Id, Now);
  Load.finish(Id, Now);
}

void GatewayState::recordOutcome(const catalog::KnownEndpoint &Endpoint,
                                 balancing::EndpointOutcome Outcome) {
  using balancing::EndpointOutcome;
  Health.recordOutcome(Endpoint.Number, Outcome, now());
  // The cause may be this node's own links, so other nodes record these
  // outcomes as ReportedUnresponsive, which counts less.
  if (Outcome == EndpointOutcome::Unresponsive ||
      Outcome == EndpointOutcome::Unreachable)
    Nodes->announceUnresponsive(Endpoint.Entry.Id);
  else
    Nodes->announceOutcome(Endpoint.Entry.Id, Outcome);
}

void GatewayState::recordStatedLoad(const catalog::KnownEndpoint &Endpoint,
                                    const balancing::StatedLoad &Answered) {
  const std::string &Id = Endpoint.Entry.Id;
  Stated.recordStated(Endpoint.Number, Answered, Load.outstanding(Id), now());
  Nodes->announceStatedLoad(Id, Answered);
}

int GatewayState::sharingNodes() const {
  const int Possible = Nodes ? Nodes->possibleNodes() : 1;
  return static_cast<int>(Possible * JoiningNodesFactor) + 1;
}

int GatewayState::connectionShare(
    const catalog::KnownEndpoint &Endpoint) const {
  const catalog::Service *Target =
      Config ? Config->findService(Endpoint.Entry.Service) : nullptr;
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

void GatewayState::applyLimits() {
  Memory.setLimits(http::memoryLimitsFor(bytesOf(Settings.Limits)));
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
