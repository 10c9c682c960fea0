#pragma once

#include <optional>
#include <string>

namespace cassiashed {

/// The platform's object store. Objects are never changed after their first
/// write, so a write may be repeated.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Returns false if it is not known that the object was stored.
  virtual bool put(const std::string &Name, const std::string &Bytes,
                   std::string &Reason) = 0;
  virtual std::optional<std::string> get(const std::string &Name,
                                         std::string &Reason) = 0;
};

} // namespace cassiashed
