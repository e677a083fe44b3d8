#include "scheduler/tests/locality_replay.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

struct strategy {
  std::string name;
  std::function<locality_plan(const locality_options&)> decide;
};

// Waits for a near worker for `delay`, whatever the prediction.
locality_plan WaitForFixedDelay(const locality_options& options,
                                microseconds delay) {
  if (options.near.wait <= microseconds(0))
    return {locality_decision::kNearNow, std::max(delay, microseconds(0)), {}};
  if (options.wait_used > microseconds(0) || delay <= microseconds(0))
    return {};
  return {locality_decision::kNearWait, delay, {}};
}

// The comparison of placement without a decision of its own on waits.
locality_plan PlaceByEarliestEnd(const locality_options& options) {
  const std::vector<placement_candidate> both{options.near, options.far};
  if (ChoosePlacement(both)->far)
    return {};
  return {locality_decision::kNearNow, seconds(60), {}};
}

std::vector<strategy> Strategies() {
  std::vector<strategy> strategies{{"decision", &DecideLocality},
                                   {"earliest end", &PlaceByEarliestEnd}};
  for (const int delay : {0, 20, 60, 200, 1000}) {
    const std::string name =
        delay == 0 ? "no wait" : "fixed " + std::to_string(delay) + " ms";
    strategies.push_back({name, [delay](const locality_options& options) {
                            return WaitForFixedDelay(options,
                                                     milliseconds(delay));
                          }});
  }
  return strategies;
}

std::vector<replay_load> Loads() {
  return {
      {"hot rack 0.8", 3, 0.8, 0.4, milliseconds(60), {}},
      {"hot rack 1.2", 3, 1.2, 0.3, milliseconds(60), {}},
      {"hot rack 1.6", 3, 1.6, 0.3, milliseconds(60), {}},
      {"hot rack 1, jobs of 8 tasks", 3, 1, 0.3, milliseconds(60), {}, 8},
      {"hot rack 1.2, 200 ms", 3, 1.2, 0.3, milliseconds(200), {}},
      {"hot rack 1.5, factor 1.5", 1.5, 1.5, 0.5, milliseconds(60), {}},
      {"hot rack 0.5 to 2.2", 3, 0.5, 0.3, milliseconds(60), 2.2},
      {"hot rack 2, others 0.5", 3, 2, 0.5, milliseconds(60), {}, 1, true},
      {"all racks 0.9", 3, 0.9, 0.9, milliseconds(60), {}},
      {"all racks 1.2", 3, 1.2, 1.2, milliseconds(60), {}, 1, true},
  };
}

constexpr std::uint64_t kSeeds = 2;
constexpr std::size_t kNoWait = 2;  // Index of the strategy.
// Differences between seeds are of this size.
constexpr double kTolerance = 0.03;

replay_result MeanOfSeeds(const replay_load& load, const strategy& each) {
  replay_result mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const replay_result result = ReplayLocality(load, each.decide, seed);
    mean.worth += result.worth / kSeeds;
    mean.far_share += result.far_share / kSeeds;
    mean.returns_per_task += result.returns_per_task / kSeeds;
    mean.largest_return_burst =
        std::max(mean.largest_return_burst, result.largest_return_burst);
  }
  return mean;
}

// Guards against a decision that serves a hot label worse than no wait or a
// fixed delay, and against far runs that push the tasks of all labels away from
// their data. The table is that of docs/design/locality.md.
TEST(LocalityReplay, IsWorthMoreThanNoWaitAndFixedDelays) {
  const std::vector<strategy> strategies = Strategies();
  std::vector<double> sums(strategies.size());
  for (const replay_load& load : Loads()) {
    std::vector<double> worths;
    std::printf("%s\n", load.name.c_str());
    for (std::size_t index = 0; index < strategies.size(); ++index) {
      const replay_result mean = MeanOfSeeds(load, strategies[index]);
      std::printf("  %-14s worth %.3f far %.2f returns %.2f burst %d\n",
                  strategies[index].name.c_str(), mean.worth, mean.far_share,
                  mean.returns_per_task, mean.largest_return_burst);
      worths.push_back(mean.worth);
      sums[index] += mean.worth;
    }
    EXPECT_GT(worths[0], worths[kNoWait]) << load.name;
    if (!load.overloaded) {
      EXPECT_GT(worths[0], std::ranges::max(worths) - kTolerance) << load.name;
    }
  }
  for (std::size_t index = 1; index < sums.size(); ++index)
    EXPECT_GT(sums[0], sums[index]) << strategies[index].name;
}

// Guards against a hot label that keeps to its full rack until its tasks are
// late, and against one that leaves a rack with room.
TEST(LocalityReplay, SpillsAsMuchAsTheRackLacks) {
  const strategy decision = Strategies().front();
  const auto loads = Loads();
  EXPECT_LT(MeanOfSeeds(loads[0], decision).far_share, 0.05);
  // A sixth of the tasks of the hot rack cannot run there, of which there are
  // 1.2 of 2.1 in all.
  const double spilled = MeanOfSeeds(loads[1], decision).far_share;
  EXPECT_GT(spilled, 0.05);
  EXPECT_LT(spilled, 0.25);
}

}  // namespace
}  // namespace egretrack::scheduler
