#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "scheduler/tests/system_model.h"

namespace egretrack::scheduler {
namespace {

constexpr seconds kModelTime{9};
constexpr int kMaxFaults = 25;

std::string Describe(const model_fault& fault) {
  return "fault " + std::to_string(static_cast<int>(fault.kind)) + " of " +
         std::to_string(fault.target) + " at " +
         std::to_string(fault.at.count()) + " ms for " +
         std::to_string(fault.duration.count()) + " ms\n";
}

rc::Gen<model_fault> AnyFault() {
  return rc::gen::build<model_fault>(
      rc::gen::set(&model_fault::at,
                   rc::gen::map(rc::gen::inRange(200, 4500),
                                [](int ms) { return milliseconds(ms); })),
      rc::gen::set(
          &model_fault::kind,
          rc::gen::map(
              rc::gen::inRange(0, static_cast<int>(model_fault_kind::kCount)),
              [](int kind) { return static_cast<model_fault_kind>(kind); })),
      rc::gen::set(&model_fault::target,
                   rc::gen::inRange<std::uint32_t>(0, 60)),
      rc::gen::set(&model_fault::duration,
                   rc::gen::map(rc::gen::inRange(0, 1200),
                                [](int ms) { return milliseconds(ms); })));
}

// Guards against two runs of a task at the same time on workers that are up, a
// completed job whose tasks have not ended, and a refused job that has run,
// under any sequence of restarts, cuts, late calls and odd reports.
RC_GTEST_PROP(SystemProperty, NoTaskRunsTwiceAndAnswersAreTrue, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto count = *rc::gen::inRange(0, kMaxFaults);
  const auto faults = *rc::gen::container<std::vector<model_fault>>(
      static_cast<std::size_t>(count), AnyFault());
  system_model model(seed);
  RC_LOG() << "seed " << seed << '\n';
  for (const model_fault& fault : faults) {
    RC_LOG() << Describe(fault);
    model.Inject(fault);
  }
  model.Run(kModelTime);
  for (const std::string& violation : model.violations())
    RC_LOG() << violation << '\n';
  RC_ASSERT(model.violations().empty());
}

// Guards against a late frame of an agent process that has ended: an entry that
// has restarted since took it for that of the current process and gave up the
// runs of this one. Found by the property above with seed 20261204, case 752.
TEST(SystemModel, KeepsRunsWhenAnEndedAgentIsHeardLate) {
  constexpr std::uint64_t kSeed = 4639468;
  system_model model(kSeed);
  for (const int at_ms : {200, 200, 1161}) {
    model.Inject({milliseconds(at_ms), model_fault_kind::kRestartEntry, 0,
                  milliseconds(0)});
  }
  model.Inject(
      {milliseconds(200), model_fault_kind::kRestartEntry, 3, milliseconds(0)});
  model.Inject({milliseconds(992), model_fault_kind::kRestartEntry, 3,
                milliseconds(60)});
  model.Inject({milliseconds(1012), model_fault_kind::kRestartAgent, 1,
                milliseconds(0)});
  model.Run(kModelTime);
  EXPECT_EQ(model.violations(), std::vector<std::string>());
}

// The faults under many different delays and losses.
std::vector<std::string> ViolationsOf(std::span<const model_fault> faults) {
  constexpr std::uint64_t kSeeds = 200;
  std::vector<std::string> violations;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    system_model model(seed);
    for (const model_fault& fault : faults)
      model.Inject(fault);
    model.Run(kModelTime);
    for (const std::string& violation : model.violations())
      violations.push_back("seed " + std::to_string(seed) + ": " + violation);
  }
  return violations;
}

// Guards against a job that is refused although a task of it ended its worker
// as it began (review, case 12).
TEST(SystemModel, RefusesNoJobWhoseTaskEndedItsWorker) {
  const model_fault crash{milliseconds(1400), model_fault_kind::kCrashAtStart,
                          0, milliseconds(700)};
  EXPECT_EQ(ViolationsOf({&crash, 1}), std::vector<std::string>());
}

// Guards against tasks that an entry starts for requests that were held up
// while it was cut off (review, case 11).
TEST(SystemModel, StartsNoTaskOfARequestThatWasHeldUp) {
  const model_fault cut{milliseconds(700), model_fault_kind::kCutEntry, 0,
                        milliseconds(500)};
  EXPECT_EQ(ViolationsOf({&cut, 1}), std::vector<std::string>());
}

// Guards against tasks that begin on a worker without the required label, which
// took the place of another while entries stood still (review, case 14).
TEST(SystemModel, StartsNoTaskOnAWorkerThatWasNotChosen) {
  std::vector<model_fault> faults;
  for (const std::uint32_t target : {0U, 1U}) {
    faults.push_back({milliseconds(1500), model_fault_kind::kPauseEntry, target,
                      milliseconds(350)});
    faults.push_back({milliseconds(1550), model_fault_kind::kReplaceWorker,
                      12 * target + target, milliseconds(200)});
  }
  EXPECT_EQ(ViolationsOf(faults), std::vector<std::string>());
}

// Guards against a model in which nothing runs, so that no fault is found.
TEST(SystemModel, CompletesJobsWithoutFaults) {
  system_model model(1);
  model.Run(kModelTime);
  EXPECT_TRUE(model.violations().empty());
  EXPECT_GE(model.completed_jobs(), 13U);
}

}  // namespace
}  // namespace egretrack::scheduler
