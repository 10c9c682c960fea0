#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/store/host_list.h"
#include "cassiashed/store/object_store.h"
#include "cassiashed/store/table_service.h"
#include <memory>

namespace cassiashed {

struct PlatformClientOptions {
  std::string Host = "127.0.0.1";
  unsigned short Port = 0;
  Duration Timeout = std::chrono::seconds(3); ///< per call
};

/// The three services of the platform over HTTP.
class PlatformClient : public TableService,
                       public ObjectStore,
                       public HostList {};

/// Makes a client that opens one connection per concurrent call.
std::unique_ptr<PlatformClient>
makePlatformClient(PlatformClientOptions Options);

} // namespace cassiashed
