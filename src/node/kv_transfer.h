#pragma once

#include "cassiashed/base/clock.h"
#include "http/asio.h"
#include "http/message.h"
#include <optional>
#include <string>

/// KV cache exports and imports at engines.
namespace cassiashed {

/// A cache that an engine keeps until it is released or expires.
struct KvExport {
  http::Address Engine;
  std::string Handle;
};

/// Keeps the cache of a computed prompt. `Owner` names the request in the
/// engine's load report.
http::Task<std::optional<KvExport>>
exportKv(http::Address Engine, std::string RequestId, Duration TimeToLive);

/// Makes the next prompt of the request at `Engine` continue from `Source`.
http::Task<bool> importKv(http::Address Engine, KvExport Source,
                          std::string RequestId);

http::Task<void> releaseKv(KvExport Source);

} // namespace cassiashed
