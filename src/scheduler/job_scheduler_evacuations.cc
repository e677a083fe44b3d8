#include <algorithm>
#include <utility>

#include "egretrack/scheduler/members.h"
#include "scheduler/domain_return.h"
#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// After this time the agents of a restarted entry have connected: they try
// again after 2,500 ms of silence, and get an answer within another second.
constexpr milliseconds kDomainCheckDelay{5000};

}  // namespace

void job_scheduler_impl::OnEvacuations(evacuations_received& event) {
  const bool changed =
      event.snapshot_version
          ? evacuations_.ApplySnapshot(event.values, *event.snapshot_version,
                                       event.unreadable)
          : evacuations_.Merge(event.values);
  if (changed)
    AdoptEvacuations("store");
  RecordLeftOutEvacuations();
}

// An agent may have learned of a change from another entry, which matters while
// this entry has lost the store.
void job_scheduler_impl::OnAgentEvacuations(const wire::agent_beat& message,
                                            worker_view& view) {
  view.evacuations_hash = message.evacuations_hash;
  if (evacuations_.Merge(message.evacuations))
    AdoptEvacuations("agent");
  RecordLeftOutEvacuations();
}

void job_scheduler_impl::UpdateEvacuated(worker_view& view) {
  const bool before = view.evacuated;
  view.evacuated = evacuations_.IsEvacuated(view.failure_domain);
  if (before && !view.evacuated)
    view.returned_at = now_;
}

bool job_scheduler_impl::NeedsEvacuatedWorker(const scheduled_job& job) const {
  if (evacuations_.CountEvacuated() == 0)
    return false;
  return std::ranges::any_of(job.steps, [&](const scheduled_step& step) {
    bool evacuated = false;
    for (const worker_view* view : view_list_) {
      // A worker outside the domain that is not heard of may be back soon.
      const bool may_return = view->silent && view->worker &&
                              !view->evacuated &&
                              view->worker->desk == job.kind->desk;
      if (may_return)
        return false;
      if (!CanRun(*view, job, step.spec))
        continue;
      if (!view->evacuated)
        return false;
      evacuated = true;
    }
    return evacuated;
  });
}

bool job_scheduler_impl::IsShareUsedUp(const worker_view& view,
                                       const resources& need) const {
  if (!view.returned_at)
    return false;
  const std::size_t entries =
      std::clamp<std::size_t>(members_.size(), 1, kLinkedEntriesPerAgent);
  return !MayDispatchAfterReturn(
      {now_ - *view.returned_at, view.reported_free_cpu(),
       view.UnacknowledgedCpu(), entries},
      need.cpu_milli);
}

void job_scheduler_impl::RecordUnknownDomains() {
  while (!domain_checks_.empty() && domain_checks_.front().due <= now_) {
    const wire::domain_evacuation& check = domain_checks_.front().evacuation;
    const bool known =
        std::ranges::any_of(view_list_, [&check](const worker_view* view) {
          return view->failure_domain == check.domain;
        });
    if (!known) {
      RecordDecision(decision_kind::kEvacuationOfUnknownDomain, "",
                     {{"domain", check.domain},
                      {"version", static_cast<std::int64_t>(check.version)}});
    }
    domain_checks_.pop_front();
  }
}

// Agents are told at once and not with the next heartbeat reply, so that they
// stop to start tasks early, and so that the first dispatch after the end of an
// evacuation does not reach an agent that still refuses it. A lost message is
// made up for by the next heartbeat.
void job_scheduler_impl::AdoptEvacuations(std::string_view source) {
  for (const wire::domain_evacuation& change : evacuations_.TakeChanges()) {
    RecordDecision(decision_kind::kEvacuationChanged, "",
                   {{"domain", change.domain},
                    {"version", static_cast<std::int64_t>(change.version)},
                    {"evacuated", std::int64_t{change.evacuated ? 1 : 0}},
                    {"source", std::string(source)}});
    if (change.evacuated)
      domain_checks_.push_back({now_ + kDomainCheckDelay, change});
  }
  for (worker_view* view : view_list_) {
    UpdateEvacuated(*view);
    const bool has_session = view->session != agent_session{};
    // A frame would show a silent agent that this entry is alive.
    if (!has_session || view->silent ||
        view->evacuations_hash == evacuations_.hash()) {
      continue;
    }
    SendEvacuations(*view);
  }
  dispatch_needed_ = true;
}

void job_scheduler_impl::SendEvacuations(worker_view& view) {
  wire::beat_reply update;
  update.members_hash = members_hash_;
  update.evacuations_hash = evacuations_.hash();
  update.evacuations = evacuations_.values();
  // The agent reads its clock from the last reply of a frame, which must be the
  // one that answers a heartbeat.
  view.outgoing.insert(view.outgoing.begin(), std::move(update));
}

// The agent knows of an evacuation that this entry does not, or has not heard
// of its end. Until its next heartbeat the agent gets no further tasks, which
// would come back at once.
void job_scheduler_impl::OnEvacuatedReturn(worker_view& view) {
  ++counters_.tasks_evacuated;
  if (std::exchange(view.evacuated, true))
    return;
  if (view.evacuations_hash != evacuations_.hash())
    SendEvacuations(view);
}

void job_scheduler_impl::RecordLeftOutEvacuations() {
  if (!evacuations_.TakeOverflow())
    return;
  RecordDecision(
      decision_kind::kEvacuationsLeftOut, "",
      {{"known", static_cast<std::int64_t>(evacuations_.values().size())}});
}

}  // namespace egretrack::scheduler
