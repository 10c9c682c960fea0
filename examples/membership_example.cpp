#include "cassiashed/membership/config_sync.h"

#include <fmt/format.h>

/// Freshness of one node without seed nodes: current while its last read of
/// the configuration row is at most 2.5 s old and nothing newer is known.
int main() {
  using namespace cassiashed;
  using namespace std::chrono_literals;

  TimePoint Now = std::chrono::steady_clock::now();
  ConfigSyncOptions Options;
  Options.Node = "a1";
  const auto Sync = makeConfigSync(Options);
  const auto Show = [&](const char *When) {
    fmt::print("{}: version {}, current: {}\n", When, Sync->inForce(),
               Sync->isCurrent(Now));
  };
  Show("at the start");
  Sync->onRowRead(Now, 1, Now);
  Show("version 1 is known");
  Sync->onInForce(1, Now);
  Show("version 1 is in force");
  Sync->onRowRead(Now += 1s, 2, Now);
  Now += 2s;
  Show("version 2 is missing for 2 s");
  Sync->onInForce(2, Now);
  Sync->onRowRead(Now, 2, Now);
  Show("version 2 is in force");
}
