#include "gateway/endpoint_refusal.h"

#include <doctest/doctest.h>

namespace cassiashed::gateway {
namespace {

EndpointHead headOf(std::string AttemptId, bool SaysNotRun = false) {
  EndpointHead Head;
  Head.AttemptId = std::move(AttemptId);
  Head.SaysNotRun = SaysNotRun;
  return Head;
}

TEST_CASE("only an answer that repeats the request's id belongs to it") {
  CHECK(isAnswerTo("a1", headOf("a1")));
  CHECK_FALSE(isAnswerTo("a1", headOf("a2")));
  CHECK_FALSE(isAnswerTo("a1", headOf("")));
  CHECK_FALSE(isAnswerTo("a1", headOf("a1, a2")));
  CHECK(isAnswerTo("", headOf("")));
}

TEST_CASE("a status that follows a run contradicts the header") {
  for (const int Status : {400, 408, 421, 429, 503})
    CHECK(provesNotRun(Status, headOf("a1", true)));
  for (const int Status : {200, 204, 302, 500, 502, 504})
    CHECK_FALSE(provesNotRun(Status, headOf("a1", true)));
  for (const int Status : {200, 400, 429, 500, 503})
    CHECK_FALSE(provesNotRun(Status, headOf("a1")));
}

} // namespace
} // namespace cassiashed::gateway
