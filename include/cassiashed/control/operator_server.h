#pragma once

#include "cassiashed/control/operator_message.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP server of a node for operators. Every request needs the header
/// `Authorization: Bearer <key>`; others are answered with status 401.
namespace cassiashed {

struct OperatorServerOptions {
  std::string Host = "127.0.0.1"; ///< IP number
  unsigned short Port = 0;
  std::string Key; ///< the cluster key
};

/// Called on a thread of the server, several at a time. An exception is
/// answered with status 500.
using OperatorHandler = std::function<OperatorReply(const OperatorRequest &)>;

struct OperatorRoute {
  std::string Method; ///< GET or POST
  std::string Path;   ///< exact, such as "/status"
  OperatorHandler Handle;
};

/// Listens from its creation to its destruction.
class OperatorServer {
public:
  virtual ~OperatorServer() = default;
};

/// Starts the server in a thread of its own. Returns nothing if the address
/// cannot be bound; `Reason` then names the cause.
///
/// ```cpp
/// auto Server = startOperatorServer(
///     {"127.0.0.1", 8082, Key},
///     {{"GET", "/status", [&](const OperatorRequest &) {
///         return OperatorReply{200, describeNode()};
///       }}}, Reason);
/// ```
std::unique_ptr<OperatorServer>
startOperatorServer(OperatorServerOptions Options,
                    std::vector<OperatorRoute> Routes, std::string &Reason);

} // namespace cassiashed
