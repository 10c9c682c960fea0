#pragma once

#include "cassiashed/store/platform_client.h"
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cxxtools::http {
class Client;
} // namespace cxxtools::http

namespace cassiashed {

struct HttpCall {
  std::string Method;
  std::string Path; ///< already percent-encoded
  std::string Body;
  /// Whether a second execution is harmless. cxxtools sends a request again by
  /// itself when a reused connection closes before the reply, so a call that
  /// must not run twice gets a new connection.
  bool Repeatable = true;
};

struct HttpResult {
  unsigned Status = 0;
  std::string Body;
};

/// Blocking HTTP calls over a pool of kept connections; safe to use from
/// several threads.
class HttpPool {
public:
  explicit HttpPool(PlatformClientOptions Options);
  ~HttpPool();

  /// No result means that it is not known whether the server processed the
  /// call; `Reason` then names the failure.
  std::optional<HttpResult> call(const HttpCall &Call, std::string &Reason);

private:
  std::unique_ptr<cxxtools::http::Client> take();
  void giveBack(std::unique_ptr<cxxtools::http::Client> Connection);

  PlatformClientOptions Options_;
  std::mutex Lock_;
  std::vector<std::unique_ptr<cxxtools::http::Client>> Idle_;
};

/// Percent-encodes a path, except for '/'.
std::string encodePath(const std::string &Path);

} // namespace cassiashed
