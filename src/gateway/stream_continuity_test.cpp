#include "gateway/stream_continuity.h"

#include <doctest/doctest.h>

using namespace cassiashed::gateway;

namespace {

std::string events(std::initializer_list<int> Ids) {
  std::string Result;
  for (const int Id : Ids)
    Result += "id: " + std::to_string(Id) + "\ndata: x\n\n";
  return Result;
}

/// What passes of `Second` after `First` was broken off.
std::string resume(const std::string &First, const std::string &Second) {
  StreamContinuity Continuity;
  Continuity.beginAnswer("", false);
  CHECK(Continuity.accept(First) == First);
  Continuity.beginAnswer("", true);
  CHECK_FALSE(Continuity.mayEnd());
  std::string Result = Continuity.accept(Second);
  CHECK(Continuity.isRefused() == (Result != Second));
  CHECK(Continuity.mayEnd() == (Result == Second));
  return Result;
}

} // namespace

// Guards against pieces that come twice, are left out, or are of another run.
TEST_CASE("a later answer passes only while its ids continue the stream") {
  const std::string First = events({1, 2});
  CHECK(resume(First, events({3, 4})) == events({3, 4}));
  CHECK(resume(First, events({1, 2, 3})).empty());
  CHECK(resume(First, events({2, 3})).empty());
  CHECK(resume(First, events({4})).empty());
  CHECK(resume(First, events({3, 3})) == events({3}));
  CHECK(resume(First, events({3, 5})) == events({3}));
  CHECK(resume(First, "data: no id\n\n").empty());
  CHECK(resume(First, "id: x\ndata: no number\n\n").empty());
  CHECK(resume(First, "internal error\n\n").empty());
  CHECK(resume(First, "id:3\r\n\r\n") == "id:3\r\n\r\n");
  CHECK(resume(First, "weight-versions: 2\nid: 3\ndata: x\n\n: ping\n\n") ==
        "weight-versions: 2\nid: 3\ndata: x\n\n: ping\n\n");
  CHECK(resume(events({10, 20}), events({25})) == events({25}));
  CHECK(resume(events({10, 20}), events({20})).empty());
}

TEST_CASE("comments alone do not continue a stream") {
  StreamContinuity Continuity;
  Continuity.beginAnswer("", true);
  CHECK(Continuity.accept(": ping\n\n").empty());
  CHECK_FALSE(Continuity.isRefused());
  CHECK_FALSE(Continuity.mayEnd());
}

// Guards against a whole run behind the begin of another one.
TEST_CASE("events without increasing numbers cannot be continued") {
  for (const std::string &Text :
       {std::string("data: a\n\n"), std::string("id: x\ndata: a\n\n"),
        events({1}) + "data: a\n\n", events({1, 1}), events({2, 1})}) {
    StreamContinuity Continuity;
    Continuity.beginAnswer("", false);
    CHECK(Continuity.canContinue());
    CHECK(Continuity.accept(Text) == Text);
    CHECK(Continuity.mayEnd());
    CHECK_FALSE(Continuity.canContinue());
  }
}

TEST_CASE("a first answer does not repeat events that the caller has") {
  StreamContinuity Continuity;
  Continuity.beginAnswer("12", false);
  CHECK(Continuity.accept(events({12, 13})).empty());
  CHECK(Continuity.isRefused());
  Continuity.beginAnswer("12", false);
  CHECK(Continuity.mayEnd());
  CHECK(Continuity.accept(events({13})) == events({13}));
  CHECK(Continuity.lastId() == "13");
}
