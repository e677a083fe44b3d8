#include "egretrack/scheduler/job_scheduler.h"

#include <algorithm>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/scheduler/members.h"
#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// With no timer due; silent agents and old answers are looked at this often.
constexpr milliseconds kIdleWake{250};
// Between tries to dispatch what found no agent, if no agent is heard before.
constexpr milliseconds kDispatchRetry{20};
// A draining entry that got no request for so long has no callers left.
constexpr milliseconds kQuietTime{500};

}  // namespace

result<std::unique_ptr<job_scheduler>> job_scheduler::Create(
    scheduler_options options) {
  const bool valid = !options.entry.empty() && options.max_jobs > 0 &&
                     options.agent_silence.count() > 0 &&
                     options.lost_run_timeout > options.agent_silence &&
                     options.drain_bound >= options.drain_grace &&
                     options.drain_end >= options.drain_bound;
  if (!valid)
    return MakeError(errc::kInvalidArgument, "options of the job scheduler");
  return std::make_unique<job_scheduler_impl>(std::move(options));
}

job_scheduler_impl::job_scheduler_impl(scheduler_options options)
    : options_(std::move(options)) {}

void job_scheduler_impl::Begin(monotonic_time now,
                               std::vector<scheduler_command>& commands) {
  now_ = now;
  commands_ = &commands;
}

void job_scheduler_impl::Handle(scheduler_event event,
                                monotonic_time now,
                                std::vector<scheduler_command>& commands) {
  Begin(now, commands);
  using events = event_table<
      scheduler_event, &job_scheduler_impl::OnSubmission,
      &job_scheduler_impl::OnInquiry, &job_scheduler_impl::OnCancellation,
      &job_scheduler_impl::OnCallerGone, &job_scheduler_impl::OnFrame,
      &job_scheduler_impl::OnConfiguration, &job_scheduler_impl::OnMembers,
      &job_scheduler_impl::OnDrain>;
  events::Call(*this, event);
}

monotonic_time job_scheduler_impl::Advance(
    monotonic_time now,
    std::vector<scheduler_command>& commands) {
  Begin(now, commands);
  // Deadlines first: a process that was suspended must not dispatch for
  // callers that are gone.
  CheckDeadlines();
  CheckViews();
  if (dispatch_again_ || now_ >= next_dispatch_) {
    dispatch_again_ = false;
    const std::vector<std::uint64_t> waiting(waiting_jobs_.begin(),
                                             waiting_jobs_.end());
    for (const std::uint64_t number : waiting) {
      const auto found = jobs_.find(number);
      if (found != jobs_.end())
        DispatchWaiting(*found->second);
    }
    CheckUnoffered();
    next_dispatch_ = now_ + kDispatchRetry;
  }
  CheckDrain();
  SendFrames();
  return NextWake();
}

monotonic_time job_scheduler_impl::NextWake() const {
  monotonic_time wake = deadlines_.NextOr(now_ + kIdleWake);
  if (!waiting_jobs_.empty())
    wake = std::min(wake, next_dispatch_);
  return wake;
}

// ---- Configuration and members --------------------------------------------

void job_scheduler_impl::OnConfiguration(configuration_received& event) {
  const std::uint64_t offered = event.configuration->version;
  const std::uint64_t held = configuration_ ? configuration_->version : 0;
  if (configuration_ && offered <= held) {
    if (offered < held) {
      Record(decision_kind::kConfigurationIgnored, "",
             {{"version", static_cast<std::int64_t>(offered)},
              {"in_force", static_cast<std::int64_t>(held)}});
    }
    return;
  }
  configuration_ = std::move(event.configuration);
  routes_ = route_table(configuration_->objects);
  Record(decision_kind::kConfigurationAdopted, "",
         {{"version", static_cast<std::int64_t>(offered)},
          {"before", static_cast<std::int64_t>(held)},
          {"kinds",
           static_cast<std::int64_t>(configuration_->objects.kinds.size())}});
}

void job_scheduler_impl::OnMembers(members_received& event) {
  Normalize(event.members);
  const std::uint64_t hash = HashMembers(event.members);
  if (hash == members_hash_)
    return;
  members_ = std::move(event.members);
  members_hash_ = hash;
  ChoosePreferred();
  Record(decision_kind::kMembersChanged, "",
         {{"entries", static_cast<std::int64_t>(members_.size())}});
}

// ---- Drain ----------------------------------------------------------------

void job_scheduler_impl::OnDrain(drain_requested& /*event*/) {
  if (!drain_.Apply(decision::drain_signal::kDrain))
    return;
  drain_began_ = now_;
}

void job_scheduler_impl::CheckDrain() {
  using decision::drain_phase;
  using decision::drain_signal;
  if (drain_.phase() == drain_phase::kGrace) {
    const microseconds elapsed = now_ - drain_began_;
    const bool quiet = now_ - last_submission_ > kQuietTime;
    if ((elapsed >= options_.drain_grace && quiet) ||
        elapsed >= options_.drain_bound) {
      drain_.Apply(drain_signal::kGraceOver);
      Emit(close_front{});
    }
  }
  if (drain_.phase() == drain_phase::kFinishing &&
      now_ - drain_began_ >= options_.drain_end) {
    while (!jobs_.empty())
      GiveUp(*jobs_.begin()->second, job_errc::kDraining);
  }
  if (drain_.phase() == drain_phase::kFinishing && jobs_.empty() &&
      drain_.Apply(drain_signal::kIdle)) {
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

// ---- Reports --------------------------------------------------------------

scheduler_gauges job_scheduler_impl::gauges() const {
  scheduler_gauges gauges;
  gauges.jobs = jobs_.size();
  gauges.tasks_outstanding = outstanding_;
  for (const std::uint64_t number : waiting_jobs_)
    gauges.tasks_waiting += jobs_.at(number)->waiting;
  gauges.agents = view_list_.size();
  for (const worker_view* view : view_list_) {
    if (!IsUsable(*view))
      continue;
    ++gauges.agents_usable;
    gauges.free_cpu_milli += view->Free().cpu_milli;
  }
  gauges.config_version = configuration_ ? configuration_->version : 0;
  return gauges;
}

void job_scheduler_impl::Emit(scheduler_command command) {
  commands_->push_back(std::move(command));
}

void job_scheduler_impl::Record(decision_kind kind,
                                std::string_view job,
                                std::vector<event_field> fields) {
  Emit(decision_record{kind, std::string(job), std::move(fields)});
}

}  // namespace egretrack::scheduler
