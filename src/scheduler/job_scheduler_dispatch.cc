#include <algorithm>
#include <utility>

#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// An agent returns a task for another placement when it has waited longer than
// the predicted wait, times this factor, plus a margin. The margin is a share
// of the task's slack, so that a wrong prediction costs the task little. A task
// that is already late gets the largest margin, which keeps it from being moved
// between agents that are all full.
constexpr int kQueueBoundFactor = 2;
constexpr double kMarginSlackShare = 1.0 / 16;
constexpr milliseconds kMinMargin{5};
constexpr milliseconds kMaxMargin{100};
// A job without a dispatched task is refused after this share of the time until
// its target, so that the caller can try another entry.
constexpr double kUndispatchedTimeShare = 0.2;

microseconds QueueBound(const placement_candidate& chosen,
                        microseconds time_to_target) {
  const microseconds slack = time_to_target - chosen.run - chosen.wait;
  microseconds margin = kMaxMargin;
  if (slack > microseconds(0)) {
    margin = std::clamp<microseconds>(Scale(slack, kMarginSlackShare),
                                      kMinMargin, kMaxMargin);
  }
  return kQueueBoundFactor * chosen.wait + margin;
}

}  // namespace

// ---- Dispatch -------------------------------------------------------------

bool job_scheduler_impl::IsUsable(const worker_view& view) const {
  return view.worker && !view.draining && !view.silent;
}

bool job_scheduler_impl::CanRun(const worker_view& view,
                                const scheduled_job& job,
                                const job_step& step) const {
  return IsUsable(view) && view.worker->desk == job.kind->desk &&
         view.worker->capacity.Fits(step.need) &&
         (step.required_label.empty() || view.HasLabel(step.required_label));
}

bool job_scheduler_impl::IsEligible(const worker_view& view,
                                    const scheduled_job& job,
                                    std::uint32_t task) const {
  const scheduled_task& state = job.tasks[task];
  const job_step& step = job.steps[state.step].spec;
  if (view.evacuated || !CanRun(view, job, step) ||
      IsShareUsedUp(view, step.need)) {
    return false;
  }
  if (view.health.ejected() && !view.health.IsTrialDue(now_))
    return false;
  if (step.max_per_worker == 0)
    return true;
  const auto running_here =
      std::ranges::count_if(job.tasks, [&](const scheduled_task& other) {
        return other.phase == task_phase::kOutstanding &&
               other.step == state.step && other.agent == &view;
      });
  return static_cast<std::uint32_t>(running_here) < step.max_per_worker;
}

microseconds job_scheduler_impl::PredictRunTime(
    const worker_view& view,
    const scheduled_job& job,
    const scheduled_step& step) const {
  const microseconds run = run_times_.Predict(
      job.kind->name, view.machine_class(), view.agent(), step.estimate);
  const std::string& affinity = step.spec.affinity_label;
  const bool misses_affinity = !affinity.empty() && !view.HasLabel(affinity);
  if (!misses_affinity)
    return run;
  return Scale(run,
               locality_model_.FarFactor(job.kind->name, view.machine_class()));
}

std::vector<placement_candidate> job_scheduler_impl::FindCandidates(
    const scheduled_job& job,
    std::uint32_t task) const {
  const scheduled_task& state = job.tasks[task];
  const scheduled_step& step = job.steps[state.step];
  std::vector<placement_candidate> candidates;
  for (std::size_t index = 0; index < view_list_.size(); ++index) {
    const worker_view& view = *view_list_[index];
    if (!IsEligible(view, job, task))
      continue;
    placement_candidate candidate;
    candidate.view_index = index;
    candidate.run = PredictRunTime(view, job, step);
    candidate.wait = view.PredictWait(step.spec.need, candidate.run) +
                     view.refusals.ExpectedDelay(now_);
    candidate.preferred = view.preferred;
    candidate.same_domain = view.failure_domain == options_.failure_domain;
    candidate.free_cpu_milli = view.FreeResources().cpu_milli;
    const std::string& affinity = step.spec.affinity_label;
    if (!affinity.empty()) {
      candidate.far = !view.HasLabel(affinity);
      candidate.wait = std::max(
          candidate.wait, view.PredictRoomWait(step.spec.need, candidate.run));
    }
    candidates.push_back(candidate);
  }
  // The agent on which the last attempt did not succeed is the last choice,
  // except before far workers on which the task can no longer start in time.
  const auto is_avoided = [&](const placement_candidate& candidate) {
    return view_list_[candidate.view_index] == state.avoided_agent;
  };
  const bool has_other =
      std::ranges::any_of(candidates, [&](const placement_candidate& other) {
        const bool too_late =
            other.far && Scale(other.run, kStartByShare) > job.deadline - now_;
        return !is_avoided(other) && !too_late;
      });
  if (has_other)
    std::erase_if(candidates, is_avoided);
  return candidates;
}

void job_scheduler_impl::DispatchWaitingJobs() {
  // Jobs with equal targets are dispatched by their number.
  std::vector<std::pair<monotonic_time, std::uint64_t>> waiting;
  waiting.reserve(waiting_jobs_.size());
  for (const std::uint64_t number : waiting_jobs_)
    waiting.emplace_back(jobs_.at(number)->target, number);
  std::ranges::sort(waiting);
  for (const auto& [target, number] : waiting) {
    const auto found = jobs_.find(number);
    if (found != jobs_.end())
      DispatchWaitingTasks(*found->second);
  }
}

// After a suspension the ends of callers' connections are still to be read, in
// traffic threads, when the timers of this thread are due.
bool job_scheduler_impl::IsCallerPresent(scheduled_job& job) {
  const presence judged = job.presence.Judge(now_, options_.max_caller_age);
  if (judged == presence::kUnknown) {
    ++counters_.caller_checks;
    RecordDecision(decision_kind::kCallerChecked, job.job_key,
                   {{"seen_age_us", (now_ - job.presence.seen_at()).count()},
                    {"waiting", std::int64_t{job.waiting}},
                    {"outstanding", std::int64_t{job.outstanding}}});
    job.presence.RecordCheck();
    Emit(check_caller{job.caller});
  }
  return judged == presence::kPresent;
}

void job_scheduler_impl::DispatchWaitingTasks(scheduled_job& job) {
  if (!IsCallerPresent(job))
    return;
  const std::uint64_t number = job.number;
  for (std::uint32_t task = 0; task < job.tasks.size() && job.waiting > 0;
       ++task) {
    if (job.tasks[task].phase == task_phase::kWaiting &&
        !DispatchTask(job, task))
      break;
  }
  if (job.waiting == 0)
    waiting_jobs_.erase(number);
}

bool job_scheduler_impl::DispatchTask(scheduled_job& job, std::uint32_t task) {
  const auto candidates = FindCandidates(job, task);
  const auto placed = PlaceByLocality(job, task, candidates);
  const auto chosen =
      placed ? std::optional(placed->chosen) : ChoosePlacement(candidates);
  if (!chosen)
    return false;
  scheduled_task& state = job.tasks[task];
  const scheduled_step& step = job.steps[state.step];
  worker_view& view = *view_list_[chosen->view_index];
  state.phase = task_phase::kOutstanding;
  state.agent = &view;
  state.session = view.session;
  state.dispatched_at = now_;
  state.predicted_run_time = chosen->run;
  ++state.attempt;
  if (view.health.ejected()) {
    state.is_trial = true;
    view.health.StartTrial();
  }
  --job.waiting;
  ++job.outstanding;
  ++outstanding_;
  if (view.outstanding++ == 0)
    view.busy_since = now_;
  ++counters_.dispatches;
  if (!job.first_dispatch)
    job.first_dispatch = now_;
  microseconds queue_bound = QueueBound(*chosen, job.target - now_);
  if (placed) {
    queue_bound = std::max<microseconds>(
        QueueBoundByPlan(placed->plan, queue_bound), kMinMargin);
  }
  std::vector<event_field> fields{
      {"task", std::int64_t{task}},
      {"attempt", std::int64_t{state.attempt}},
      {"agent", view.agent()},
      {"wait_us", chosen->wait.count()},
      {"run_us", chosen->run.count()},
      {"free_cpu_milli", chosen->free_cpu_milli},
      {"view_age_us", (now_ - view.last_contact).count()},
      {"candidates", static_cast<std::int64_t>(candidates.size())}};
  if (!step.spec.affinity_label.empty())
    RecordLocalityDispatch(job, task, *chosen, placed, queue_bound, fields);
  RecordDecision(decision_kind::kTaskDispatched, job.job_key,
                 std::move(fields));

  wire::run_dispatch dispatch;
  dispatch.job = job.number;
  dispatch.task = task;
  dispatch.attempt = state.attempt;
  dispatch.job_key = job.job_key;
  dispatch.step = state.step;
  dispatch.index = state.index;
  dispatch.need = step.spec.need;
  dispatch.spec = job.spec;
  dispatch.predicted = chosen->run;
  dispatch.start_by = job.deadline - Scale(chosen->run, kStartByShare);
  dispatch.target = job.target - now_;
  dispatch.virtual_deadline = dispatch.target;
  dispatch.queue_bound = queue_bound;
  dispatch.worker_revision = view.worker->revision;
  view.RecordDispatch(step.spec.need);
  view.outgoing.emplace_back(std::move(dispatch));
  return true;
}

void job_scheduler_impl::CancelOutstanding(scheduled_job& job) {
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    scheduled_task& task = job.tasks[index];
    if (task.phase != task_phase::kOutstanding)
      continue;
    worker_view& view = *task.agent;
    ObserveStoppedRun(job, task);
    if (task.is_trial)
      view.health.AbandonTrial();
    EndDispatch(job, index);
    // An agent that is silent or has a new session stops the run without a
    // message; a message would only show the agent that this entry is alive.
    if (view.silent || task.session != view.session)
      continue;
    auto* last = view.outgoing.empty()
                     ? nullptr
                     : std::get_if<wire::run_cancel>(&view.outgoing.back());
    if (last == nullptr || last->job != job.number)
      view.outgoing.emplace_back(wire::run_cancel{job.number, {}});
  }
}

void job_scheduler_impl::RefuseUndispatchedJobs() {
  std::vector<scheduled_job*> undispatched;
  for (const std::uint64_t number : waiting_jobs_) {
    scheduled_job& job = *jobs_.at(number);
    const microseconds max_wait =
        Scale(job.target - job.accepted_at, kUndispatchedTimeShare);
    const bool waits_too_long =
        !job.first_dispatch && now_ - job.accepted_at > max_wait;
    const bool not_run = job.outstanding == 0 && !job.may_have_run;
    if (waits_too_long || (not_run && NeedsEvacuatedWorker(job)))
      undispatched.push_back(&job);
  }
  for (scheduled_job* job : undispatched)
    AbandonJob(*job, job_errc::kNoEndpoint);
}

void job_scheduler_impl::SendFrames() {
  for (worker_view* view : view_list_) {
    if (view->outgoing.empty())
      continue;
    send_to_agent send;
    send.link = view->link;
    send.frame.connection = view->session.connection;
    send.frame.entry = options_.entry;
    send.frame.entry_incarnation = options_.entry_incarnation;
    send.frame.entry_time = now_;
    send.frame.messages = std::exchange(view->outgoing, {});
    view->last_sent = now_;
    Emit(std::move(send));
  }
}

}  // namespace egretrack::scheduler
