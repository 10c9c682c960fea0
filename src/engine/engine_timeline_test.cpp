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

EngineJob makeShort(std::uint64_t Id, TimePoint Now) {
  EngineJob Job;
  Job.Id = Id;
  Job.PromptTokens = 4000;
  Job.OutputTokens = 1000;
  Job.MemoryTokens = 5000;
  Job.Objective = {Now + milliseconds(300), 250, 1};
  return Job;
}

EngineJob makeLong(std::uint64_t Id) {
  EngineJob Job;
  Job.Id = Id;
  Job.PromptTokens = 80000;
  Job.OutputTokens = 400;
  Job.MemoryTokens = 80400;
  return Job;
}

/// An eighth of a prompt that needs 190 ms at each engine.
EngineJob makePart(std::uint64_t Id, TimePoint Now) {
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
  const Forecast Next = Engine.forecast(makeLong(1), Now);
  // 400 ms of tokens, 320 ms of pairs, and a step for each pass of one chunk.
  CHECK(prefillMs(Spec, 0, 80000) == doctest::Approx(720));
  CHECK(Next.FirstTokenMs == doctest::Approx(760));
  CHECK(Next.LossToOthers == 0);
}

// Guards against long prompts on engines whose streams then pause too long.
TEST_CASE("a long prompt costs the streams that it would pause") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  Engine.add(makeShort(1, Now), Now);
  Now += milliseconds(100);
  CHECK(Engine.forecast(makeLong(2), Now).LossToOthers > 0.9);
  CHECK(Engine.forecast(makeShort(3, Now), Now).LossToOthers == 0);
  EngineJob Part = makeLong(4);
  Part.PromptTokens = 8000;
  Part.WholePromptTokens = 80000;
  Part.OutputTokens = 0;
  CHECK(Engine.forecast(Part, Now).LossToOthers < 0.2);
}

// Guards against a model that frees the slots of requests whose estimated
// length is too short: it took busy engines for idle ones.
TEST_CASE("a request runs until its node reports the end") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Engine.add(makeShort(Id, Now), Now);
  Now += std::chrono::seconds(20);
  Engine.advance(Now);
  CHECK(Engine.jobCount() == 4);
  const double Full = Engine.forecast(makeShort(9, Now), Now).FirstTokenMs;
  Engine.remove(1, Now);
  const double Free = Engine.forecast(makeShort(9, Now), Now).FirstTokenMs;
  CHECK(Free < 150);
  CHECK(Full > Free + 100);
}

TEST_CASE("parts of other prompts are read before a prompt that is half read") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  Engine.add(makeLong(1), Now);
  Now += milliseconds(300);
  EngineJob Part = makeLong(2);
  Part.PromptTokens = 20000;
  Part.WholePromptTokens = 80000;
  Part.OutputTokens = 0;
  const double PartMs = Engine.forecast(Part, Now).FirstTokenMs;
  CHECK(PartMs < 250);
}

// Guards against a model in which parts wait for each other: parts of the
// largest prompts were passed by all later ones, against the prediction.
TEST_CASE("a part of a prompt is read before parts that came earlier") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  Engine.add(makePart(1, Now), Now);
  Now += milliseconds(20);
  const Forecast Next = Engine.forecast(makePart(2, Now), Now);
  CHECK(Next.FirstTokenMs < 130);
  CHECK(Next.LossToOthers == 0);
  // The earlier part is late.
  REQUIRE(Next.LossToSplitPrefills.size() == 1);
  CHECK(Next.LossToSplitPrefills.front().Id == 1);
  CHECK(Next.LossToSplitPrefills.front().Loss > 0);
}

// Guards against a delay that does not count since it ends long after the first
// token of the newer prompt.
TEST_CASE("parts that newer ones delay past their deadline are lost") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  EngineJob Older = makePart(1, Now);
  Older.PromptTokens = 80000;
  Older.WholePromptTokens = 640000;
  Older.Objective.FirstTokenBy = Now + milliseconds(4700);
  Older.Objective.TotalMs = 8000;
  Engine.add(Older, Now);
  Now += milliseconds(20);
  CHECK(Engine.forecast(makePart(2, Now), Now).LossToSplitPrefills.empty());
  EngineJob Newer = Older;
  Newer.Id = 3;
  const Forecast Next = Engine.forecast(Newer, Now);
  REQUIRE(Next.LossToSplitPrefills.size() == 1);
  CHECK(Next.LossToSplitPrefills.front().Loss > 2.9);
  Newer.PromptTokens *= 2;
  CHECK(Engine.forecast(Newer, Now).LossToSplitPrefills.front().Loss ==
        doctest::Approx(4));
}

TEST_CASE("urgent requests pass waiting ones that are late") {
  EngineTimeline Engine(makeSpec());
  const TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Engine.add(makeShort(Id, Now), Now);
  EngineJob Late = makeShort(5, Now);
  Late.Urgent = false;
  for (std::uint64_t Id = 5; Id <= 8; ++Id) {
    Late.Id = Id;
    Engine.add(Late, Now);
  }
  const double Urgent = Engine.forecast(makeShort(9, Now), Now).FirstTokenMs;
  Late.Id = 10;
  const double Behind = Engine.forecast(Late, Now).FirstTokenMs;
  CHECK(Urgent < Behind);
}

// Guards against a state that admits in another order than the forecast.
TEST_CASE("an urgent request that was added is admitted before late ones") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Engine.add(makeShort(Id, Now), Now);
  EngineJob Late = makeShort(5, Now);
  Late.Urgent = false;
  Engine.add(Late, Now);
  Now += milliseconds(200);
  Engine.add(makeShort(6, Now), Now);
  // The urgent request takes the slot; the next urgent one waits for the
  // second slot only, not behind the late one.
  Engine.remove(1, Now);
  Now += milliseconds(200);
  Engine.remove(2, Now);
  CHECK(Engine.forecast(makeShort(7, Now), Now).FirstTokenMs < 150);
}

TEST_CASE("a prompt waits until the memory for it is free") {
  EngineTimeline Engine(makeSpec());
  TimePoint Now{std::chrono::hours(1)};
  EngineJob Large = makeLong(1);
  Large.MemoryTokens = 150000;
  Engine.add(Large, Now);
  Now += milliseconds(10);
  Large.Id = 2;
  CHECK(Engine.forecast(Large, Now).FirstTokenMs > 1000);
  CHECK(Engine.memoryInUse() == 150000);
}
