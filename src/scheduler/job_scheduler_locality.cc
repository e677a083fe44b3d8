#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

std::optional<placement_candidate> ChooseAmong(
    std::span<const placement_candidate> candidates,
    bool far) {
  std::vector<placement_candidate> selected;
  std::ranges::copy_if(
      candidates, std::back_inserter(selected),
      [far](const placement_candidate& each) { return each.far == far; });
  return ChoosePlacement(selected);
}

// The decision in the event log where there was no choice.
std::string_view NameWithoutChoice(const placement_candidate& chosen) {
  return chosen.far ? "only_far" : "only_near";
}

}  // namespace

// ---- Dispatch -------------------------------------------------------------

std::optional<job_scheduler_impl::locality_placement>
job_scheduler_impl::PlaceByLocality(
    scheduled_job& job,
    std::uint32_t task,
    std::span<const placement_candidate> candidates) {
  scheduled_task& state = job.tasks[task];
  if (job.steps[state.step].spec.affinity_label.empty())
    return std::nullopt;
  const auto near = ChooseAmong(candidates, false);
  const auto far = ChooseAmong(candidates, true);
  if (!near || !far)
    return std::nullopt;
  locality_options options;
  options.near = *near;
  options.far = *far;
  options.time_to_target = job.target - now_;
  options.time_to_deadline = job.deadline - now_;
  options.wait_used = state.locality.wait_used;
  if (!state.locality.reluctance)
    state.locality.reluctance = reluctances_.Next();
  options.reluctance = *state.locality.reluctance;
  const locality_plan plan = DecideLocality(options);
  const bool goes_far = plan.decision == locality_decision::kFarNow;
  return locality_placement{goes_far ? *far : *near, plan, *near, *far};
}

void job_scheduler_impl::RecordLocalityDispatch(
    scheduled_job& job,
    std::uint32_t task,
    const placement_candidate& chosen,
    const std::optional<locality_placement>& placed,
    microseconds queue_bound,
    std::vector<event_field>& fields) {
  locality_state& state = job.tasks[task].locality;
  locality_counters& counters = locality_counters_[job.kind->name];
  state.far = chosen.far;
  state.queue_bound = queue_bound;
  state.waits = placed && placed->plan.decision == locality_decision::kNearWait;
  ++(chosen.far ? counters.far_dispatches : counters.near_dispatches);
  fields.push_back(
      {"locality", std::string(placed ? Name(placed->plan.decision)
                                      : NameWithoutChoice(chosen))});
  fields.push_back({"queue_bound_us", queue_bound.count()});
  if (!placed)
    return;
  state.far_end = placed->far.wait + placed->far.run;
  if (state.waits) {
    ++counters.near_waits;
    counters.predicted_gain +=
        state.far_end - placed->near.wait - placed->near.run;
  }
  fields.push_back({"near_wait_us", placed->near.wait.count()});
  fields.push_back({"near_run_us", placed->near.run.count()});
  fields.push_back({"far_wait_us", placed->far.wait.count()});
  fields.push_back({"far_run_us", placed->far.run.count()});
  fields.push_back({"wait_used_us", state.wait_used.count()});
}

// ---- Reports --------------------------------------------------------------

void job_scheduler_impl::RecordNearReturn(scheduled_job& job,
                                          std::uint32_t task,
                                          const wire::run_report& report) {
  const scheduled_task& returned = job.tasks[task];
  if (job.steps[returned.step].spec.affinity_label.empty() ||
      returned.locality.far) {
    return;
  }
  locality_state& state = job.tasks[task].locality;
  locality_counters& counters = locality_counters_[job.kind->name];
  ++counters.near_returns;
  state.wait_used += report.queued;
  if (state.waits)
    counters.measured_gain -= report.queued;
}

void job_scheduler_impl::ObserveRunTime(const scheduled_job& job,
                                        const scheduled_task& task,
                                        const wire::run_report& report) {
  const worker_view& view = *task.agent;
  const scheduled_step& step = job.steps[task.step];
  const std::string& kind = job.kind->name;
  if (!step.spec.affinity_label.empty()) {
    locality_counters& counters = locality_counters_[kind];
    ++(task.locality.far ? counters.far_runs : counters.near_runs);
    if (task.locality.waits) {
      counters.measured_gain +=
          task.locality.far_end - report.queued - report.ran;
    }
  }
  if (!task.locality.far) {
    run_times_.Observe(kind, view.machine_class(), view.agent(), step.estimate,
                       report.ran);
    return;
  }
  locality_model_.ObserveFarRun(kind, view.machine_class(),
                                run_times_.Predict(kind, view.machine_class(),
                                                   view.agent(), step.estimate),
                                report.ran);
}

// The run of a task with a label started at the end of its queue bound at the
// latest, so the time before that may have been a wait.
void job_scheduler_impl::ObserveStoppedRun(const scheduled_job& job,
                                           const scheduled_task& task) {
  const worker_view& view = *task.agent;
  const scheduled_step& step = job.steps[task.step];
  const std::string& kind = job.kind->name;
  const bool labelled = !step.spec.affinity_label.empty();
  const microseconds age =
      now_ - task.dispatched_at -
      (labelled ? task.locality.queue_bound : microseconds(0));
  if (age <= task.predicted_run_time)
    return;
  if (!task.locality.far) {
    run_times_.ObserveLowerBound(kind, view.machine_class(), view.agent(),
                                 step.estimate, age);
    return;
  }
  locality_model_.ObserveFarLowerBound(
      kind, view.machine_class(),
      run_times_.Predict(kind, view.machine_class(), view.agent(),
                         step.estimate),
      age);
}

}  // namespace egretrack::scheduler
