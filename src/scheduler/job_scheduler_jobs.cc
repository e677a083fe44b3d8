#include <algorithm>
#include <utility>

#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

constexpr std::uint32_t kMaxTasks = 1200;
constexpr std::size_t kMaxSpecBytes = 4000;
constexpr std::size_t kMaxRememberedAnswers = 4096;
// Without any hint a task is taken to run as long as most of them do.
constexpr milliseconds kDefaultEstimate{200};
// A job that no worker was found for is refused after this share of the time
// within which it would be on time, so that the caller can turn elsewhere.
constexpr double kUnofferedShare = 0.2;
constexpr milliseconds kRetryAfter{1000};
// A job is refused when even half of the predicted run time would not end by
// its deadline; predictions are off by 40 %.
constexpr double kHopelessShare = 0.5;

std::string JobKey(std::string_view kind, std::string_view rest) {
  std::string key(kind);
  key += '/';
  key += rest;
  return key;
}

// The longest chain of estimates through the steps.
microseconds LongestChain(std::span<const scheduled_step> steps) {
  std::vector<microseconds> ends;
  microseconds longest{0};
  for (const scheduled_step& step : steps) {
    microseconds begin{0};
    for (const std::uint32_t before : step.spec.after)
      begin = std::max(begin, ends[before]);
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

// ---- Requests -------------------------------------------------------------

void job_scheduler_impl::OnSubmission(job_submission& event) {
  last_submission_ = now_;
  if (!configuration_)
    return Refuse(event, "", {job_errc::kNotReady, kRetryAfter, {}, {}});
  const auto route = routes_.Find(event.host, event.path);
  if (!route)
    return Refuse(event, "", {job_errc::kUnknownKind, {}, {}, {}});
  const std::string job_key(route->rest);
  if (!drain_.accepts_jobs())
    return Refuse(event, job_key, {job_errc::kDraining, kRetryAfter, {}, {}});
  if (Attach(event, JobKey(route->kind->name, route->rest)))
    return;
  if (auto refused = CheckContent(event))
    return Refuse(event, job_key, *refused);
  if (jobs_.size() >= options_.max_jobs)
    return Refuse(event, job_key,
                  {job_errc::kRecordsFull, kRetryAfter, {}, {}});
  auto job = MakeJob(event, *route);
  if (auto refused = CheckCapacity(*job))
    return Refuse(event, job_key, *refused);
  Accept(std::move(job));
}

// The same job again, while it runs or shortly after its answer.
bool job_scheduler_impl::Attach(const job_submission& event,
                                std::string_view key) {
  const auto live = jobs_by_key_.find(std::string(key));
  if (live != jobs_by_key_.end()) {
    scheduled_job& job = *live->second;
    Record(decision_kind::kJobAttached, job.job_key,
           {{"age_us", (now_ - job.accepted).count()}});
    jobs_by_caller_.erase(job.caller);
    Emit(
        answer_job{job.caller, job_state::kAttached, job_errc::kCancelled, {}});
    job.caller = event.caller;
    jobs_by_caller_[job.caller] = &job;
    return true;
  }
  const auto answered = answers_.find(std::string(key));
  if (answered == answers_.end() || answered->second.until <= now_)
    return false;
  Emit(answer_job{
      event.caller, answered->second.state, answered->second.code, {}});
  return true;
}

std::optional<job_scheduler_impl::refusal> job_scheduler_impl::CheckContent(
    const job_submission& event) const {
  if (!event.unsupported.empty())
    return refusal{job_errc::kUnsupported, {}, {}, {}};
  if (event.spec.size() > kMaxSpecBytes)
    return refusal{job_errc::kPayloadTooLarge, {}, {}, {}};
  std::uint64_t tasks = 0;
  for (std::size_t number = 0; number < event.steps.size(); ++number) {
    const job_step& step = event.steps[number];
    tasks += step.count;
    const bool ordered = std::ranges::all_of(
        step.after, [number](std::uint32_t before) { return before < number; });
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

std::unique_ptr<scheduled_job> job_scheduler_impl::MakeJob(
    job_submission& event,
    const route_match& route) const {
  auto job = std::make_unique<scheduled_job>();
  job->key = JobKey(route.kind->name, route.rest);
  job->job_key = std::string(route.rest);
  job->configuration = configuration_;
  job->kind = route.kind;
  job->caller = event.caller;
  job->spec = std::move(event.spec);
  job->accepted = now_;
  job->deadline = now_ + event.deadline.value_or(route.kind->deadline);
  for (job_step& spec : event.steps) {
    scheduled_step step;
    step.first_task = static_cast<std::uint32_t>(job->tasks.size());
    step.not_done = spec.count;
    step.estimate =
        spec.estimate.count() > 0 ? spec.estimate : kDefaultEstimate;
    for (std::uint32_t index = 0; index < spec.count; ++index) {
      scheduled_task task;
      task.step = static_cast<std::uint32_t>(job->steps.size());
      task.index = index;
      job->tasks.push_back(task);
    }
    step.spec = std::move(spec);
    job->steps.push_back(std::move(step));
  }
  job->not_done = static_cast<std::uint32_t>(job->tasks.size());
  job->target = now_ + route.kind->target +
                Scale(LongestChain(job->steps), route.kind->stretch);
  return job;
}

// Refuses what no worker could end in time. With no worker at all the job
// waits for a moment, as one may be about to announce itself.
std::optional<job_scheduler_impl::refusal> job_scheduler_impl::CheckCapacity(
    const scheduled_job& job) const {
  for (const scheduled_step& step : job.steps) {
    const auto candidates = Candidates(job, step.first_task);
    if (candidates.empty())
      continue;
    const auto earliest = std::ranges::min(
        candidates, {}, [](const placement_candidate& candidate) {
          return candidate.wait + Scale(candidate.run, kHopelessShare);
        });
    const microseconds left = job.deadline - now_;
    if (Scale(earliest.run, kHopelessShare) > left) {
      return refusal{job_errc::kDeadlineUnreachable, milliseconds(0),
                     earliest.wait, earliest.run};
    }
    if (earliest.wait + Scale(earliest.run, kHopelessShare) > left) {
      return refusal{job_errc::kOverloaded,
                     std::chrono::ceil<milliseconds>(earliest.wait),
                     earliest.wait, earliest.run};
    }
  }
  return std::nullopt;
}

void job_scheduler_impl::Accept(std::unique_ptr<scheduled_job> accepted) {
  accepted->number = ++last_job_;
  scheduled_job& job = *accepted;
  jobs_.emplace(job.number, std::move(accepted));
  jobs_by_key_[job.key] = &job;
  jobs_by_caller_[job.caller] = &job;
  deadlines_.Add(job.deadline, job.number);
  ++counters_.jobs_accepted;
  Record(
      decision_kind::kJobAccepted, job.job_key,
      {{"kind", job.kind->name},
       {"tasks", static_cast<std::int64_t>(job.tasks.size())},
       {"deadline_in_us", (job.deadline - now_).count()},
       {"target_in_us", (job.target - now_).count()},
       {"config_version", static_cast<std::int64_t>(configuration_->version)}});
  UnblockSteps(job);
  DispatchWaiting(job);
}

void job_scheduler_impl::Refuse(const job_submission& event,
                                std::string_view job_key,
                                const refusal& why) {
  ++counters_.jobs_refused;
  Record(
      decision_kind::kJobRefused, job_key.empty() ? event.path : job_key,
      {{"reason", std::string(decision::Name(why.code))},
       {"asked_for", event.unsupported},
       {"retry_after_ms", why.retry_after.count()},
       {"deadline_ms", event.deadline.value_or(milliseconds(0)).count()},
       {"wait_us", why.wait.count()},
       {"run_us", why.run.count()},
       {"config_version", static_cast<std::int64_t>(
                              configuration_ ? configuration_->version : 0)}});
  Emit(
      answer_job{event.caller, job_state::kRefused, why.code, why.retry_after});
}

scheduled_job* job_scheduler_impl::FindJob(std::string_view host,
                                           std::string_view path) {
  const auto route = routes_.Find(host, path);
  if (!route)
    return nullptr;
  const auto found = jobs_by_key_.find(JobKey(route->kind->name, route->rest));
  return found == jobs_by_key_.end() ? nullptr : found->second;
}

void job_scheduler_impl::OnInquiry(job_inquiry& event) {
  const auto route = routes_.Find(event.host, event.path);
  if (!route || !route->rest.empty()) {
    const scheduled_job* job = FindJob(event.host, event.path);
    job_state state = job_state::kUnknown;
    if (job != nullptr) {
      state = job->first_dispatch ? job_state::kRunning : job_state::kQueued;
    }
    Emit(answer_job{event.caller,
                    state,
                    route ? job_errc::kUnknownJob : job_errc::kUnknownKind,
                    {}});
    return;
  }
  answer_backlog answer{event.caller, true, 0};
  for (const auto& [number, job] : jobs_) {
    if (job->kind->name == route->kind->name && !job->first_dispatch)
      ++answer.waiting;
  }
  Emit(answer);
}

void job_scheduler_impl::OnCancellation(job_cancellation& event) {
  scheduled_job* job = FindJob(event.host, event.path);
  if (job == nullptr) {
    Emit(answer_job{
        event.caller, job_state::kUnknown, job_errc::kUnknownJob, {}});
    return;
  }
  Emit(answer_job{
      event.caller, job_state::kCancelled, job_errc::kCancelled, {}});
  Record(decision_kind::kJobCancelled, job->job_key,
         {{"by", std::string("request")},
          {"age_us", (now_ - job->accepted).count()}});
  Finish(*job, job_state::kCancelled, job_errc::kCancelled);
}

void job_scheduler_impl::OnCallerGone(caller_gone& event) {
  const auto found = jobs_by_caller_.find(event.caller);
  if (found == jobs_by_caller_.end())
    return;
  scheduled_job& job = *found->second;
  ++counters_.jobs_cancelled;
  Record(decision_kind::kJobCancelled, job.job_key,
         {{"by", std::string("caller_gone")},
          {"age_us", (now_ - job.accepted).count()},
          {"not_done", std::int64_t{job.not_done}},
          {"outstanding", std::int64_t{job.outstanding}}});
  CancelOutstanding(job);
  Drop(job);
}

// ---- Tasks ----------------------------------------------------------------

void job_scheduler_impl::UnblockSteps(scheduled_job& job) {
  for (const scheduled_step& step : job.steps) {
    const bool open =
        std::ranges::all_of(step.spec.after, [&job](std::uint32_t before) {
          return job.steps[before].not_done == 0;
        });
    if (!open)
      continue;
    for (std::uint32_t index = 0; index < step.spec.count; ++index) {
      const std::uint32_t task = step.first_task + index;
      if (job.tasks[task].phase == task_phase::kBlocked)
        TaskWaits(job, task);
    }
  }
}

void job_scheduler_impl::TaskWaits(scheduled_job& job, std::uint32_t task) {
  job.tasks[task].phase = task_phase::kWaiting;
  ++job.waiting;
  waiting_jobs_.insert(job.number);
  dispatch_again_ = true;
}

void job_scheduler_impl::TaskDone(scheduled_job& job, std::uint32_t task) {
  scheduled_task& done = job.tasks[task];
  done.phase = task_phase::kDone;
  job.may_have_run = true;
  scheduled_step& step = job.steps[done.step];
  --step.not_done;
  if (--job.not_done == 0)
    return Finish(job, job_state::kCompleted, job_errc::kNotReady);
  if (step.not_done == 0)
    UnblockSteps(job);
}

// ---- Ends -----------------------------------------------------------------

// What surely has not run is refused. A job has failed only when one of its
// tasks has failed as often as allowed; otherwise its outcome is not known.
void job_scheduler_impl::GiveUp(scheduled_job& job, job_errc code) {
  const bool not_run = !job.may_have_run && job.outstanding == 0;
  job_state state = job_state::kOutcomeUnknown;
  if (code == job_errc::kTaskFailed)
    state = job_state::kFailed;
  else if (not_run)
    state = job_state::kRefused;
  Finish(job, state, code);
}

void job_scheduler_impl::Finish(scheduled_job& job,
                                job_state state,
                                job_errc code) {
  const microseconds response = now_ - job.accepted;
  const bool completed = state == job_state::kCompleted;
  const bool refused = state == job_state::kRefused;
  counters_.jobs_completed += completed ? 1 : 0;
  counters_.jobs_refused += refused ? 1 : 0;
  counters_.jobs_failed += state == job_state::kFailed ? 1 : 0;
  counters_.jobs_unknown += state == job_state::kOutcomeUnknown ? 1 : 0;
  counters_.jobs_cancelled += state == job_state::kCancelled ? 1 : 0;
  job_measured measured;
  measured.kind = job.kind->name;
  measured.state = state;
  measured.code = code;
  measured.on_time = completed && now_ <= job.target;
  measured.response = response;
  if (job.first_dispatch)
    measured.first_start = *job.first_dispatch - job.accepted;
  Emit(std::move(measured));

  std::vector<event_field> fields{{"kind", job.kind->name},
                                  {"response_us", response.count()},
                                  {"late_us", (now_ - job.target).count()}};
  if (!completed) {
    fields.push_back({"reason", std::string(decision::Name(code))});
    fields.push_back({"not_done", std::int64_t{job.not_done}});
    fields.push_back({"outstanding", std::int64_t{job.outstanding}});
    fields.push_back({"may_have_run", std::int64_t{job.may_have_run ? 1 : 0}});
  }
  const decision_kind kind = completed ? decision_kind::kJobAnswered
                             : refused ? decision_kind::kJobRefused
                                       : decision_kind::kJobFailed;
  Record(kind, job.job_key, std::move(fields));

  Emit(answer_job{job.caller, state, code,
                  refused ? kRetryAfter : milliseconds(0)});
  RememberAnswer(job, state, code);
  CancelOutstanding(job);
  Drop(job);
}

void job_scheduler_impl::RememberAnswer(const scheduled_job& job,
                                        job_state state,
                                        job_errc code) {
  // What was refused or cut off may be tried again.
  if (state == job_state::kRefused || state == job_state::kOutcomeUnknown)
    return;
  const monotonic_time until = now_ + options_.answer_retention;
  answers_[job.key] = {state, code, until};
  answers_by_age_.emplace_back(until, job.key);
  while (!answers_by_age_.empty() &&
         (answers_by_age_.front().first <= now_ ||
          answers_by_age_.size() > kMaxRememberedAnswers)) {
    const auto oldest = answers_.find(answers_by_age_.front().second);
    if (oldest != answers_.end() &&
        oldest->second.until == answers_by_age_.front().first) {
      answers_.erase(oldest);
    }
    answers_by_age_.pop_front();
  }
}

void job_scheduler_impl::Drop(scheduled_job& job) {
  waiting_jobs_.erase(job.number);
  jobs_by_key_.erase(job.key);
  jobs_by_caller_.erase(job.caller);
  jobs_.erase(job.number);
}

void job_scheduler_impl::CheckDeadlines() {
  while (const auto number = deadlines_.PopDue(now_)) {
    const auto found = jobs_.find(*number);
    if (found != jobs_.end())
      GiveUp(*found->second, job_errc::kDeadlinePassed);
  }
}

void job_scheduler_impl::CheckUnoffered() {
  std::vector<scheduled_job*> unoffered;
  for (const std::uint64_t number : waiting_jobs_) {
    scheduled_job& job = *jobs_.at(number);
    const microseconds bound =
        Scale(job.target - job.accepted, kUnofferedShare);
    if (!job.first_dispatch && now_ - job.accepted > bound)
      unoffered.push_back(&job);
  }
  for (scheduled_job* job : unoffered)
    GiveUp(*job, job_errc::kNoEndpoint);
}

}  // namespace egretrack::scheduler
