#include <algorithm>
#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr microseconds kFirstCheckDelay = seconds(2);

constexpr std::size_t kNotFound = static_cast<std::size_t>(-1);

// Position in job.returned of a task that may go to the agent, or kNotFound.
std::size_t FindReturned(const entry_job& job,
                         const entry_agent& agent,
                         monotonic_time now) {
  const auto excludes_agent = [&agent, now](const exclusion& each) {
    return each.agent_incarnation == agent.agent_incarnation &&
           now < each.until;
  };
  for (std::size_t i = 0; i < job.returned.size(); ++i) {
    const auto& excluded = job.tasks[job.returned[i]].excluded;
    if (std::none_of(excluded.begin(), excluded.end(), excludes_agent))
      return i;
  }
  return kNotFound;
}

// Accepts the jobs with a queued task that may go to the agent.
class agent_filter final : public placement_filter {
 public:
  agent_filter(const entry_agent& agent, monotonic_time now)
      : agent_(agent), now_(now) {}

  bool Accepts(const queue_item& item) const override {
    const auto& job = static_cast<const entry_job&>(item);
    return job.next_unsent < job.tasks.size() ||
           FindReturned(job, agent_, now_) != kNotFound;
  }

 private:
  const entry_agent& agent_;
  const monotonic_time now_;
};

// Removes one of the job's queued tasks and returns its index. Returned tasks
// go first, because they have waited longest.
task_index RemoveQueuedTask(entry_job& job,
                            const entry_agent& agent,
                            monotonic_time now) {
  const std::size_t position = FindReturned(job, agent, now);
  if (position == kNotFound)
    return static_cast<task_index>(job.next_unsent++);
  const task_index task = job.returned[position];
  job.returned.erase(job.returned.begin() +
                     static_cast<std::ptrdiff_t>(position));
  return task;
}

}  // namespace

void entry_core_impl::DispatchReadyWork() {
  for (kind_state* kind : ready_kinds_)
    DispatchFromKind(*kind);
  ready_kinds_.clear();
  for (entry_agent* agent : ready_agents_)
    DispatchToAgent(*agent);
  ready_agents_.clear();
}

void entry_core_impl::MarkQueuedKindsReady() {
  catalog_.ForEachKind([this](kind_state& kind) {
    if (!kind.queue.empty())
      ready_kinds_.push_back(&kind);
  });
}

// Sends an agent the most urgent tasks of the kinds that it serves, as long as
// it can receive any.
void entry_core_impl::DispatchToAgent(entry_agent& agent) {
  while (true) {
    entry_job* best = nullptr;
    for (kind_state* kind : agent.kinds) {
      if (kind->queue.empty() || !CanReceive(agent, *kind))
        continue;
      entry_job* next = NextJob(agent, *kind);
      if (next == nullptr)
        continue;
      if (best == nullptr || std::pair(next->infeasible, next->key) <
                                 std::pair(best->infeasible, best->key)) {
        best = next;
      }
    }
    if (best == nullptr)
      return;
    Dispatch(*best, agent);
  }
}

// Sends queued tasks of a kind to the agents that can receive them, as selected
// by the routing strategy.
void entry_core_impl::DispatchFromKind(kind_state& kind) {
  if (kind.queue.empty())
    return;
  candidates_.clear();
  for (entry_agent* agent : kind.agents) {
    if (CanReceive(*agent, kind))
      candidates_.push_back(agent);
  }
  while (!candidates_.empty() && !kind.queue.empty()) {
    entry_agent* agent = routing_->Choose(candidates_);
    entry_job* job = NextJob(*agent, kind);
    if (job != nullptr)
      Dispatch(*job, *agent);
    if (job == nullptr || !CanReceive(*agent, kind))
      std::erase(candidates_, agent);
  }
}

bool entry_core_impl::CanReceive(const entry_agent& agent,
                                 const kind_state& kind) const {
  return routing_->MaySend(agent) && IsEligible(agent, kind);
}

// True if the agent may get tasks of the kind, subject to its credits.
bool entry_core_impl::IsEligible(const entry_agent& agent,
                                 const kind_state& kind) const {
  if (!agent.serving())
    return false;
  if (agent.health.ejected() && !agent.health.IsTrialDue(now_))
    return false;
  if (LongShare(kind) >= 1)
    return true;
  const auto long_slots = static_cast<std::uint32_t>(
      static_cast<double>(agent.slots) * LongShare(kind));
  return agent.long_outstanding < std::max(long_slots, 1U);
}

// Part of each agent's slots that this entry may fill with tasks of a kind. The
// entries do not know each other's long tasks, so they divide the share for
// long tasks equally.
double entry_core_impl::LongShare(const kind_state& kind) const {
  if (!ordering_->enforces_shares() || !kind.YieldsToShortWork())
    return 1;
  return options_.long_share / static_cast<double>(entries());
}

entry_job* entry_core_impl::NextJob(const entry_agent& agent,
                                    kind_state& kind) {
  const agent_filter filter(agent, now_);
  return static_cast<entry_job*>(kind.queue.Next(filter, now_, quota_blocked_));
}

void entry_core_impl::Dispatch(entry_job& job, entry_agent& agent) {
  const task_index index = RemoveQueuedTask(job, agent, now_);
  kind_state& kind = *job.kind;
  fair_queue::Charge(job);
  kind.queue.AdjustTasks(job, -1);
  if (job.queued() == 0)
    kind.queue.Remove(job);
  job.quota->AddQueued(-1);
  job.quota->AddRunning(1);
  --kind.queued_tasks;
  --queued_tasks_;
  ++kind.outstanding;
  ++job.outstanding;
  job.lifecycle.Apply(job_event::kDispatch);

  entry_task& task = job.tasks[index];
  task.phase = task_phase::kOutstanding;
  task.dispatch =
      dispatch_number{static_cast<std::uint32_t>(task.dispatch) + 1};
  task.sent_at = now_;
  task.counted_as_long = kind.profile.classification() == run_class::kLong;
  task.trial = agent.health.ejected();
  if (task.trial)
    agent.health.StartTrial();
  agent.credits.Spend();
  agent.AddOutstanding(job, index);
  first_checks_.push_back(
      {now_ + kFirstCheckDelay, job.sequence, index, task.dispatch});
  ++counters_.dispatches;
  SendDispatch(job, index, agent);
}

void entry_core_impl::SendDispatch(const entry_job& job,
                                   task_index task,
                                   const entry_agent& agent) {
  wire::dispatch message;
  message.job = job.id;
  message.task = task;
  message.task_count = static_cast<std::uint32_t>(job.task_count);
  message.number = job.tasks[task].dispatch;
  message.kind = job.kind->config.name;
  message.start_by =
      std::min<monotonic_time>(now_ + options_.start_by, job.deadline);
  message.queue_length = QueueLength(agent);
  message.payload = job.tasks[task].payload;
  Send(agent, std::move(message));
}

void entry_core_impl::ReturnToQueue(entry_job& job, task_index task) {
  job.tasks[task].phase = task_phase::kQueued;
  job.returned.push_back(task);
  job.quota->AddQueued(1);
  ++job.kind->queued_tasks;
  ++queued_tasks_;
  if (job.queue == nullptr)
    job.kind->queue.Add(job, QueueName(job.team));
  job.kind->queue.AdjustTasks(job, 1);
  ready_kinds_.push_back(job.kind);
}

}  // namespace egretrack::decision
