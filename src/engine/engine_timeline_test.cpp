#include "cassiashed/engine/engine_timeline.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::engine;
using std::chrono::milliseconds;

namespace {

EngineSpec makeSpec() {
  EngineSpec Spec;
  Spec.Slots = 4;
  Spec.MemoryTokens = 200000;
  Spec.StepsPerPass = 40;
  Spec.StepMs = 1;
  Spec.PrefillTokensPerMs = 200;
  Spec.PrefillPairsMs = 0.1;
  Spec.PrefillTokensPerStep = 2000;
  return Spec;
}

EngineJob makeShortJob(std::uint64_t Id, TimePoint Now) {
  EngineJob Job;
  Job.Id = Id;
  Job.PromptTokens = 4000;
  Job.OutputTokens = 1000;
  Job.MemoryTokens = 5000;
  Job.Objective = {Now + milliseconds(300), 250, 1};
  return Job;
}

EngineJob makeLongJob(std::uint64_t Id) {
  EngineJob Job;
  Job.Id = Id;
  Job.PromptTokens = 80000;
  Job.OutputTokens = 400;
  Job.MemoryTokens = 80400;
  return Job;
}

/// An eighth of a prompt; each part takes about 95 ms to prefill.
EngineJob makePartJob(std::uint64_t Id, TimePoint Now) {
  EngineJob Job;
  Job.Id = Id;
  Job.PromptTokens = 10000;
  Job.WholePromptTokens = 80000;
  Job.Objective.FirstTokenBy = Now + milliseconds(250);
  Job.Objective.LateLoss = 3;
  Job.Objective.FailLoss = 1;
  Job.Objective.TotalMs = 400;
  return Job;
}

} // namespace

TEST_CASE("the first token of a lone prompt follows its prefill") {
  const EngineSpec Spec = makeSpec();
  EngineTimeline Engine(Spec);
  const TimePoint Now{std::chrono::hours(1)};
  const Forecast Next = Engine.forecast(makeLongJob(1), Now);
  // 400 ms for tokens, 320 ms for attention, and 40 passes with one step each.
  CHECK(prefillMs(Spec, 0, 80000) == doctest::Approx(720));
  CHECK(Next.FirstTokenMs == doctest::Approx(760));
  CHECK(Next.LossToOthers == 0);
}

// Guards against long prompts on engines whose streams then exceed their token
// gap limits.
TEST_CASE("a long prompt causes a loss to the streams that it interrupts") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  Engine.add(makeShortJob(1, Now), Now);
  Now += milliseconds(100);
  CHECK(Engine.forecast(makeLongJob(2), Now).LossToOthers > 0.9);
  CHECK(Engine.forecast(makeShortJob(3, Now), Now).LossToOthers == 0);
  EngineJob Part = makeLongJob(4);
  Part.PromptTokens = 8000;
  Part.WholePromptTokens = 80000;
  Part.OutputTokens = 0;
  CHECK(Engine.forecast(Part, Now).LossToOthers < 0.2);
}

// Guards against freeing a slot once the expected output is done: estimates are
// often too short, and busy engines then seemed idle.
TEST_CASE("a request runs until its node reports the end") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Engine.add(makeShortJob(Id, Now), Now);
  Now += std::chrono::seconds(20);
  Engine.advance(Now);
  CHECK(Engine.jobCount() == 4);
  const double Full = Engine.forecast(makeShortJob(9, Now), Now).FirstTokenMs;
  Engine.remove(1, Now);
  const double Free = Engine.forecast(makeShortJob(9, Now), Now).FirstTokenMs;
  CHECK(Free < 150);
  CHECK(Full > Free + 100);
}

TEST_CASE(
    "parts of split prefills go ahead of a prompt whose prefill has begun") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  Engine.add(makeLongJob(1), Now);
  Now += milliseconds(300);
  EngineJob Part = makeLongJob(2);
  Part.PromptTokens = 20000;
  Part.WholePromptTokens = 80000;
  Part.OutputTokens = 0;
  const double PartMs = Engine.forecast(Part, Now).FirstTokenMs;
  CHECK(PartMs < 250);
}

// Guards against predicting parts in order of arrival: engines prefill newer
// parts first, so parts of the largest prompts were overtaken by all later
// ones.
TEST_CASE("a part of a split prefill goes ahead of parts that came earlier") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  Engine.add(makePartJob(1, Now), Now);
  Now += milliseconds(20);
  const Forecast Next = Engine.forecast(makePartJob(2, Now), Now);
  CHECK(Next.FirstTokenMs < 130);
  CHECK(Next.LossToOthers == 0);
  // The earlier part is late.
  REQUIRE(Next.LossToSplitPrefills.size() == 1);
  CHECK(Next.LossToSplitPrefills.front().Id == 1);
  CHECK(Next.LossToSplitPrefills.front().Loss > 0);
}

// Guards against ignoring a delay that ends long after the first token of the
// newer prompt.
TEST_CASE("parts that newer ones delay past their deadline count as lost") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  EngineJob Older = makePartJob(1, Now);
  Older.PromptTokens = 80000;
  Older.WholePromptTokens = 640000;
  Older.Objective.FirstTokenBy = Now + milliseconds(4700);
  Older.Objective.TotalMs = 8000;
  Engine.add(Older, Now);
  Now += milliseconds(20);
  CHECK(Engine.forecast(makePartJob(2, Now), Now).LossToSplitPrefills.empty());
  EngineJob Newer = Older;
  Newer.Id = 3;
  const Forecast Next = Engine.forecast(Newer, Now);
  REQUIRE(Next.LossToSplitPrefills.size() == 1);
  CHECK(Next.LossToSplitPrefills.front().Loss > 2.9);
  Newer.PromptTokens *= 2;
  CHECK(Engine.forecast(Newer, Now).LossToSplitPrefills.front().Loss ==
        doctest::Approx(4));
}

TEST_CASE("urgent requests go ahead of waiting ones that are late") {
  EngineTimeline Engine(makeSpec());
  const TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Engine.add(makeShortJob(Id, Now), Now);
  EngineJob Late = makeShortJob(5, Now);
  Late.Urgent = false;
  for (std::uint64_t Id = 5; Id <= 8; ++Id) {
    Late.Id = Id;
    Engine.add(Late, Now);
  }
  const double Urgent = Engine.forecast(makeShortJob(9, Now), Now).FirstTokenMs;
  Late.Id = 10;
  const double Behind = Engine.forecast(Late, Now).FirstTokenMs;
  CHECK(Urgent < Behind);
}

// Guards against adding jobs in another order than the forecast does.
TEST_CASE("an urgent request that was added is admitted before late ones") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Engine.add(makeShortJob(Id, Now), Now);
  EngineJob Late = makeShortJob(5, Now);
  Late.Urgent = false;
  Engine.add(Late, Now);
  Now += milliseconds(200);
  Engine.add(makeShortJob(6, Now), Now);
  // The urgent request takes the free slot. The next urgent one waits only for
  // the second slot, not behind the late one.
  Engine.remove(1, Now);
  Now += milliseconds(200);
  Engine.remove(2, Now);
  CHECK(Engine.forecast(makeShortJob(7, Now), Now).FirstTokenMs < 150);
}

TEST_CASE("a prompt waits until the memory for it is free") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  EngineJob Large = makeLongJob(1);
  Large.MemoryTokens = 150000;
  Engine.add(Large, Now);
  Now += milliseconds(10);
  Large.Id = 2;
  CHECK(Engine.forecast(Large, Now).FirstTokenMs > 1000);
  CHECK(Engine.memoryInUse() == 150000);
}
