#pragma once

#include <string>

namespace cassiashed {

/// One request at the operator port.
struct OperatorRequest {
  std::string Method;
  std::string Path;
  std::string Query; ///< without '?'
  std::string Body;  ///< JSON
};

struct OperatorReply {
  int Status = 200;
  std::string Body; ///< JSON
};

/// Reply with `{"error":{"code","message"}}`.
OperatorReply makeOperatorError(int Status, const std::string &Code,
                                const std::string &Message);

} // namespace cassiashed
