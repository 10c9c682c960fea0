#include "gateway/stated_load_queue.h"

#include <doctest/doctest.h>
#include <set>

using namespace cassiashed;
using namespace cassiashed::gateway;

// Guards against endpoints late in the order whose loads are never sent while
// others answer all the time.
TEST_CASE("loads of all endpoints are sent in turn, with their ages") {
  const TimePoint Now{std::chrono::hours(1)};
  StatedLoadQueue Queue;
  std::set<std::string> Taken;
  for (int Round = 0; Round < 3; ++Round) {
    for (const char *Id : {"a", "b", "c", "d", "e"})
      Queue.put(Id, {Round, 0, 4}, Now);
    for (const StatedLoadReport &Each : Queue.take(2, Now + Duration(7))) {
      Taken.insert(Each.EndpointId);
      CHECK(Each.Running == Round);
      CHECK(Each.AgeMs == 7);
    }
  }
  CHECK(Taken.size() == 5);
  CHECK(Queue.take(9, Now).size() == 3);
  CHECK(Queue.take(9, Now).empty());
}
