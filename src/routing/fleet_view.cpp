#include "cassiashed/routing/fleet_view.h"

#include "cassiashed/base/hash.h"

#include <algorithm>

namespace cassiashed::routing {
namespace {

const std::vector<std::uint32_t> NoPositions;

/// Weight of one hint in the moving average of a model's waits.
constexpr double WaitSmoothing = 0.1;

} // namespace

std::size_t backlogClassOf(std::uint64_t PromptTokens) {
  if (PromptTokens <= 4'000)
    return 0;
  if (PromptTokens <= 16'000)
    return 1;
  return PromptTokens <= 100'000 ? 2 : 3;
}

std::size_t FleetView::StringHash::operator()(std::string_view Text) const {
  return hashBytes(Text);
}

void FleetView::configure(std::vector<EndpointConfig> Endpoints) {
  std::vector<EndpointView> Views;
  PositionMap Names;
  ModelMap Models;
  Views.reserve(Endpoints.size());
  for (EndpointConfig &Config : Endpoints) {
    const auto Position = static_cast<std::uint32_t>(Views.size());
    if (!Names.emplace(Config.Name, Position).second)
      continue;
    EndpointView View;
    if (EndpointView *Known = findMutable(Config.Name))
      View = std::move(*Known);
    View.NameHash = hashBytes(Config.Name);
    View.Config = std::move(Config);
    View.ZoneInService =
        std::find(ZonesOutOfService_.begin(), ZonesOutOfService_.end(),
                  View.Config.Zone) == ZonesOutOfService_.end();
    for (const std::string &Name : View.Config.Models) {
      ModelIndex &Model = Models[Name];
      Model.Endpoints.push_back(Position);
      if (View.Hint)
        addRecentlyHinted(Model, Position);
    }
    Views.push_back(std::move(View));
  }
  for (auto &[Name, Model] : Models)
    if (const auto Previous = ByModel_.find(Name); Previous != ByModel_.end())
      Model.WaitUs = Previous->second.WaitUs;
  Endpoints_ = std::move(Views);
  ByName_ = std::move(Names);
  ByModel_ = std::move(Models);
}

void FleetView::setZoneInService(const std::string &Zone, bool InService) {
  std::erase(ZonesOutOfService_, Zone);
  if (!InService)
    ZonesOutOfService_.push_back(Zone);
  for (EndpointView &View : Endpoints_)
    if (View.Config.Zone == Zone)
      View.ZoneInService = InService;
}

void FleetView::setLeaving(const std::string &Endpoint, bool Leaving) {
  if (EndpointView *View = findMutable(Endpoint))
    View->Leaving = Leaving;
}

void FleetView::recordHint(const std::string &Endpoint,
                           std::uint64_t Incarnation, const LoadHint &Hint) {
  EndpointView *View = findMutable(Endpoint);
  if (!View)
    return;
  if (Incarnation != 0 && Incarnation < View->Incarnation)
    return;
  if (Incarnation > View->Incarnation) {
    View->Incarnation = Incarnation;
    View->Hint.reset();
  }
  if (View->Hint && View->Hint->MeasuredAt >= Hint.MeasuredAt)
    return;
  View->Hint = Hint;
  View->PromptTokensSinceHint = {};
  View->ReservedTokensSinceHint = 0;
  const auto Position = static_cast<std::uint32_t>(View - Endpoints_.data());
  for (const std::string &Name : View->Config.Models) {
    ModelIndex &Model = ByModel_[Name];
    addRecentlyHinted(Model, Position);
    for (std::size_t Class = 0; Class < Model.WaitUs.size(); ++Class)
      Model.WaitUs[Class] +=
          WaitSmoothing *
          (static_cast<double>(Hint.predictedWaitOf(Class).count()) -
           Model.WaitUs[Class]);
  }
}

void FleetView::recordSent(const std::string &Endpoint,
                           std::uint64_t PromptTokens,
                           std::uint64_t ReservedTokens) {
  if (EndpointView *View = findMutable(Endpoint)) {
    ++View->OutstandingRequests;
    View->OutstandingTokens += ReservedTokens;
    View->PromptTokensSinceHint[backlogClassOf(PromptTokens)] += PromptTokens;
    View->ReservedTokensSinceHint += ReservedTokens;
  }
}

void FleetView::revertSent(const std::string &Endpoint,
                           std::uint64_t PromptTokens,
                           std::uint64_t ReservedTokens) {
  recordFinished(Endpoint, ReservedTokens);
  EndpointView *View = findMutable(Endpoint);
  if (!View)
    return;
  std::uint64_t &Backlog =
      View->PromptTokensSinceHint[backlogClassOf(PromptTokens)];
  Backlog -= std::min(Backlog, PromptTokens);
  View->ReservedTokensSinceHint -=
      std::min(View->ReservedTokensSinceHint, ReservedTokens);
}

void FleetView::recordFinished(const std::string &Endpoint,
                               std::uint64_t ReservedTokens) {
  if (EndpointView *View = findMutable(Endpoint)) {
    // The counts restart at zero when an endpoint is removed and configured
    // again, so they may be lower than what is subtracted.
    View->OutstandingRequests -= std::min(View->OutstandingRequests, 1U);
    View->OutstandingTokens -=
        std::min(View->OutstandingTokens, ReservedTokens);
  }
}

const EndpointView *FleetView::find(std::string_view Endpoint) const {
  const auto Found = ByName_.find(Endpoint);
  return Found == ByName_.end() ? nullptr : &Endpoints_[Found->second];
}

EndpointView *FleetView::findMutable(std::string_view Endpoint) {
  const auto Found = ByName_.find(Endpoint);
  return Found == ByName_.end() ? nullptr : &Endpoints_[Found->second];
}

void FleetView::addRecentlyHinted(ModelIndex &Model, std::uint32_t Position) {
  if (std::find(Model.RecentlyHinted.begin(), Model.RecentlyHinted.end(),
                Position) != Model.RecentlyHinted.end())
    return;
  if (Model.RecentlyHinted.size() < MaxRecentlyHinted) {
    Model.RecentlyHinted.push_back(Position);
    return;
  }
  Model.RecentlyHinted[Model.NextSlot] = Position;
  Model.NextSlot = (Model.NextSlot + 1) % MaxRecentlyHinted;
}

const std::vector<std::uint32_t> &
FleetView::endpointsOfModel(std::string_view Model) const {
  const auto Found = ByModel_.find(Model);
  return Found == ByModel_.end() ? NoPositions : Found->second.Endpoints;
}

const std::vector<std::uint32_t> &
FleetView::recentlyHinted(std::string_view Model) const {
  const auto Found = ByModel_.find(Model);
  return Found == ByModel_.end() ? NoPositions : Found->second.RecentlyHinted;
}

std::chrono::microseconds FleetView::typicalWait(std::string_view Model,
                                                 std::size_t Class) const {
  const auto Found = ByModel_.find(Model);
  return std::chrono::microseconds(
      Found == ByModel_.end()
          ? 0
          : static_cast<std::int64_t>(Found->second.WaitUs[Class]));
}

} // namespace cassiashed::routing
