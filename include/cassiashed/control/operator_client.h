#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/control/operator_message.h"
#include <string>

namespace cassiashed {

struct OperatorClientOptions {
  std::string Host = "127.0.0.1";
  unsigned short Port = 0;
  std::string Key; ///< the cluster key
  Duration Timeout = std::chrono::seconds(5);
};

enum class OperatorDelivery {
  Answered,
  NotSent, ///< no connection: the request had no effect
  Unknown, ///< the reply was lost: the request may have had its effect
};

struct OperatorResult {
  OperatorDelivery Delivery = OperatorDelivery::Unknown;
  OperatorReply Reply; ///< if answered
  std::string Reason;  ///< if not answered
};

/// Sends one request to the operator port of a node.
OperatorResult callOperator(const OperatorClientOptions &Options,
                            const OperatorRequest &Request);

} // namespace cassiashed
