#include <algorithm>
#include <utility>

#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// For tasks without an estimate; most tasks run for about this time.
constexpr milliseconds kDefaultEstimate{200};

std::string JobKey(std::string_view kind, std::string_view job_key) {
  std::string key(kind);
  key += '/';
  key += job_key;
  return key;
}

// Sum of the estimates along the longest chain of dependent steps.
microseconds CriticalPathLength(std::span<const scheduled_step> steps) {
  std::vector<microseconds> ends;
  microseconds longest{0};
  for (const scheduled_step& step : steps) {
    microseconds start{0};
    for (const std::uint32_t dependency : step.spec.after)
      start = std::max(start, ends[dependency]);
    ends.push_back(start + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

// ---- Requests -------------------------------------------------------------

void job_scheduler_impl::OnSubmission(job_submission& event) {
  last_submission_ = now_;
  if (!configuration_)
    return Refuse(event, "", "", {job_errc::kNotReady, {}, {}, {}});
  const auto route = routes_.Find(event.host, event.path);
  if (!route)
    return Refuse(event, "", "", {job_errc::kUnknownKind, {}, {}, {}});
  const std::string job_key(route->remaining_path);
  if (!drain_.accepts_jobs())
    return Refuse(event, route->kind->name, job_key,
                  {job_errc::kDraining, {}, {}, {}});
  if (MayBeDelayed(event))
    return DelaySubmission(event);
  Submit(event, *route);
}

void job_scheduler_impl::Submit(job_submission& event,
                                const route_match& route) {
  const std::string job_key(route.remaining_path);
  if (AttachCaller(event, JobKey(route.kind->name, route.remaining_path)))
    return;
  if (auto refused = CheckContent(event))
    return Refuse(event, route.kind->name, job_key, *refused);
  const std::size_t memory = EstimateJobBytes(event);
  if (jobs_.size() >= options_.max_jobs || !job_memory_.Admits(memory)) {
    ++counters_.jobs_over_limit;
    return Refuse(event, route.kind->name, job_key,
                  {job_errc::kRecordsFull, {}, {}, {}});
  }
  auto job = MakeJob(event, route);
  job->memory = memory;
  if (NeedsEvacuatedWorker(*job))
    return Refuse(event, route.kind->name, job_key,
                  {job_errc::kNoEndpoint, {}, {}, {}});
  if (auto refused = CheckCapacity(*job))
    return Refuse(event, route.kind->name, job_key, *refused);
  Accept(std::move(job));
}

// Handles the resubmission of a job that is unanswered or was recently
// answered; returns false for any other job.
bool job_scheduler_impl::AttachCaller(const job_submission& event,
                                      std::string_view key) {
  const auto existing = jobs_by_key_.find(std::string(key));
  if (existing != jobs_by_key_.end()) {
    scheduled_job& job = *existing->second;
    RecordDecision(decision_kind::kJobAttached, job.job_key,
                   {{"age_us", (now_ - job.accepted_at).count()}});
    jobs_by_caller_.erase(job.caller);
    Emit(answer_job{
        job.caller, job_state::kSuperseded, job_errc::kCancelled, {}});
    job.caller = event.caller;
    job.presence = caller_presence(event.caller_seen_at);
    jobs_by_caller_[job.caller] = &job;
    return true;
  }
  const auto cached = cached_answers_.find(std::string(key));
  if (cached == cached_answers_.end() || cached->second.expires_at <= now_)
    return false;
  Emit(answer_job{event.caller, cached->second.state, cached->second.code, {}});
  return true;
}

std::unique_ptr<scheduled_job> job_scheduler_impl::MakeJob(
    job_submission& event,
    const route_match& route) const {
  auto job = std::make_unique<scheduled_job>();
  job->key = JobKey(route.kind->name, route.remaining_path);
  job->job_key = std::string(route.remaining_path);
  job->configuration = configuration_;
  job->kind = route.kind;
  job->caller = event.caller;
  job->presence = caller_presence(event.caller_seen_at);
  job->spec = std::move(event.spec);
  job->accepted_at = now_;
  job->deadline = now_ + event.deadline.value_or(route.kind->deadline);
  for (job_step& spec : event.steps) {
    scheduled_step step;
    step.first_task = static_cast<std::uint32_t>(job->tasks.size());
    step.unfinished_tasks = spec.count;
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
  job->unfinished_tasks = static_cast<std::uint32_t>(job->tasks.size());
  job->target = now_ + route.kind->target +
                Scale(CriticalPathLength(job->steps), route.kind->stretch);
  return job;
}

void job_scheduler_impl::Accept(std::unique_ptr<scheduled_job> accepted) {
  accepted->number = ++last_job_number_;
  scheduled_job& job = *accepted;
  job_memory_.Add(job.memory);
  jobs_.emplace(job.number, std::move(accepted));
  jobs_by_key_[job.key] = &job;
  jobs_by_caller_[job.caller] = &job;
  deadlines_.Add(job.deadline, job.number);
  ++counters_.jobs_accepted;
  RecordDecision(
      decision_kind::kJobAccepted, job.job_key,
      {{"kind", job.kind->name},
       {"tasks", static_cast<std::int64_t>(job.tasks.size())},
       {"deadline_in_us", (job.deadline - now_).count()},
       {"target_in_us", (job.target - now_).count()},
       {"config_version", static_cast<std::int64_t>(configuration_->version)}});
  UnblockSteps(job);
  DispatchWaitingTasks(job);
}

scheduled_job* job_scheduler_impl::FindJob(std::string_view host,
                                           std::string_view path) {
  const auto route = routes_.Find(host, path);
  if (!route)
    return nullptr;
  const auto found =
      jobs_by_key_.find(JobKey(route->kind->name, route->remaining_path));
  return found == jobs_by_key_.end() ? nullptr : found->second;
}

void job_scheduler_impl::OnInquiry(job_inquiry& event) {
  const auto route = routes_.Find(event.host, event.path);
  if (!route || !route->remaining_path.empty()) {
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
  if (job == nullptr && !event.forwarded && members_.size() > 1)
    return Emit(cancel_at_peers{event.caller, event.host, event.path});
  if (job == nullptr) {
    return Emit(answer_job{
        event.caller, job_state::kUnknown, job_errc::kUnknownJob, {}});
  }
  Emit(answer_job{
      event.caller, job_state::kCancelled, job_errc::kCancelled, {}});
  RecordDecision(decision_kind::kJobCancelled, job->job_key,
                 {{"by", std::string("request")},
                  {"age_us", (now_ - job->accepted_at).count()}});
  FinishJob(*job, job_state::kCancelled, job_errc::kCancelled);
}

void job_scheduler_impl::OnCallerDisconnected(caller_disconnected& event) {
  if (DropDelayedSubmission(event.caller))
    return;
  const auto found = jobs_by_caller_.find(event.caller);
  if (found == jobs_by_caller_.end())
    return;
  scheduled_job& job = *found->second;
  ++counters_.jobs_cancelled;
  RecordDecision(decision_kind::kJobCancelled, job.job_key,
                 {{"by", std::string("caller_gone")},
                  {"age_us", (now_ - job.accepted_at).count()},
                  {"not_done", std::int64_t{job.unfinished_tasks}},
                  {"outstanding", std::int64_t{job.outstanding}}});
  CancelOutstanding(job);
  RemoveJob(job);
}

void job_scheduler_impl::OnCallerSeen(caller_seen& event) {
  if (ResumeSubmission(event))
    return;
  const auto found = jobs_by_caller_.find(event.caller);
  if (found == jobs_by_caller_.end())
    return;
  found->second->presence.RecordSeen(event.seen_at);
  dispatch_needed_ = true;
}

// ---- Tasks ----------------------------------------------------------------

void job_scheduler_impl::UnblockSteps(scheduled_job& job) {
  for (const scheduled_step& step : job.steps) {
    const bool is_unblocked =
        std::ranges::all_of(step.spec.after, [&job](std::uint32_t dependency) {
          return job.steps[dependency].unfinished_tasks == 0;
        });
    if (!is_unblocked)
      continue;
    for (std::uint32_t index = 0; index < step.spec.count; ++index) {
      const std::uint32_t task = step.first_task + index;
      if (job.tasks[task].phase == task_phase::kBlocked)
        EnqueueTask(job, task);
    }
  }
}

void job_scheduler_impl::EnqueueTask(scheduled_job& job, std::uint32_t task) {
  job.tasks[task].phase = task_phase::kWaiting;
  ++job.waiting;
  waiting_jobs_.insert(job.number);
  dispatch_needed_ = true;
}

void job_scheduler_impl::CompleteTask(scheduled_job& job, std::uint32_t task) {
  scheduled_task& done = job.tasks[task];
  done.phase = task_phase::kDone;
  job.may_have_run = true;
  scheduled_step& step = job.steps[done.step];
  --step.unfinished_tasks;
  if (--job.unfinished_tasks == 0)
    return FinishJob(job, job_state::kCompleted, job_errc::kNotReady);
  if (step.unfinished_tasks == 0)
    UnblockSteps(job);
}

// ---- End of a job ---------------------------------------------------------

// Answers a job that can't complete: refused if certainly no task has run,
// failed if a task used up its attempts, otherwise with an unknown outcome.
void job_scheduler_impl::AbandonJob(scheduled_job& job, job_errc code) {
  const bool not_run = !job.may_have_run && job.outstanding == 0;
  job_state state = job_state::kOutcomeUnknown;
  if (code == job_errc::kTaskFailed)
    state = job_state::kFailed;
  else if (not_run)
    state = job_state::kRefused;
  FinishJob(job, state, code);
}

void job_scheduler_impl::FinishJob(scheduled_job& job,
                                   job_state state,
                                   job_errc code) {
  const microseconds response_time = now_ - job.accepted_at;
  const bool completed = state == job_state::kCompleted;
  const bool refused = state == job_state::kRefused;
  counters_.jobs_completed += completed ? 1 : 0;
  if (completed)
    retry_delay_.RecordCompletion(now_);
  counters_.jobs_refused += refused ? 1 : 0;
  counters_.jobs_failed += state == job_state::kFailed ? 1 : 0;
  counters_.jobs_unknown += state == job_state::kOutcomeUnknown ? 1 : 0;
  counters_.jobs_cancelled += state == job_state::kCancelled ? 1 : 0;
  job_metrics metrics;
  metrics.kind = job.kind->name;
  metrics.state = state;
  metrics.code = code;
  metrics.on_time = completed && now_ <= job.target;
  metrics.response_time = response_time;
  if (job.first_dispatch)
    metrics.first_dispatch_delay = *job.first_dispatch - job.accepted_at;
  Emit(std::move(metrics));

  std::vector<event_field> fields{{"kind", job.kind->name},
                                  {"response_us", response_time.count()},
                                  {"late_us", (now_ - job.target).count()}};
  if (!completed) {
    fields.push_back({"reason", std::string(decision::Name(code))});
    fields.push_back({"not_done", std::int64_t{job.unfinished_tasks}});
    fields.push_back({"outstanding", std::int64_t{job.outstanding}});
    fields.push_back({"may_have_run", std::int64_t{job.may_have_run ? 1 : 0}});
  }
  milliseconds retry_after{0};
  if (refused)
    retry_after = DecideRetry(job.kind->name, job.job_key, code, fields);
  const decision_kind kind = completed ? decision_kind::kJobAnswered
                             : refused ? decision_kind::kJobRefused
                                       : decision_kind::kJobFailed;
  RecordDecision(kind, job.job_key, std::move(fields));

  Emit(answer_job{job.caller, state, code, retry_after});
  CacheAnswer(job, state, code);
  CancelOutstanding(job);
  RemoveJob(job);
}

void job_scheduler_impl::RemoveJob(scheduled_job& job) {
  job_memory_.Remove(job.memory);
  waiting_jobs_.erase(job.number);
  jobs_by_key_.erase(job.key);
  jobs_by_caller_.erase(job.caller);
  jobs_.erase(job.number);
}

void job_scheduler_impl::ExpireDeadlines() {
  while (const auto number = deadlines_.PopDue(now_)) {
    const auto found = jobs_.find(*number);
    if (found != jobs_.end())
      AbandonJob(*found->second, job_errc::kDeadlinePassed);
  }
}

}  // namespace egretrack::scheduler
