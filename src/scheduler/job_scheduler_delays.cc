#include <algorithm>
#include <utility>
#include <vector>

#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {

// An agent that drains leaves the entry, which says nothing about the network.
void job_scheduler_impl::ObserveContacts() {
  std::vector<monotonic_time> contacts;
  contacts.reserve(view_list_.size());
  for (const worker_view* view : view_list_) {
    if (!view->draining && view->last_contact != monotonic_time{})
      contacts.push_back(view->last_contact);
  }
  contact_history_.Observe(contacts, now_);
}

// An agent that is heard for the first time counts as one that returns, as the
// others may have been silent until then.
void job_scheduler_impl::RecordContact(worker_view& view) {
  const bool returns = contact_history::IsSilent(view.last_contact, now_);
  if (returns)
    ObserveContacts();
  view.last_contact = now_;
  if (returns)
    ObserveContacts();
}

// The time from the look at the connection until now was spent here; the end of
// the connection that came meanwhile is looked for before the first dispatch.
bool job_scheduler_impl::MayBeDelayed(const job_submission& event) {
  const monotonic_time read_at = event.caller_seen_at;
  if (read_at - event.sent_after < options_.resubmit_after)
    return false;
  ObserveContacts();
  return contact_history_.MayBeDelayed(event.sent_after, read_at);
}

// Nothing is decided about the job before its caller is known to wait: it would
// also take the answer away from a later request for the same job.
void job_scheduler_impl::DelaySubmission(job_submission& event) {
  delayed_submission delayed;
  delayed.memory = EstimateJobBytes(event);
  if (delayed_submissions_.size() >= options_.max_jobs ||
      !job_memory_.Admits(delayed.memory)) {
    ++counters_.jobs_over_limit;
    return Refuse(event, "", "", {job_errc::kRecordsFull, {}, {}, {}});
  }
  ++counters_.delayed_submissions;
  RecordDecision(decision_kind::kSubmissionDelayed, event.path,
                 {{"sent_within_us", (now_ - event.sent_after).count()}});
  job_memory_.Add(delayed.memory);
  delayed.received_at = now_;
  delayed.look_at = now_ + options_.max_caller_round_trip;
  const caller_token caller = event.caller;
  delayed.event = std::move(event);
  delayed_submissions_.insert_or_assign(caller, std::move(delayed));
}

void job_scheduler_impl::LookAtDelayedCallers() {
  for (auto& [caller, delayed] : delayed_submissions_) {
    if (delayed.look_pending || now_ < delayed.look_at)
      continue;
    delayed.look_pending = true;
    ++counters_.caller_checks;
    Emit(check_caller{caller});
  }
}

monotonic_time job_scheduler_impl::NextDelayedLook() const {
  monotonic_time next = monotonic_time::max();
  for (const auto& [caller, delayed] : delayed_submissions_) {
    if (!delayed.look_pending)
      next = std::min(next, delayed.look_at);
  }
  return next;
}

bool job_scheduler_impl::ResumeSubmission(const caller_seen& event) {
  const auto found = delayed_submissions_.find(event.caller);
  if (found == delayed_submissions_.end())
    return false;
  delayed_submission delayed = std::move(found->second);
  delayed_submissions_.erase(found);
  job_memory_.Remove(delayed.memory);
  job_submission& submission = delayed.event;
  submission.caller_seen_at = event.seen_at;
  submission.sent_after = event.seen_at;
  // The deadline counts from when the request was read.
  if (submission.deadline) {
    const auto waited =
        std::chrono::ceil<milliseconds>(now_ - delayed.received_at);
    submission.deadline =
        std::max(*submission.deadline - waited, milliseconds(0));
  }
  OnSubmission(submission);
  return true;
}

bool job_scheduler_impl::DropDelayedSubmission(caller_token caller) {
  const auto found = delayed_submissions_.find(caller);
  if (found == delayed_submissions_.end())
    return false;
  ++counters_.delayed_submissions_dropped;
  RecordDecision(decision_kind::kDelayedSubmissionDropped,
                 found->second.event.path,
                 {{"waited_us", (now_ - found->second.received_at).count()}});
  job_memory_.Remove(found->second.memory);
  delayed_submissions_.erase(found);
  return true;
}

void job_scheduler_impl::RefuseDelayedSubmissions(job_errc code) {
  for (const auto& [caller, delayed] :
       std::exchange(delayed_submissions_, {})) {
    job_memory_.Remove(delayed.memory);
    Refuse(delayed.event, "", "", {code, {}, {}, {}});
  }
}

}  // namespace egretrack::scheduler
