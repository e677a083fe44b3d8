#include <algorithm>
#include <utility>

#include <boost/container_hash/hash.hpp>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr milliseconds kRetryWhenNotReady{1000};

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
  if (!IsOurs(id)) {
    SeekHome(caller, id);
    return;
  }
  if (AttachKnown(caller, id, content_hash)) {
    ++counters_.jobs_resubmitted;
    return;
  }
  if (const std::error_code code = CheckId(id)) {
    Answer(event.caller, MakeAnswer(id, job_outcome::kOutcomeUnknown, code));
    return;
  }
  Accept(event, content_hash);
}

// Attaches a caller to a recorded job, or gives it the recorded answer. False
// when there is no record.
bool entry_core_impl::AttachKnown(job_caller caller,
                                  const job_id& id,
                                  std::uint64_t content_hash) {
  if (entry_job* job = jobs_.Find(id)) {
    if (job->content_hash != content_hash)
      AnswerUnknown(caller.token, id, job_errc::kIdReused);
    else if (job->life.ended())
      Answer(caller.token, job->answer);
    else
      Wait(*job, caller);
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

// An id that the retention time has passed may have had a record.
std::error_code entry_core_impl::CheckId(const job_id& id) const {
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
  job->quota = catalog_.FindQuota(job->kind->object.desk, job->team);
  job->idempotent = job->kind->object.idempotent;
  job->content_hash = content_hash;
  job->submitted = now_;
  job->deadline =
      now_ + event.job.deadline.value_or(job->kind->object.deadline);
  job->task_count = event.job.payloads.size();
  job->tasks.resize(job->task_count);
  for (std::size_t i = 0; i < job->task_count; ++i)
    job->tasks[i].payload = std::move(event.job.payloads[i]);
  entry_job& added = jobs_.Add(std::move(job));
  Wait(added, {event.caller, event.forwarded});
  timers_.Add(added.deadline, {&entry_core_impl::OnDeadline, added.sequence});
  if (event.idempotency_key.empty()) {
    Enqueue(added);
    return;
  }
  added.life.Apply(job_signal::kBind);
  Emit(bind_key{std::move(event.idempotency_key), added.id});
}

entry_core_impl::refusal entry_core_impl::CheckSubmission(
    const submit_request& event) {
  if (!drain_.accepts_jobs())
    return {job_errc::kDraining, kRetryWhenNotReady};
  if (catalog_.configuration() == nullptr)
    return {job_errc::kNotReady, kRetryWhenNotReady};
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
  const objects::request_kind& object = kind.object;
  if (job.payloads.empty())
    return {job_errc::kNoTasks, {}};
  if (job.payloads.size() > object.max_tasks)
    return {job_errc::kTooManyTasks, {}};
  const auto too_large = [&object](const std::string& payload) {
    return payload.size() > object.max_payload_bytes;
  };
  if (std::any_of(job.payloads.begin(), job.payloads.end(), too_large))
    return {job_errc::kPayloadTooLarge, {}};
  const milliseconds deadline = job.deadline.value_or(object.deadline);
  if (deadline.count() <= 0 || deadline > object.max_deadline)
    return {job_errc::kInvalidDeadline, {}};
  return {};
}

entry_core_impl::refusal entry_core_impl::CheckCapacity(const submission& job,
                                                        kind_state& kind) {
  const std::size_t tasks = job.payloads.size();
  const quota_node* quota = catalog_.FindQuota(kind.object.desk, job.team);
  if (quota == nullptr)
    return {job_errc::kUnknownTeam, {}};
  if (!kind.open)
    return {job_errc::kDeskClosed, {}};
  if (kind.agents.empty())
    return {job_errc::kNoEndpoint, kRetryWhenNotReady};
  const microseconds allowed = job.deadline.value_or(kind.object.deadline);
  const forecast expected =
      Predict(kind,
              {tasks, ordering_->Key(now_, now_ + allowed), QueueName(job.team),
               quota->weight, LongShare(kind)},
              entries());
  const milliseconds retry = std::max(
      kRetryWhenNotReady, std::chrono::ceil<milliseconds>(expected.backlog));
  if (jobs_.full())
    return {job_errc::kRecordsFull, retry};
  if (queued_tasks_ + tasks > options_.max_queued_tasks)
    return {job_errc::kOverloaded, retry};
  if (!quota->MayQueue(tasks))
    return {job_errc::kQuotaExceeded, retry};
  return CheckDeadline(kind, expected, allowed);
}

std::string_view entry_core_impl::QueueName(std::string_view team) const {
  return ordering_->divides() ? team : std::string_view();
}

entry_core_impl::refusal entry_core_impl::CheckDeadline(
    const kind_state& kind,
    const forecast& expected,
    microseconds allowed) const {
  if (!options_.admission)
    return {};
  // The declared or learned run time may be far off. A small job of a kind
  // that nothing runs of goes through, or the estimate could never improve.
  if (expected.at_once && kind.outstanding + kind.queued_tasks == 0)
    return {};
  if (expected.alone > allowed)
    return {job_errc::kDeadlineUnreachable, {}};
  const microseconds excess = expected.alone + expected.backlog - allowed;
  if (excess.count() <= 0)
    return {};
  return {job_errc::kOverloaded, std::chrono::ceil<milliseconds>(excess)};
}

void entry_core_impl::Refuse(const submit_request& event,
                             std::uint64_t content_hash,
                             const refusal& reason) {
  // An earlier job with the same key may have run; its row was not read.
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
  ended.desk = kind == nullptr ? std::string() : kind->object.desk;
  ended.kind = kind == nullptr ? std::string() : kind->object.name;
  ended.outcome = outcome;
  ended.code = reason.code;
  ended.task_count = tasks;
  Emit(std::move(ended));
}

void entry_core_impl::Enqueue(entry_job& job) {
  job.life.Apply(job_signal::kAdmit);
  job.key = ordering_->Key(job.submitted, job.deadline);
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
  if (job == nullptr || job->life.phase() != job_phase::kBinding)
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
        FollowKey(*job, *event.bound_to);
      return;
    case key_binding::kNotBound:
      EndUnsent(*job, job_outcome::kRefused, job_errc::kTableUnavailable);
      return;
    case key_binding::kUnknown:
      break;
  }
  EndUnsent(*job, job_outcome::kOutcomeUnknown, job_errc::kKeyOutcomeUnknown);
}

// The key names an earlier job: its callers get that job's answer, and the
// record of the new one goes, since its id never started anything.
void entry_core_impl::FollowKey(entry_job& job, const job_id& bound_to) {
  const std::vector<job_caller> callers = std::move(job.callers);
  const std::uint64_t content_hash = job.content_hash;
  for (const job_caller& caller : callers)
    callers_.erase(caller.token);
  jobs_.Remove(job);
  for (const job_caller& caller : callers) {
    if (!IsOurs(bound_to))
      SeekHome(caller, bound_to);
    else if (!AttachKnown(caller, bound_to, content_hash))
      AnswerUnknown(caller.token, bound_to, job_errc::kIdExpired);
  }
}

void entry_core_impl::On(job_inquiry& event) {
  if (!IsOurs(event.id)) {
    SeekHome({event.caller, event.forwarded}, event.id);
    return;
  }
  const refusal_record* refused = jobs_.FindRefusal(event.id);
  const entry_job* job = jobs_.Find(event.id);
  if (job != nullptr && job->life.ended())
    Answer(event.caller, job->answer);
  else if (job != nullptr)
    AnswerPending(event.caller, event.id);
  else if (refused != nullptr)
    Answer(event.caller, refused->answer);
  else if (CheckId(event.id) == job_errc::kIdExpired)
    AnswerUnknown(event.caller, event.id, job_errc::kIdExpired);
  else
    AnswerUnknown(event.caller, event.id, job_errc::kUnknownJob);
}

void entry_core_impl::On(cancel_request& event) {
  entry_job* job = IsOurs(event.id) ? jobs_.Find(event.id) : nullptr;
  if (job != nullptr && !job->life.ended()) {
    if (job->life.phase() == job_phase::kBinding) {
      EndUnsent(*job, job_outcome::kOutcomeUnknown,
                job_errc::kKeyOutcomeUnknown);
    } else {
      CancelAtAgents(*job);
      Close(*job, job_errc::kCancelled);
    }
  }
  job_inquiry inquiry{event.caller, event.id, event.forwarded};
  On(inquiry);
}

void entry_core_impl::On(caller_gone& event) {
  const auto found = callers_.find(event.caller);
  if (found == callers_.end())
    return;
  const waiting_at place = found->second;
  callers_.erase(found);
  if (entry_job* job = jobs_.FindSequence(place.job)) {
    std::erase_if(job->callers, [&event](const job_caller& caller) {
      return caller.token == event.caller;
    });
  }
  if (lookup* waiting = lookups_.FindNumber(place.lookup))
    std::erase(waiting->callers(), event.caller);
}

bool entry_core_impl::IsOurs(const job_id& id) const {
  return id.entry == options_.entry && id.home == options_.entry_incarnation;
}

// Only the home incarnation may start the job. It is asked once; a home that
// is gone leaves the records of the agents.
void entry_core_impl::SeekHome(job_caller caller, const job_id& id) {
  if (caller.forwarded || id.entry == options_.entry)
    StartLookup(caller.token, id);
  else
    Emit(forward_to_home{caller.token, id.entry, id});
}

void entry_core_impl::Wait(entry_job& job, job_caller caller) {
  if (callers_.try_emplace(caller.token, waiting_at{job.sequence, 0}).second)
    job.callers.push_back(caller);
}

void entry_core_impl::Answer(caller_token caller, job_answer_ptr answer) {
  callers_.erase(caller);
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
