#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {

void run_supervisor_impl::AdoptEvacuations(const wire::beat_reply& message,
                                           entry_index entry) {
  links_[entry].evacuations_hash = message.evacuations_hash;
  const bool changed = evacuations_.Merge(message.evacuations);
  if (evacuations_.TakeOverflow()) {
    RecordDecision(
        decision_kind::kEvacuationsLeftOut, "",
        {{"known", static_cast<std::int64_t>(evacuations_.values().size())}});
  }
  if (!changed)
    return;
  for (const wire::domain_evacuation& change : evacuations_.TakeChanges()) {
    RecordDecision(decision_kind::kEvacuationChanged, "",
                   {{"domain", change.domain},
                    {"version", static_cast<std::int64_t>(change.version)},
                    {"evacuated", std::int64_t{change.evacuated ? 1 : 0}},
                    {"source", std::string("entry")},
                    {"entry", links_[entry].entry()}});
  }
  evacuated_ = evacuations_.IsEvacuated(options_.failure_domain);
  // The other entries may have lost the store. Each change is passed on at
  // once, but only once: an entry that keeps another hash, for example one of
  // an earlier release, is not sent heartbeats for that alone.
  for (entry_index other = 0; other < links_.size(); ++other)
    RequestEvacuationHeartbeat(other);
}

void run_supervisor_impl::RequestEvacuationHeartbeat(entry_index entry) {
  entry_link& link = links_[entry];
  if (link.evacuations_hash != evacuations_.hash())
    link.heartbeat_requested = true;
}

void run_supervisor_impl::DescribeEvacuations(entry_index entry,
                                              wire::agent_beat& heartbeat) {
  heartbeat.evacuations_hash = evacuations_.hash();
  const auto& known = links_[entry].evacuations_hash;
  if (known && *known != evacuations_.hash())
    heartbeat.evacuations = evacuations_.values();
}

// Also returns a run that was queued again after the worker refused its start.
void run_supervisor_impl::ReturnEvacuatedRuns() {
  if (evacuated_)
    RefuseQueuedRuns(wire::run_reason::kEvacuated);
}

}  // namespace egretrack::scheduler
