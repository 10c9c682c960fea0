#pragma once

#include "cassiashed/config/gateway_settings.h"
#include <memory>
#include <string>

/// The gateway process: accepts requests of callers and forwards them to
/// endpoints.
namespace cassiashed::gateway {

class PlatformProtocol;
class StoreClient;
class DutyApi;

/// The parts that depend on the platform whose store, endpoints and callers
/// the gateway talks to.
struct GatewayAdapter {
  std::unique_ptr<PlatformProtocol> Protocol;
  std::unique_ptr<StoreClient> Store;
  std::unique_ptr<DutyApi> Duties; ///< null: the platform has no such API
};

/// Runs until SIGTERM, then drains the requests in progress. Returns the exit
/// code. `SettingsPath` is read again after SIGHUP or when the file changes.
int runGateway(const GatewaySettings &Settings, const std::string &SettingsPath,
               GatewayAdapter Adapter);

} // namespace cassiashed::gateway
