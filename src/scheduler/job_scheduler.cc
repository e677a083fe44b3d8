#include "egretrack/scheduler/job_scheduler.h"

#include <algorithm>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/scheduler/members.h"
#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// Longest time until the next Advance() without a due timer; silent agents are
// detected there.
constexpr milliseconds kMaxWakeupDelay{250};
// Between attempts to dispatch waiting tasks, unless a frame arrives before.
constexpr milliseconds kDispatchRetryInterval{20};
// A draining entry that has received no submission for this time has no callers
// left.
constexpr milliseconds kQuietPeriod{500};
constexpr std::size_t kMaxCachedAnswers = 4096;
// A key may be almost as long as the header of its request.
constexpr std::size_t kMaxCachedKeyBytes = 4U << 20U;

}  // namespace

result<std::unique_ptr<job_scheduler>> job_scheduler::Create(
    scheduler_options options) {
  const bool valid = !options.entry.empty() && options.max_jobs > 0 &&
                     options.agent_silence.count() > 0 &&
                     options.lost_run_timeout > options.agent_silence &&
                     options.max_caller_age.count() > 0 &&
                     options.max_caller_round_trip.count() >= 0 &&
                     options.idle_agent_silence >= options.agent_silence &&
                     options.drain_bound >= options.drain_grace &&
                     options.drain_end >= options.drain_bound &&
                     options.far_run_time_factor >= 1;
  if (!valid)
    return MakeError(errc::kInvalidArgument,
                     "job scheduler option out of range");
  return std::make_unique<job_scheduler_impl>(std::move(options));
}

job_scheduler_impl::job_scheduler_impl(scheduler_options options)
    : options_(std::move(options)),
      contact_history_(options_.resubmit_after),
      locality_model_(options_.far_run_time_factor),
      reluctances_(options_.entry),
      job_memory_(options_.max_job_bytes) {}

void job_scheduler_impl::BeginCall(monotonic_time now,
                                   std::vector<scheduler_command>& commands) {
  now_ = now;
  commands_ = &commands;
}

void job_scheduler_impl::Handle(scheduler_event event,
                                monotonic_time now,
                                std::vector<scheduler_command>& commands) {
  BeginCall(now, commands);
  using events = event_table<
      scheduler_event, &job_scheduler_impl::OnSubmission,
      &job_scheduler_impl::OnInquiry, &job_scheduler_impl::OnCancellation,
      &job_scheduler_impl::OnCallerDisconnected,
      &job_scheduler_impl::OnCallerSeen, &job_scheduler_impl::OnFrame,
      &job_scheduler_impl::OnConfiguration, &job_scheduler_impl::OnMembers,
      &job_scheduler_impl::OnDrain, &job_scheduler_impl::OnEvacuations>;
  events::Call(*this, event);
}

monotonic_time job_scheduler_impl::Advance(
    monotonic_time now,
    std::vector<scheduler_command>& commands) {
  BeginCall(now, commands);
  // Deadlines come first, so that a process that was suspended does not
  // dispatch tasks of expired jobs.
  ExpireDeadlines();
  CheckAgentTimeouts();
  LookAtDelayedCallers();
  if (dispatch_needed_ || now_ >= next_dispatch_retry_) {
    dispatch_needed_ = false;
    DispatchWaitingJobs();
    RefuseUndispatchedJobs();
    next_dispatch_retry_ = now_ + kDispatchRetryInterval;
  }
  RecordUnknownDomains();
  CheckDrain();
  SendFrames();
  return NextWakeup();
}

monotonic_time job_scheduler_impl::NextWakeup() const {
  monotonic_time wakeup =
      std::min(deadlines_.NextOr(now_ + kMaxWakeupDelay), NextDelayedLook());
  if (!waiting_jobs_.empty())
    wakeup = std::min(wakeup, next_dispatch_retry_);
  return wakeup;
}

// ---- Configuration and members --------------------------------------------

void job_scheduler_impl::OnConfiguration(configuration_received& event) {
  const std::uint64_t received = event.configuration->version;
  const std::uint64_t current = configuration_ ? configuration_->version : 0;
  if (configuration_ && received <= current) {
    if (received < current) {
      RecordDecision(decision_kind::kConfigurationIgnored, "",
                     {{"version", static_cast<std::int64_t>(received)},
                      {"in_force", static_cast<std::int64_t>(current)}});
    }
    return;
  }
  configuration_ = std::move(event.configuration);
  routes_ = route_table(configuration_->objects);
  RecordDecision(decision_kind::kConfigurationAdopted, "",
                 {{"version", static_cast<std::int64_t>(received)},
                  {"before", static_cast<std::int64_t>(current)},
                  {"kinds", static_cast<std::int64_t>(
                                configuration_->objects.kinds.size())}});
}

void job_scheduler_impl::OnMembers(members_received& event) {
  Normalize(event.members);
  const std::uint64_t hash = HashMembers(event.members);
  if (hash == members_hash_)
    return;
  members_ = std::move(event.members);
  members_hash_ = hash;
  SelectPreferredAgents();
  RecordDecision(decision_kind::kMembersChanged, "",
                 {{"entries", static_cast<std::int64_t>(members_.size())}});
}

// ---- Drain ----------------------------------------------------------------

void job_scheduler_impl::OnDrain(drain_requested& /*event*/) {
  if (!drain_.Apply(decision::drain_event::kDrain))
    return;
  drain_started_at_ = now_;
}

void job_scheduler_impl::CheckDrain() {
  using decision::drain_event;
  using decision::drain_phase;
  if (drain_.phase() == drain_phase::kGrace) {
    const microseconds elapsed = now_ - drain_started_at_;
    const bool quiet = now_ - last_submission_ > kQuietPeriod;
    if ((elapsed >= options_.drain_grace && quiet) ||
        elapsed >= options_.drain_bound) {
      drain_.Apply(drain_event::kGraceOver);
      Emit(close_front{});
    }
  }
  if (drain_.phase() == drain_phase::kFinishing &&
      now_ - drain_started_at_ >= options_.drain_end) {
    while (!jobs_.empty())
      AbandonJob(*jobs_.begin()->second, job_errc::kDraining);
    RefuseDelayedSubmissions(job_errc::kDraining);
  }
  if (drain_.phase() == drain_phase::kFinishing && jobs_.empty() &&
      delayed_submissions_.empty() && drain_.Apply(drain_event::kIdle)) {
    Emit(drain_finished{});
  }
}

bool job_scheduler_impl::ready() const {
  return configuration_ != nullptr &&
         drain_.phase() == decision::drain_phase::kServing &&
         std::any_of(
             view_list_.begin(), view_list_.end(),
             [this](const worker_view* view) { return IsUsable(*view); });
}

// ---- Metrics and records --------------------------------------------------

scheduler_gauges job_scheduler_impl::gauges() const {
  scheduler_gauges gauges;
  gauges.jobs = jobs_.size();
  gauges.job_bytes = job_memory_.used();
  gauges.tasks_outstanding = outstanding_;
  for (const std::uint64_t number : waiting_jobs_)
    gauges.tasks_waiting += jobs_.at(number)->waiting;
  gauges.agents = view_list_.size();
  for (const worker_view* view : view_list_) {
    if (!IsUsable(*view))
      continue;
    ++gauges.agents_usable;
    gauges.free_cpu_milli += view->FreeResources().cpu_milli;
  }
  gauges.evacuated_domains = evacuations_.CountEvacuated();
  gauges.config_version = configuration_ ? configuration_->version : 0;
  return gauges;
}

void job_scheduler_impl::Emit(scheduler_command command) {
  commands_->push_back(std::move(command));
}

void job_scheduler_impl::RecordDecision(decision_kind kind,
                                        std::string_view job,
                                        std::vector<event_field> fields) {
  Emit(decision_record{kind, std::string(job), std::move(fields)});
}

// ---- Answers that are repeated --------------------------------------------

void job_scheduler_impl::CacheAnswer(const scheduled_job& job,
                                     job_state state,
                                     job_errc code) {
  // A resubmission may run a refused job or one with unknown outcome again.
  if (state == job_state::kRefused || state == job_state::kOutcomeUnknown)
    return;
  const monotonic_time expires_at = now_ + options_.answer_retention;
  cached_answers_[job.key] = {state, code, expires_at};
  cached_answer_expiry_.emplace_back(expires_at, job.key);
  cached_key_bytes_ += job.key.size();
  while (!cached_answer_expiry_.empty() &&
         (cached_answer_expiry_.front().first <= now_ ||
          cached_answer_expiry_.size() > kMaxCachedAnswers ||
          cached_key_bytes_ > kMaxCachedKeyBytes)) {
    const auto oldest =
        cached_answers_.find(cached_answer_expiry_.front().second);
    if (oldest != cached_answers_.end() &&
        oldest->second.expires_at == cached_answer_expiry_.front().first) {
      cached_answers_.erase(oldest);
    }
    cached_key_bytes_ -= cached_answer_expiry_.front().second.size();
    cached_answer_expiry_.pop_front();
  }
}

}  // namespace egretrack::scheduler
