#include "cassiashed/store/config_store.h"

#include "store/fake_platform_test.h"
#include <doctest/doctest.h>
#include <thread>

using namespace cassiashed;

namespace {

PublishRequest makeRequest(std::uint64_t Replaces, const std::string &Id) {
  return {"text of " + Id, Replaces, Id, "author of " + Id, "note", "time"};
}

PublishResult publish(FakePlatform &Platform, std::uint64_t Replaces,
                      const std::string &Id) {
  return publishConfig(Platform, Platform, makeRequest(Replaces, Id),
                       {3, Duration(0)});
}

} // namespace

// Guards against two operators who both believe that their version is in
// force.
TEST_CASE("a race for one version has one winner whom the others are told") {
  FakePlatform Platform;
  REQUIRE(publish(Platform, 0, "first").Outcome == PublishOutcome::Applied);
  std::vector<PublishResult> Results(8);
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Results.size(); ++I)
    Threads.emplace_back([&, I] {
      Results[I] = publish(Platform, 1, "racer" + std::to_string(I));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::string Reason;
  const auto Head = readConfigHead(Platform, Reason);
  REQUIRE(Head);
  CHECK(Head->Version == 2);
  CHECK(readConfigText(Platform, *Head, Reason) == "text of " + Head->ApplyId);
  int Winners = 0;
  for (const PublishResult &Result : Results) {
    Winners += Result.Outcome == PublishOutcome::Applied ? 1 : 0;
    CHECK(Result.Outcome != PublishOutcome::Unknown);
    CHECK(Result.Head.ApplyId == Head->ApplyId);
    CHECK(Result.Head.Author == "author of " + Head->ApplyId);
    CHECK(Result.Head.Version == 2);
  }
  CHECK(Winners == 1);
  CHECK(Platform.countRowWrites() == 2);
}

// Guards against a version in force that its author takes for a refused one.
TEST_CASE("a reply that is lost after the effect is resolved as applied") {
  FakePlatform Platform;
  Platform.setFaults({FakePlatform::Fault::LoseReply});
  CHECK(publish(Platform, 0, "a").Outcome == PublishOutcome::Applied);
  CHECK(Platform.countRowWrites() == 1);

  // The same, but another version follows before the row is read back.
  Platform.setFaults({FakePlatform::Fault::LoseReply});
  Platform.AfterCommit = [](TableRow &Row) {
    std::string Reason;
    ConfigHead Next = *parseConfigHead(Row.Value, Reason);
    Next.EarlierApplyIds.insert(Next.EarlierApplyIds.begin(), Next.ApplyId);
    Next.ApplyId = "later";
    ++Next.Version;
    Row = {Row.Key, formatConfigHead(Next), Row.Version + 1000};
  };
  const PublishResult Result = publish(Platform, 1, "b");
  CHECK(Result.Outcome == PublishOutcome::Applied);
  CHECK(Result.Head.Version == 2);
}

// Guards against a lost request that is taken for a change.
TEST_CASE("lost requests are repeated and then reported as unknown") {
  FakePlatform Platform;
  using Fault = FakePlatform::Fault;
  Platform.setFaults({Fault::LoseRequest, Fault::LoseRequest});
  CHECK(publish(Platform, 0, "a").Outcome == PublishOutcome::Applied);
  Platform.setFaults(
      {Fault::LoseRequest, Fault::LoseRequest, Fault::LoseRequest});
  CHECK(publish(Platform, 1, "b").Outcome == PublishOutcome::Unknown);
  CHECK(Platform.countRowWrites() == 1);
}

// Guards against a row that names a text which no node can read.
TEST_CASE("nothing is applied while the object store is down") {
  FakePlatform Platform;
  Platform.ObjectsDown = true;
  const PublishResult Result = publish(Platform, 0, "a");
  CHECK(Result.Outcome == PublishOutcome::Failed);
  CHECK(Result.Reason == "object store down");
  CHECK(Platform.countRowWrites() == 0);
}

// Guards against a version that replaces one its author has not seen, and
// against a text that differs from what was published.
TEST_CASE("an outdated version is refused and a changed text is detected") {
  FakePlatform Platform;
  for (std::uint64_t Version = 0; Version < 20; ++Version)
    REQUIRE(
        publish(Platform, Version, "v" + std::to_string(Version + 1)).Outcome ==
        PublishOutcome::Applied);
  const PublishResult Result = publish(Platform, 1, "late");
  CHECK(Result.Outcome == PublishOutcome::Conflict);
  CHECK(Result.Head.Version == 20);
  CHECK(Result.Head.EarlierApplyIds.size() == 16);
  CHECK(publish(Platform, 30, "early").Outcome == PublishOutcome::Conflict);
  Platform.corrupt(Result.Head.Object);
  std::string Reason;
  CHECK_FALSE(readConfigText(Platform, Result.Head, Reason));
  CHECK(Reason.find("hash") != std::string::npos);
}
