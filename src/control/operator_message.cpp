#include "cassiashed/control/operator_message.h"

#include "cassiashed/text/json.h"

namespace cassiashed {

OperatorReply makeOperatorError(int Status, const std::string &Code,
                                const std::string &Message) {
  const Json Body = {{"error", {{"code", Code}, {"message", Message}}}};
  return {Status, Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

} // namespace cassiashed
