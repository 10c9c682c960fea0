#include "gateway/endpoint_refusal.h"

namespace cassiashed::gateway {

bool isAnswerTo(const std::string &AttemptId, const EndpointHead &Answer) {
  return AttemptId.empty() || Answer.AttemptId == AttemptId;
}

bool provesNotRun(int Status, const EndpointHead &Answer) {
  const bool IsRefusal = (Status >= 400 && Status < 500) || Status == 503;
  return Answer.WrongEndpoint || (IsRefusal && Answer.SaysNotRun);
}

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace cassiashed::gateway
