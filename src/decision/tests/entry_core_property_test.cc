#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "decision/tests/entry_simulation.h"

namespace egretrack::decision {
namespace {

rc::Gen<std::vector<simulation_step>> AnySteps() {
  const auto number = rc::gen::inRange(0U, 1U << 16U);
  const auto step = rc::gen::build<simulation_step>(
      rc::gen::set(&simulation_step::action, number),
      rc::gen::set(&simulation_step::target, number),
      rc::gen::set(&simulation_step::variant, number));
  return rc::gen::scale(4.0,
                        rc::gen::container<std::vector<simulation_step>>(step));
}

void CheckGuarantees(routing_policy routing) {
  entry_simulation simulation(routing);
  const auto steps = *AnySteps();
  for (const simulation_step& step : steps)
    simulation.Perform(step);
  simulation.FinishAndCheck();
  for (const std::string& violation : simulation.violations())
    RC_FAIL(violation);
  RC_TAG(simulation.answers(job_outcome::kAnswered) > 0,
         simulation.answers(job_outcome::kRefused) > 0,
         simulation.answers(job_outcome::kOutcomeUnknown) > 0);
}

// Guards the properties P1 to P5 and P8 of the design against any order of
// events: a task that starts twice, "not run" for a task that ran, a caller
// with no answer or two, an answer that lacks results, a credit that is used
// twice, a configuration version that decreases.
RC_GTEST_PROP(EntryCoreProperty, GuaranteesHoldWithCredits, ()) {
  CheckGuarantees(routing_policy::kCredits);
}

// Guards the same properties for routing that pushes tasks without credits.
RC_GTEST_PROP(EntryCoreProperty, GuaranteesHoldWithPush, ()) {
  CheckGuarantees(routing_policy::kLeastOutstanding);
}

}  // namespace
}  // namespace egretrack::decision
