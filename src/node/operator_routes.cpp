#include "node/operator_routes.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/hash.h"
#include <fmt/format.h>
#include <future>
#include <thread>

namespace cassiashed {
namespace {

// A zone order must reach more than half of the witnesses within the 3 s in
// which it has to be in force.
constexpr Duration OrderPatience = std::chrono::seconds(3);
constexpr Duration OrderCheck = std::chrono::milliseconds(50);

constexpr int StatusUnavailable = 503;

OperatorReply makeReply(const Json &Body) {
  return OperatorReply{
      200, Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

/// Handlers run on threads of the operator server and may block.
class OperatorRoutes : public std::enable_shared_from_this<OperatorRoutes> {
public:
  explicit OperatorRoutes(OperatorParts Parts) : Parts_(std::move(Parts)) {}

  OperatorReply showStatus(const OperatorRequest & /*Request*/) {
    auto Pending = std::make_shared<std::promise<Json>>();
    std::future<Json> Result = Pending->get_future();
    http::asio::co_spawn(http::asio::make_strand(Parts_.Context),
                         collectStatus(shared_from_this(), Pending),
                         http::asio::detached);
    if (Result.wait_for(std::chrono::seconds(4)) != std::future_status::ready)
      return makeOperatorError(StatusUnavailable, "timeout",
                               "the node did not collect its status in time");
    return makeReply(Result.get());
  }

  OperatorReply drain(const OperatorRequest & /*Request*/) {
    Parts_.StartDrain();
    return makeReply({{"draining", true}});
  }

  OperatorReply orderZone(const OperatorRequest &Request) {
    std::string Reason;
    const std::optional<Json> Body = parseJsonObject(Request.Body, Reason);
    const std::string Zone = Body ? readString(*Body, "zone") : "";
    const std::string State = Body ? readString(*Body, "state") : "";
    if (State != "in" && State != "out")
      return makeOperatorError(400, "bad-request",
                               "\"state\" must be \"in\" or \"out\"");
    if (!isKnownZone(Zone))
      return makeOperatorError(404, "not-found", "there is no zone " + Zone);
    const std::string Id = addOrder(Zone, State == "out");
    const TimePoint Until = Clock_.now() + OrderPatience;
    while (Clock_.now() < Until) {
      {
        const std::lock_guard Lock(Parts_.State.Mutex);
        if (Parts_.State.Sync->isAcknowledged(Id))
          return makeReply({{"order", Id}, {"zone", Zone}, {"state", State}});
      }
      std::this_thread::sleep_for(OrderCheck);
    }
    return makeOperatorError(
        StatusUnavailable, "not-acknowledged",
        "fewer than half of the witnesses have the order so far");
  }

  OperatorReply removeQuarantine(const OperatorRequest &Request) {
    std::string Reason;
    const std::optional<Json> Body = parseJsonObject(Request.Body, Reason);
    const std::string Content = Body ? readString(*Body, "content") : "";
    if (Content.empty())
      return makeOperatorError(400, "bad-request", "\"content\" is missing");
    Parts_.Crashes.remove(Content);
    logEvent("quarantine_removed").field("content", Content);
    return makeReply({{"removed", Content}});
  }

private:
  static http::Task<void>
  collectStatus(std::shared_ptr<OperatorRoutes> Self,
                std::shared_ptr<std::promise<Json>> Pending) {
    Json Status = co_await Self->Parts_.Status.describeDeployment();
    Pending->set_value(std::move(Status));
  }

  bool isKnownZone(const std::string &Name) const {
    const auto Config = Parts_.Table.current();
    if (!Config)
      return false;
    for (const ZoneConfig &Zone : Config->content().Zones)
      if (Zone.Name == Name)
        return true;
    return false;
  }

  std::string addOrder(const std::string &Zone, bool Out) {
    const auto Ticks = Clock_.now().time_since_epoch().count();
    std::string Id = hashHex(fmt::format("{}/{}/{}", Zone, Out, Ticks));
    const std::lock_guard Lock(Parts_.State.Mutex);
    Parts_.State.Sync->addOrder(Zone, Out, Id, Clock_.now());
    logEvent("zone_order")
        .field("zone", Zone)
        .field("out", Out)
        .field("order", Id);
    return Id;
  }

  SteadyClock Clock_;
  OperatorParts Parts_;
};

using RouteMember = OperatorReply (OperatorRoutes::*)(const OperatorRequest &);

struct RouteEntry {
  const char *Method;
  const char *Path;
  RouteMember Run;
};

constexpr std::array<RouteEntry, 4> Entries = {{
    {"GET", "/status", &OperatorRoutes::showStatus},
    {"POST", "/drain", &OperatorRoutes::drain},
    {"POST", "/zone", &OperatorRoutes::orderZone},
    {"POST", "/quarantine/remove", &OperatorRoutes::removeQuarantine},
}};

} // namespace

std::vector<OperatorRoute> makeOperatorRoutes(OperatorParts Parts) {
  const auto Handlers = std::make_shared<OperatorRoutes>(std::move(Parts));
  std::vector<OperatorRoute> Routes;
  Routes.reserve(Entries.size());
  for (const RouteEntry &Entry : Entries)
    Routes.push_back({Entry.Method, Entry.Path,
                      [Handlers, Run = Entry.Run](const OperatorRequest &Call) {
                        return (Handlers.get()->*Run)(Call);
                      }});
  return Routes;
}

} // namespace cassiashed
