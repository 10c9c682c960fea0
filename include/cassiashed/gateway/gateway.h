#pragma once

#include "cassiashed/config/gateway_settings.h"
#include <memory>
#include <string>

/// The serving process of a deployment whose store, endpoints and callers
/// speak the protocol of an adapter.
namespace cassiashed::gateway {

class PlatformProtocol;
class StoreClient;

struct GatewayAdapter {
  std::unique_ptr<PlatformProtocol> Protocol;
  std::unique_ptr<StoreClient> Store;
};

/// Runs until SIGTERM and the end of the requests in progress. Returns the
/// exit code. `SettingsPath` is read again after SIGHUP.
int runGateway(const GatewaySettings &Settings, const std::string &SettingsPath,
               GatewayAdapter Adapter);

} // namespace cassiashed::gateway
