#include <utility>

#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {

void job_scheduler_impl::OnEvacuations(evacuations_received& event) {
  const bool changed =
      event.snapshot_version
          ? evacuations_.ApplySnapshot(event.values, *event.snapshot_version,
                                       event.unreadable)
          : evacuations_.Merge(event.values);
  if (changed)
    AdoptEvacuations("store");
}

// An agent may have learned of a change from another entry, which matters while
// this entry has lost the store.
void job_scheduler_impl::OnAgentEvacuations(const wire::agent_beat& message,
                                            worker_view& view) {
  view.evacuations_hash = message.evacuations_hash;
  if (evacuations_.Merge(message.evacuations))
    AdoptEvacuations("agent");
}

void job_scheduler_impl::UpdateEvacuated(worker_view& view) {
  view.evacuated = evacuations_.IsEvacuated(view.failure_domain);
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
  }
  if (evacuations_.TakeOverflow()) {
    RecordDecision(
        decision_kind::kEvacuationsLeftOut, "",
        {{"known", static_cast<std::int64_t>(evacuations_.values().size())}});
  }
  for (worker_view* view : view_list_) {
    UpdateEvacuated(*view);
    const bool has_session = view->session != agent_session{};
    // A frame would show a silent agent that this entry is alive.
    if (!has_session || view->silent ||
        view->evacuations_hash == evacuations_.hash()) {
      continue;
    }
    wire::beat_reply update;
    update.members_hash = members_hash_;
    update.evacuations_hash = evacuations_.hash();
    update.evacuations = evacuations_.values();
    // The agent reads its clock from the last reply of a frame, which must be
    // the one that answers a heartbeat.
    view->outgoing.insert(view->outgoing.begin(), std::move(update));
  }
  dispatch_needed_ = true;
}

}  // namespace egretrack::scheduler
