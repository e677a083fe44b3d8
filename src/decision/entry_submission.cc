#include <algorithm>
#include <utility>

#include <boost/container_hash/hash.hpp>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr milliseconds kNotReadyRetryDelay{1000};

std::uint64_t HashOf(const submission& job) {
  std::size_t seed = job.payloads.size();
  boost::hash_combine(seed, job.kind);
  boost::hash_combine(seed, job.team);
  boost::hash_combine(seed, job.deadline ? job.deadline->count() : -1);
  for (const std::string& payload : job.payloads)
    boost::hash_combine(seed, payload);
  return seed;
}

std::shared_ptr<job_answer> MakeAnswer(const job_id& id,
                                       job_outcome outcome,
                                       std::error_code code) {
  auto answer = std::make_shared<job_answer>();
  answer->id = id;
  answer->outcome = outcome;
  answer->code = code;
  if (code)
    answer->message = "job " + id.ToString() + ": " + code.message();
  return answer;
}

}  // namespace

void entry_core_impl::On(submit_request& event) {
  const std::uint64_t content_hash = HashOf(event.job);
  if (event.id) {
    Resubmit(event, content_hash);
    return;
  }
  event.id = NewId();
  Emit(job_id_assigned{event.caller, *event.id});
  Accept(event, content_hash);
}

void entry_core_impl::Resubmit(submit_request& event,
                               std::uint64_t content_hash) {
  const job_id& id = *event.id;
  const job_caller caller{event.caller, event.forwarded};
  if (!IsHomeOf(id)) {
    ForwardOrLookUp(caller, id);
    return;
  }
  if (AttachToRecord(caller, id, content_hash)) {
    ++counters_.jobs_resubmitted;
    return;
  }
  if (const std::error_code code = CheckUnrecordedId(id)) {
    Answer(event.caller, MakeAnswer(id, job_outcome::kOutcomeUnknown, code));
    return;
  }
  Accept(event, content_hash);
}

// Attaches a caller to a recorded job, or sends it the recorded answer. Returns
// false if there is no record.
bool entry_core_impl::AttachToRecord(job_caller caller,
                                     const job_id& id,
                                     std::uint64_t content_hash) {
  if (entry_job* job = jobs_.Find(id)) {
    if (job->content_hash != content_hash)
      AnswerUnknown(caller.token, id, job_errc::kIdReused);
    else if (job->lifecycle.ended())
      Answer(caller.token, job->answer);
    else
      AddCaller(*job, caller);
    return true;
  }
  const refusal_record* refused = jobs_.FindRefusal(id);
  if (refused == nullptr)
    return false;
  if (refused->content_hash != content_hash)
    AnswerUnknown(caller.token, id, job_errc::kIdReused);
  else
    Answer(caller.token, refused->answer);
  return true;
}

// The error for an id without a record. An id older than the retention time may
// have had one; an id from the future was not made by this entry.
std::error_code entry_core_impl::CheckUnrecordedId(const job_id& id) const {
  const milliseconds created(static_cast<std::int64_t>(id.created_ms));
  const microseconds age = now_.time_since_epoch() - created;
  if (age < microseconds(0))
    return job_errc::kInvalidId;
  if (age >= options_.retention)
    return job_errc::kIdExpired;
  return {};
}

void entry_core_impl::Accept(submit_request& event,
                             std::uint64_t content_hash) {
  ++counters_.jobs_submitted;
  retries_.RecordRequest(now_);
  if (const refusal reason = CheckSubmission(event); reason.code) {
    Refuse(event, content_hash, reason);
    return;
  }
  auto job = std::make_unique<entry_job>();
  job->id = *event.id;
  job->kind = catalog_.FindKind(event.job.kind);
  job->team = std::move(event.job.team);
  job->quota = catalog_.FindQuota(job->kind->config.desk, job->team);
  job->idempotent = job->kind->config.idempotent;
  job->content_hash = content_hash;
  job->submitted = now_;
  job->deadline =
      now_ + event.job.deadline.value_or(job->kind->config.deadline);
  job->task_count = event.job.payloads.size();
  job->tasks.resize(job->task_count);
  for (std::size_t i = 0; i < job->task_count; ++i)
    job->tasks[i].payload = std::move(event.job.payloads[i]);
  entry_job& added = jobs_.Add(std::move(job));
  AddCaller(added, {event.caller, event.forwarded});
  timers_.Add(added.deadline, {&entry_core_impl::OnDeadline, added.sequence});
  if (event.idempotency_key.empty()) {
    Enqueue(added);
    return;
  }
  added.lifecycle.Apply(job_event::kBind);
  Emit(bind_key{std::move(event.idempotency_key), added.id});
}

entry_core_impl::refusal entry_core_impl::CheckSubmission(
    const submit_request& event) {
  if (!drain_.accepts_jobs())
    return {job_errc::kDraining, kNotReadyRetryDelay};
  if (catalog_.configuration() == nullptr)
    return {job_errc::kNotReady, kNotReadyRetryDelay};
  kind_state* kind = catalog_.FindKind(event.job.kind);
  if (kind == nullptr)
    return {job_errc::kUnknownKind, {}};
  if (const refusal reason = CheckContent(event.job, *kind); reason.code)
    return reason;
  return CheckCapacity(event.job, *kind);
}

entry_core_impl::refusal entry_core_impl::CheckContent(
    const submission& job,
    const kind_state& kind) const {
  const objects::request_kind& config = kind.config;
  if (job.payloads.empty())
    return {job_errc::kNoTasks, {}};
  if (job.payloads.size() > config.max_tasks)
    return {job_errc::kTooManyTasks, {}};
  const auto too_large = [&config](const std::string& payload) {
    return payload.size() > config.max_payload_bytes;
  };
  if (std::any_of(job.payloads.begin(), job.payloads.end(), too_large))
    return {job_errc::kPayloadTooLarge, {}};
  const milliseconds deadline = job.deadline.value_or(config.deadline);
  if (deadline.count() <= 0 || deadline > config.max_deadline)
    return {job_errc::kInvalidDeadline, {}};
  return {};
}

entry_core_impl::refusal entry_core_impl::CheckCapacity(const submission& job,
                                                        kind_state& kind) {
  const std::size_t tasks = job.payloads.size();
  const quota_node* quota = catalog_.FindQuota(kind.config.desk, job.team);
  if (quota == nullptr)
    return {job_errc::kUnknownTeam, {}};
  if (!kind.open)
    return {job_errc::kDeskClosed, {}};
  if (kind.agents.empty())
    return {job_errc::kNoEndpoint, kNotReadyRetryDelay};
  const microseconds time_limit = job.deadline.value_or(kind.config.deadline);
  const forecast expected =
      Predict(kind,
              {tasks, ordering_->PriorityKey(now_, now_ + time_limit),
               QueueName(job.team), quota->weight, LongShare(kind)},
              entries());
  const milliseconds retry =
      std::max(kNotReadyRetryDelay,
               std::chrono::ceil<milliseconds>(expected.backlog_delay));
  if (jobs_.full())
    return {job_errc::kRecordsFull, retry};
  if (queued_tasks_ + tasks > options_.max_queued_tasks)
    return {job_errc::kOverloaded, retry};
  if (!quota->MayQueue(tasks))
    return {job_errc::kQuotaExceeded, retry};
  return CheckDeadline(kind, expected, time_limit);
}

std::string_view entry_core_impl::QueueName(std::string_view team) const {
  return ordering_->enforces_shares() ? team : std::string_view();
}

entry_core_impl::refusal entry_core_impl::CheckDeadline(
    const kind_state& kind,
    const forecast& expected,
    microseconds time_limit) const {
  if (!options_.admission)
    return {};
  // The configured or measured run time may be far off. A small job is accepted
  // while no other of its kind is queued or running, since the estimate could
  // otherwise never improve.
  if (expected.fits_in_one_round && kind.outstanding + kind.queued_tasks == 0)
    return {};
  if (expected.without_backlog > time_limit)
    return {job_errc::kDeadlineUnreachable, {}};
  const microseconds excess =
      expected.without_backlog + expected.backlog_delay - time_limit;
  if (excess.count() <= 0)
    return {};
  return {job_errc::kOverloaded, std::chrono::ceil<milliseconds>(excess)};
}

void entry_core_impl::Refuse(const submit_request& event,
                             std::uint64_t content_hash,
                             const refusal& reason) {
  // The row of the idempotency key has not been read, so an earlier job with
  // the same key may have run.
  const bool keyed = !event.idempotency_key.empty();
  const job_outcome outcome =
      keyed ? job_outcome::kOutcomeUnknown : job_outcome::kRefused;
  auto answer = MakeAnswer(*event.id, outcome, reason.code);
  answer->retry_after = reason.retry_after;
  const std::size_t tasks = event.job.payloads.size();
  answer->tasks.assign(
      tasks, {keyed ? task_outcome::kUnknown : task_outcome::kNotRun, {}});
  const kind_state* kind = catalog_.FindKind(event.job.kind);
  jobs_.AddRefusal(*event.id, {content_hash, answer}, now_);
  Answer(event.caller, std::move(answer));
  job_ended ended;
  ended.desk = kind == nullptr ? std::string() : kind->config.desk;
  ended.kind = kind == nullptr ? std::string() : kind->config.name;
  ended.outcome = outcome;
  ended.code = reason.code;
  ended.task_count = tasks;
  Emit(std::move(ended));
}

void entry_core_impl::Enqueue(entry_job& job) {
  job.lifecycle.Apply(job_event::kAdmit);
  job.key = ordering_->PriorityKey(job.submitted, job.deadline);
  job.latest_start = job.deadline - job.kind->profile.median();
  const std::size_t tasks = job.queued();
  job.quota->AddQueued(static_cast<int>(tasks));
  job.kind->queued_tasks += tasks;
  queued_tasks_ += tasks;
  job.kind->queue.Add(job, QueueName(job.team));
  job.kind->queue.AdjustTasks(job, static_cast<int>(tasks));
  ready_kinds_.push_back(job.kind);
}

void entry_core_impl::On(key_bound& event) {
  entry_job* job = jobs_.Find(event.id);
  if (job == nullptr || job->lifecycle.phase() != job_phase::kBinding)
    return;
  switch (event.binding) {
    case key_binding::kBound:
      Enqueue(*job);
      return;
    case key_binding::kBoundToOther:
      if (!event.bound_to)
        break;
      if (*event.bound_to == job->id)
        Enqueue(*job);
      else
        JoinBoundJob(*job, *event.bound_to);
      return;
    case key_binding::kNotBound:
      EndUndispatched(*job, job_outcome::kRefused, job_errc::kTableUnavailable);
      return;
    case key_binding::kUnknown:
      break;
  }
  EndUndispatched(*job, job_outcome::kOutcomeUnknown,
                  job_errc::kKeyOutcomeUnknown);
}

// The key is bound to an earlier job. The callers of the new job get the answer
// of that job, and the record of the new one, which started no task, is
// removed.
void entry_core_impl::JoinBoundJob(entry_job& job, const job_id& bound_to) {
  const std::vector<job_caller> callers = std::move(job.callers);
  const std::uint64_t content_hash = job.content_hash;
  for (const job_caller& caller : callers)
    waiting_callers_.erase(caller.token);
  jobs_.Remove(job);
  for (const job_caller& caller : callers) {
    if (!IsHomeOf(bound_to))
      ForwardOrLookUp(caller, bound_to);
    else if (!AttachToRecord(caller, bound_to, content_hash))
      AnswerUnknown(caller.token, bound_to, job_errc::kIdExpired);
  }
}

void entry_core_impl::On(job_inquiry& event) {
  if (!IsHomeOf(event.id)) {
    ForwardOrLookUp({event.caller, event.forwarded}, event.id);
    return;
  }
  const refusal_record* refused = jobs_.FindRefusal(event.id);
  const entry_job* job = jobs_.Find(event.id);
  if (job != nullptr && job->lifecycle.ended())
    Answer(event.caller, job->answer);
  else if (job != nullptr)
    AnswerPending(event.caller, event.id);
  else if (refused != nullptr)
    Answer(event.caller, refused->answer);
  else if (CheckUnrecordedId(event.id) == job_errc::kIdExpired)
    AnswerUnknown(event.caller, event.id, job_errc::kIdExpired);
  else
    AnswerUnknown(event.caller, event.id, job_errc::kUnknownJob);
}

void entry_core_impl::On(cancel_request& event) {
  entry_job* job = IsHomeOf(event.id) ? jobs_.Find(event.id) : nullptr;
  if (job != nullptr && !job->lifecycle.ended()) {
    if (job->lifecycle.phase() == job_phase::kBinding) {
      EndUndispatched(*job, job_outcome::kOutcomeUnknown,
                      job_errc::kKeyOutcomeUnknown);
    } else {
      CancelAtAgents(*job);
      CloseJob(*job, job_errc::kCancelled);
    }
  }
  job_inquiry inquiry{event.caller, event.id, event.forwarded};
  On(inquiry);
}

void entry_core_impl::On(caller_gone& event) {
  const auto found = waiting_callers_.find(event.caller);
  if (found == waiting_callers_.end())
    return;
  const caller_wait wait = found->second;
  waiting_callers_.erase(found);
  if (entry_job* job = jobs_.FindBySequence(wait.job_sequence)) {
    std::erase_if(job->callers, [&event](const job_caller& caller) {
      return caller.token == event.caller;
    });
  }
  if (lookup* active = lookups_.FindByNumber(wait.lookup_number))
    std::erase(active->callers(), event.caller);
}

bool entry_core_impl::IsHomeOf(const job_id& id) const {
  return id.entry == options_.entry && id.home == options_.entry_incarnation;
}

// Only the home incarnation may start the job, so the request is forwarded to
// it once. If the home is unreachable, the records of the agents are looked up.
void entry_core_impl::ForwardOrLookUp(job_caller caller, const job_id& id) {
  if (caller.forwarded || id.entry == options_.entry)
    StartLookup(caller.token, id);
  else
    Emit(forward_to_home{caller.token, id.entry, id});
}

void entry_core_impl::AddCaller(entry_job& job, job_caller caller) {
  if (waiting_callers_.try_emplace(caller.token, caller_wait{job.sequence, 0})
          .second)
    job.callers.push_back(caller);
}

void entry_core_impl::Answer(caller_token caller, job_answer_ptr answer) {
  waiting_callers_.erase(caller);
  Emit(answer_caller{caller, std::move(answer)});
}

void entry_core_impl::AnswerPending(caller_token caller, const job_id& id) {
  Answer(caller, MakeAnswer(id, job_outcome::kPending, {}));
}

void entry_core_impl::AnswerUnknown(caller_token caller,
                                    const job_id& id,
                                    job_errc code) {
  Answer(caller, MakeAnswer(id, job_outcome::kOutcomeUnknown, code));
}

}  // namespace egretrack::decision
