#include "cassiashed/catalog/row_mirror.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace cassiashed::catalog;

namespace {

bool holds(const RowMirror &Mirror, const std::string &Key) {
  const std::vector<Row> Rows = Mirror.changesAfter(0);
  return std::any_of(Rows.begin(), Rows.end(), [&](const Row &Each) {
    return Each.Key == Key && !Each.Removed;
  });
}

} // namespace

// Guards against endpoints that stay in use after their rows were removed.
TEST_CASE("a removal passes through a node that read the table after it" *
          doctest::should_fail()) {
  RowMirror Late; // read the whole table after "left" was removed at 12
  (void)Late.replaceAll({{"kept", "1", 3, false}, {"new", "1", 15, false}}, 20);
  RowMirror Behind;
  (void)Behind.merge({{"kept", "1", 3, false}, {"left", "1", 5, false}}, 10);
  const std::uint64_t After = Behind.completeRow();
  (void)Behind.mergePassedOn(Late.changesAfter(After), After,
                             Late.completeRow());
  CHECK_FALSE(holds(Behind, "left"));
}

// Guards against endpoints that come back through a datagram of before.
TEST_CASE("a late message does not bring a removed row back" *
          doctest::should_fail()) {
  RowMirror Mirror; // read the whole table after "left" was removed at 12
  (void)Mirror.replaceAll({{"kept", "1", 15, false}}, 20);
  (void)Mirror.mergePassedOn({{"left", "1", 5, false}}, 3, 5);
  CHECK_FALSE(holds(Mirror, "left"));
}
