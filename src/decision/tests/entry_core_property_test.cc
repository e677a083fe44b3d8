#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decision/tests/entry_world.h"

namespace egretrack::decision {
namespace {

rc::Gen<std::vector<world_step>> AnySteps() {
  const auto number = rc::gen::inRange(0U, 1U << 16U);
  const auto step =
      rc::gen::build<world_step>(rc::gen::set(&world_step::action, number),
                                 rc::gen::set(&world_step::which, number),
                                 rc::gen::set(&world_step::detail, number));
  return rc::gen::scale(4.0, rc::gen::container<std::vector<world_step>>(step));
}

void CheckGuarantees(routing_policy routing) {
  entry_world world(routing);
  const auto steps = *AnySteps();
  for (const world_step& step : steps)
    world.Take(step);
  world.Settle();
  for (const std::string& breach : world.breaches())
    RC_FAIL(breach);
  RC_TAG(world.answers(job_outcome::kAnswered) > 0,
         world.answers(job_outcome::kRefused) > 0,
         world.answers(job_outcome::kOutcomeUnknown) > 0);
}

// Guards P1 to P5 and P8 of the design against any order of events: a task
// that starts twice, an untrue "not run", a caller with no answer or two, an
// answer that is not whole, a credit used twice, a version that falls.
RC_GTEST_PROP(EntryCoreProperty, GuaranteesHoldWithCredits, ()) {
  CheckGuarantees(routing_policy::kCredits);
}

// Guards the same for the strategies that push.
RC_GTEST_PROP(EntryCoreProperty, GuaranteesHoldWithPush, ()) {
  CheckGuarantees(routing_policy::kLeastOutstanding);
}

}  // namespace
}  // namespace egretrack::decision
