#pragma once

#include "cassiashed/config/deployment.h"
#include "cassiashed/control/operator_client.h"
#include "cassiashed/store/config_store.h"
#include <optional>
#include <ostream>
#include <string>

namespace cassiashed::admin {

struct ZoneOrder {
  std::string Zone;
  ZoneState State = ZoneState::Out;
  std::string Author;
  PublishOptions Publish;
};

/// Takes a zone out of service or brings it back: reads the configuration in
/// force, changes the zone and publishes the result, again if another version
/// came first. If the platform fails and `Node` is given, sends the order to
/// that node (`POST /zone {"zone","state","author"}`), which acknowledges it
/// with a 2xx status when more than half of the witnesses have it. Returns an
/// `ExitCode`.
int setZoneState(const ZoneOrder &Order, TableService &Table,
                 ObjectStore &Objects,
                 const std::optional<OperatorClientOptions> &Node,
                 std::ostream &Out, std::ostream &Errors);

} // namespace cassiashed::admin
