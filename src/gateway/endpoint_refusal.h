#pragma once

#include "gateway/platform_protocol.h"

/// What an endpoint's answer proves about the request that it answers.
namespace cassiashed::gateway {

/// Whether the answer belongs to the request with this id. Endpoints repeat the
/// id of a request in its answer, so an answer without one may belong to any
/// request. A request without an id takes any answer of its own connection.
bool isAnswerTo(const std::string &AttemptId, const EndpointHead &Answer);

/// Whether the answer proves that the endpoint did not run the request. A
/// status that endpoints send after a run contradicts the header.
bool provesNotRun(int Status, const EndpointHead &Answer);

/// Whether callers take the status for a promise that the request did not run
/// and never will.
bool promisesNotRun(int Status);

} // namespace cassiashed::gateway
