#include "gateway/duty_rows.h"
#include "gateway/node_messages.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::gateway;

namespace {

StoreRows tableWith(const std::string &Key, const std::string &Value) {
  StoreRows Result;
  Result.Era = 3;
  Result.Rows.push_back({Key, Value, 17, false});
  return Result;
}

} // namespace

// Guards against a later holder that reads another record than was written.
TEST_CASE("rows of the duties are read as they were written") {
  std::string Reason;
  const auto Lease = readLease(
      tableWith(LeaseKey, encodeLease({"n1", "10.0.0.1", ~0ULL, 5, 3})),
      Reason);
  REQUIRE(Lease.Row);
  CHECK(Lease.Row->Holder == "n1");
  CHECK(Lease.Row->Incarnation == ~0ULL);
  CHECK(Lease.Row->Fence == 5);
  CHECK(Lease.Row->Era == 3);
  CHECK(Lease.Version == 17);
  CHECK(Lease.Era == 3);
  const auto Usage = readUsage(
      tableWith(UsageKey, encodeUsage({3, {{7, {{"a", 1}, {"b", 2}}}}})),
      Reason);
  REQUIRE(Usage);
  CHECK(Usage->Era == 3);
  REQUIRE(Usage->Reports.size() == 1);
  CHECK(Usage->Reports[0].Counts == duties::UsageCounts{{"a", 1}, {"b", 2}});
  CHECK(Reason.empty());
}

// Guards against a takeover without a wait when the row cannot be read, and
// against an exception that ends the process.
TEST_CASE("rows of the duties that cannot be decoded are no lease or record") {
  for (const char *Text : {"", "x", "[]", "5", "{}", R"({"holder":5})"}) {
    INFO(Text);
    std::string Reason;
    const auto Lease = readLease(tableWith(LeaseKey, Text), Reason);
    CHECK(Lease.Row);
    CHECK(Lease.Version == 17);
    CHECK_FALSE(Reason.empty());
  }
  for (const char *Text :
       {"", "x", "[]", "{}", R"({"era":0,"reports":[{"window":"x"}]})",
        R"({"era":0,"reports":[{"window":1,"counts":{"a":"b"}}]})"}) {
    INFO(Text);
    std::string Reason;
    CHECK_FALSE(readUsage(tableWith(UsageKey, Text), Reason));
    CHECK_FALSE(Reason.empty());
  }
  std::string Reason;
  CHECK_FALSE(readLease(StoreRows(), Reason).Row);
  CHECK_FALSE(readUsage(StoreRows(), Reason));
  CHECK(Reason.empty());
}

// Guards against counts that are lost between nodes, and against a message that
// grows where there are no duties.
TEST_CASE("heartbeats carry what the duties need") {
  NodeMessage Message;
  const std::size_t Without = packMessage(Message).size();
  Message.Duties.push_back({5, {{7, {{"a", 1}}}}, 8, 9, 10});
  std::string Reason;
  const auto Read = unpackMessage(packMessage(Message), Reason);
  REQUIRE_MESSAGE(Read, Reason);
  REQUIRE(Read->Duties.size() == 1);
  CHECK(Read->Duties[0].Usage[0].Counts.at("a") == 1);
  CHECK(Read->Duties[0].Fence == 8);
  CHECK(Without < 64);
}
