#include <algorithm>
#include <utility>

#include "egretrack/scheduler/members.h"
#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

constexpr std::uint32_t kMaxTasks = 1200;
constexpr std::size_t kMaxSpecBytes = 4000;

}  // namespace

std::optional<job_scheduler_impl::refusal> job_scheduler_impl::CheckContent(
    const job_submission& event) const {
  if (!event.unsupported_feature.empty())
    return refusal{job_errc::kUnsupported, {}, {}, {}};
  if (event.spec.size() > kMaxSpecBytes)
    return refusal{job_errc::kPayloadTooLarge, {}, {}, {}};
  std::uint64_t tasks = 0;
  for (std::size_t number = 0; number < event.steps.size(); ++number) {
    const job_step& step = event.steps[number];
    tasks += step.count;
    const bool ordered = std::ranges::all_of(
        step.after,
        [number](std::uint32_t dependency) { return dependency < number; });
    if (step.count == 0 || !ordered)
      return refusal{job_errc::kNoTasks, {}, {}, {}};
  }
  if (tasks == 0)
    return refusal{job_errc::kNoTasks, {}, {}, {}};
  if (tasks > kMaxTasks)
    return refusal{job_errc::kTooManyTasks, {}, {}, {}};
  if (event.deadline && event.deadline->count() <= 0)
    return refusal{job_errc::kInvalidDeadline, {}, {}, {}};
  return std::nullopt;
}

std::vector<step_place> job_scheduler_impl::FindPlaces(
    const scheduled_job& job,
    const scheduled_step& step) const {
  std::vector<step_place> places;
  for (const placement_candidate& candidate :
       FindCandidates(job, step.first_task)) {
    const worker_view& view = *view_list_[candidate.view_index];
    step_place place;
    place.wait = candidate.wait;
    place.run = candidate.run;
    place.slots = CountFitting(view.worker->capacity, step.spec.need);
    place.free = CountFitting(view.FreeResources(), step.spec.need);
    if (step.spec.max_per_worker > 0) {
      place.slots =
          std::min(place.slots, std::int64_t{step.spec.max_per_worker});
    }
    place.free = std::min(place.free, place.slots);
    places.push_back(place);
  }
  return places;
}

// Refuses a job that clearly cannot end by its deadline. Without any eligible
// worker the job is accepted and waits briefly, as a worker may appear.
std::optional<job_scheduler_impl::refusal> job_scheduler_impl::CheckCapacity(
    const scheduled_job& job) {
  std::vector<admission_step> steps;
  steps.reserve(job.steps.size());
  for (const scheduled_step& step : job.steps)
    steps.push_back({step.spec.count, step.spec.after, FindPlaces(job, step)});
  const end_prediction prediction = PredictEnd(steps);
  const auto tasks = static_cast<std::uint32_t>(job.tasks.size());
  const admission_verdict verdict = admission_.Judge(
      job.kind->name, tasks, prediction, job.deadline - now_, now_);
  if (verdict == admission_verdict::kAccepted)
    return std::nullopt;
  const job_errc code = verdict == admission_verdict::kOverloaded
                            ? job_errc::kOverloaded
                            : job_errc::kDeadlineUnreachable;
  return refusal{code, prediction.earliest.wait, prediction.earliest.run,
                 prediction.whole};
}

milliseconds job_scheduler_impl::DecideRetry(std::string_view kind,
                                             std::string_view job_key,
                                             job_errc code,
                                             std::vector<event_field>& fields) {
  const retry_decision retry = retry_delay_.Decide(
      code, jobs_.size(), RendezvousWeight(options_.entry, job_key), now_);
  const auto drain_rate = static_cast<std::int64_t>(1000 * retry.drain_rate);
  fields.push_back({"retry_after_ms", milliseconds(retry.delay).count()});
  fields.push_back({"backlog", static_cast<std::int64_t>(retry.backlog)});
  fields.push_back({"returning", static_cast<std::int64_t>(retry.returning)});
  fields.push_back({"drained_per_1000_s", drain_rate});
  Emit(refusal_metrics{std::string(kind), code, retry.delay});
  return retry.delay;
}

void job_scheduler_impl::Refuse(const job_submission& event,
                                std::string_view kind,
                                std::string_view job_key,
                                const refusal& reason) {
  ++counters_.jobs_refused;
  std::vector<event_field> fields{
      {"reason", std::string(decision::Name(reason.code))},
      {"asked_for", event.unsupported_feature},
      {"deadline_ms", event.deadline.value_or(milliseconds(0)).count()},
      {"wait_us", reason.wait.count()},
      {"run_us", reason.run.count()},
      {"kind", std::string(kind)},
      {"predicted_end_us", reason.predicted_end.count()},
      {"config_version", static_cast<std::int64_t>(
                             configuration_ ? configuration_->version : 0)}};
  const milliseconds retry_after =
      DecideRetry(kind, job_key, reason.code, fields);
  RecordDecision(decision_kind::kJobRefused,
                 job_key.empty() ? event.path : job_key, std::move(fields));
  Emit(answer_job{event.caller, job_state::kRefused, reason.code, retry_after});
}

}  // namespace egretrack::scheduler
