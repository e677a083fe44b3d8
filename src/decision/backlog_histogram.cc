#include "decision/backlog_histogram.h"

namespace egretrack::decision {
namespace {

// Keys are within a few seconds of the current time, which makes a few dozen
// steps.
constexpr microseconds kStepWidth = milliseconds(250);

std::int64_t StepOf(monotonic_time key) {
  return key.time_since_epoch() / kStepWidth;
}

}  // namespace

void backlog_histogram::Adjust(monotonic_time key, int tasks) {
  const auto step = tasks_by_step_.try_emplace(StepOf(key), 0).first;
  step->second += static_cast<std::size_t>(tasks);
  total_ += static_cast<std::size_t>(tasks);
  if (step->second == 0)
    tasks_by_step_.erase(step);
}

std::size_t backlog_histogram::CountUpTo(monotonic_time key) const {
  const std::int64_t last = StepOf(key);
  std::size_t tasks = 0;
  for (const auto& [step, count] : tasks_by_step_) {
    if (step > last)
      break;
    tasks += count;
  }
  return tasks;
}

}  // namespace egretrack::decision
