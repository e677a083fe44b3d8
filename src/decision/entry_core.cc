#include "egretrack/decision/entry_core.h"

#include <algorithm>
#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr std::uint32_t kMaxReservedIds = 1000;
constexpr std::uint64_t kCreatedMask =
    (1ULL << 48U) - 1;  // Of job_id::created_ms.
constexpr microseconds kTickInterval = milliseconds(100);
constexpr microseconds kMatchInterval = seconds(1);  // To follow shifts.
constexpr microseconds kAgentRetention = seconds(60);
constexpr milliseconds kMaxDuration = std::chrono::hours(24);

bool IsDuration(microseconds value) {
  return value.count() > 0 && value <= kMaxDuration;
}

bool IsFraction(double value) {
  return value >= 0 && value <= 1;
}

}  // namespace

result<std::unique_ptr<entry_core>> entry_core::Create(entry_options options) {
  if (!IsValidName(options.entry))
    return MakeError(errc::kInvalidArgument, "entry id");
  if (!IsDuration(options.retention) || !IsDuration(options.start_by) ||
      !IsDuration(options.silence_timeout)) {
    return MakeError(
        errc::kInvalidArgument,
        "retention, start_by or silence timeout of the entry is out of range");
  }
  if (options.drain_grace.count() < 0 || options.drain_grace > kMaxDuration)
    return MakeError(errc::kInvalidArgument,
                     "drain grace time of the entry is out of range");
  if (!IsFraction(options.retry_budget) || !IsFraction(options.long_share))
    return MakeError(
        errc::kInvalidArgument,
        "retry_budget or long_share of the entry is not between 0 and 1");
  if (options.max_job_records == 0 || options.max_queued_tasks == 0)
    return MakeError(errc::kInvalidArgument,
                     "max_job_records or max_queued_tasks of the entry is 0");
  return std::unique_ptr<entry_core>(
      std::make_unique<entry_core_impl>(std::move(options)));
}

entry_core_impl::entry_core_impl(entry_options options)
    : options_(std::move(options)),
      jobs_(options_.max_job_records, options_.retention),
      routing_(MakeRouting(options_.routing, options_.random_seed)),
      ordering_(MakeOrdering(options_.ordering)),
      retries_(options_.retry_budget),
      random_(options_.random_seed ^
              static_cast<std::uint64_t>(options_.entry_incarnation)) {}

void entry_core_impl::Handle(entry_event event,
                             monotonic_time now,
                             wall_time wall,
                             std::vector<entry_command>& commands) {
  static constexpr auto kTable =
      EventTable(std::make_index_sequence<std::variant_size_v<entry_event>>());
  BeginCall(now, wall, commands);
  (this->*kTable[event.index()])(event);
  EndCall();
}

monotonic_time entry_core_impl::Advance(monotonic_time now,
                                        wall_time wall,
                                        std::vector<entry_command>& commands) {
  BeginCall(now, wall, commands);
  EndCall();
  timers_.Prune([this](const timer& due) { return IsStale(due); });
  return timers_.NextOr(next_tick_);
}

bool entry_core_impl::ready() const {
  return catalog_.version() != 0 && !agents_.empty() &&
         drain_.phase() == drain_phase::kServing;
}

// Timers run before the event, so that no event handler finds a job open after
// its deadline.
void entry_core_impl::BeginCall(monotonic_time now,
                                wall_time wall,
                                std::vector<entry_command>& commands) {
  now_ = now;
  wall_ = wall;
  commands_ = &commands;
  RunTimers();
}

void entry_core_impl::EndCall() {
  if (match_agents_) {
    match_agents_ = false;
    catalog_.Match(agents_, wall_);
    MarkQueuedKindsReady();
  }
  DispatchReadyWork();
  if (drain_.phase() == drain_phase::kFinishing && jobs_.running() == 0 &&
      lookups_.empty() && drain_.Apply(drain_event::kIdle)) {
    Emit(drain_finished{});
  }
  commands_ = nullptr;
}

void entry_core_impl::RunTimers() {
  while (const auto due = timers_.PopDue(now_))
    (this->*due->handler)(due->subject);
  if (now_ < next_tick_)
    return;
  next_tick_ = now_ + kTickInterval;
  Tick();
}

void entry_core_impl::Tick() {
  jobs_.Expire(now_);
  agents_.ForEach([this](entry_agent& agent) {
    if (now_ - agent.last_contact > options_.silence_timeout)
      agent.membership.Apply(membership_event::kTimeout);
    if (agent.health.IsTrialDue(now_))
      ready_agents_.push_back(&agent);
  });
  RunTaskChecks(first_checks_);
  RunTaskChecks(repeated_checks_);
  if (now_ < next_match_)
    return;
  next_match_ = now_ + kMatchInterval;
  match_agents_ = true;
  // The kinds and ready_agents_ must not keep pointers to removed agents.
  ready_agents_.clear();
  if (agents_.RemoveInactive(now_ - kAgentRetention))
    catalog_.Match(agents_, wall_);
}

// True for the deadline of a job that has already ended. Such a timer must not
// wake the control thread.
bool entry_core_impl::IsStale(const timer& due) {
  if (due.handler != &entry_core_impl::OnDeadline)
    return false;
  const entry_job* job = jobs_.FindBySequence(due.subject);
  return job == nullptr || job->lifecycle.ended();
}

void entry_core_impl::On(reserve_request& event) {
  reserve_answer answer{event.caller, {}};
  const std::uint32_t count = std::clamp(event.count, 1U, kMaxReservedIds);
  answer.ids.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i)
    answer.ids.push_back(NewId());
  Emit(std::move(answer));
}

void entry_core_impl::On(configuration_received& event) {
  if (!catalog_.Adopt(std::move(event.configuration),
                      static_cast<std::uint32_t>(entries()))) {
    return;
  }
  RecountQuotas();
  match_agents_ = true;
}

void entry_core_impl::RecountQuotas() {
  jobs_.ForEachRunning([this](entry_job& job) {
    if (quota_node* node =
            catalog_.FindQuota(job.kind->config.desk, job.team)) {
      job.quota = node;
    }
    if (job.lifecycle.phase() == job_phase::kBinding)
      return;
    job.quota->AddQueued(static_cast<int>(job.queued()));
    job.quota->AddRunning(static_cast<int>(job.outstanding));
  });
}

void entry_core_impl::On(drain_entry& /*event*/) {
  if (drain_.Apply(drain_event::kDrain))
    timers_.Add(now_ + options_.drain_grace,
                {&entry_core_impl::OnGraceOver, 0});
}

void entry_core_impl::OnGraceOver(std::uint64_t /*subject*/) {
  drain_.Apply(drain_event::kGraceOver);
}

void entry_core_impl::On(drain_agent& event) {
  entry_agent* agent = agents_.Find(event.agent);
  if (agent != nullptr) {
    agent->drain_requested = true;
    Send(*agent, wire::drain_request{});
  }
  Emit(drain_answer{event.caller, agent != nullptr});
}

void entry_core_impl::On(status_request& event) {
  entry_status status;
  status.entry = options_.entry;
  status.entry_incarnation = options_.entry_incarnation;
  status.config_version = catalog_.version();
  status.ready = ready();
  status.draining = drain_.phase() != drain_phase::kServing;
  status.jobs_running = jobs_.running();
  status.tasks_queued = queued_tasks_;
  agents_.ForEach([&status](const entry_agent& agent) {
    agent_status& row = status.agents.emplace_back();
    row.agent = agent.name;
    row.endpoint = agent.endpoint;
    row.failure_domain = agent.failure_domain;
    row.config_version = agent.config_version;
    row.slots = agent.slots;
    row.outstanding = static_cast<std::uint32_t>(agent.outstanding.size());
    row.reachable = agent.membership.reachable();
    row.draining = agent.draining;
    row.ejected = agent.health.ejected();
  });
  Emit(status_answer{event.caller, std::move(status)});
}

void entry_core_impl::Emit(entry_command command) {
  commands_->push_back(std::move(command));
}

void entry_core_impl::Send(const entry_agent& agent,
                           wire::entry_message message) {
  Emit(send_to_agent{agent.link, agent.connection, std::move(message)});
}

job_id entry_core_impl::NewId() {
  const auto age =
      std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
  return {options_.entry, options_.entry_incarnation,
          static_cast<std::uint64_t>(age.count()) & kCreatedMask, random_()};
}

}  // namespace egretrack::decision
