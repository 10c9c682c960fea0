#include "gateway/descriptor_limit.h"

#include <doctest/doctest.h>

using namespace cassiashed::gateway;

// Guards against callers that take the descriptors with which they are served.
TEST_CASE("callers leave descriptors for the connections that serve them") {
  CHECK(excessConnections({192, 0, 0}, 256) == 0);
  CHECK(excessConnections({193, 0, 0}, 256) == 1);
  CHECK(excessConnections({0, 96, 10}, 256) == 0);
  CHECK(excessConnections({0, 97, 10}, 256) == 2);
  CHECK(excessConnections({0, 50, 143}, 256) == 1);
}

// Guards against a crowd of callers that costs every other request a new
// connection to its endpoint, though none is saved by that.
TEST_CASE("only connections beyond those of active callers are closed") {
  CHECK(spareEndpointConnections({100, 50, 20}, 256) == 0);
  CHECK(spareEndpointConnections({100, 45, 50}, 256) == 3);
  CHECK(spareEndpointConnections({100, 45, 47}, 256) == 0);
  CHECK(spareEndpointConnections({150, 40, 43}, 256) == 3);
}
