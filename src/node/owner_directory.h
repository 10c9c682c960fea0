#pragma once

#include <optional>
#include <string>

namespace cassiashed {

/// The node that owns an endpoint.
struct OwnerAddress {
  std::string Node;
  std::string Peer; ///< "IP:port" for messages between nodes
};

/// Finds the owner of an endpoint. Safe for use by several threads.
class OwnerDirectory {
public:
  virtual ~OwnerDirectory() = default;
  virtual std::optional<OwnerAddress>
  findOwner(const std::string &Endpoint) const = 0;
  /// A node by name; nothing if its address is not known.
  virtual std::optional<OwnerAddress>
  findNode(const std::string &Node) const = 0;
  /// The node found for an endpoint turned out not to own it.
  virtual void reportWrongOwner(const std::string &Endpoint) = 0;
};

} // namespace cassiashed
