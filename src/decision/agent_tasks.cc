#include "decision/agent_tasks.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace egretrack::decision {
namespace {

using wire::task_reason;
using wire::task_state;

// Returns true when the home entry dispatched a refused task again. It uses a
// higher dispatch number only after it received the refusal; duplicates of the
// refused dispatch carry the old number.
bool IsRedispatch(const wire::dispatch& dispatch,
                  const agent_task_record& record) {
  return record.lifecycle.phase() == agent_task_phase::kRefused &&
         dispatch.number > record.dispatch;
}

// The state reported to entries for each phase, indexed by agent_task_phase.
// New and held tasks are not reported.
std::optional<task_state> StateOf(agent_task_phase phase) {
  static constexpr std::array<std::optional<task_state>, 7> kStates{
      std::nullopt,         std::nullopt,          task_state::kStarted,
      task_state::kRefused, task_state::kFinished, task_state::kFailed,
      task_state::kCut};
  return kStates[static_cast<std::size_t>(phase)];
}

// The event for the end state of a started task, indexed by task_state.
std::optional<agent_task_event> EventForEndState(task_state state) {
  static constexpr std::array<std::optional<agent_task_event>, 6> kEvents{
      std::nullopt,
      agent_task_event::kRefuse,
      std::nullopt,
      agent_task_event::kFinish,
      agent_task_event::kFail,
      agent_task_event::kCut};
  return kEvents[static_cast<std::size_t>(state)];
}

// Returns the minimum time by which the home entry's clock advances during the
// retention time on the local clock.
microseconds GuaranteedRetention(const agent_options& options) {
  const double retention =
      static_cast<double>(microseconds(options.retention).count());
  return microseconds(
      static_cast<microseconds::rep>(retention * (1 - options.clock_drift)));
}

wire::task_query ToQuery(const wire::dispatch& dispatch) {
  return {dispatch.job, dispatch.task, dispatch.task_count, dispatch.number};
}

}  // namespace

agent_tasks::agent_tasks(const agent_options& options,
                         const agent_endpoint& endpoint,
                         agent_links& links,
                         credit_granter& granter,
                         agent_counters& counters)
    : slots_(options.slots),
      push_(options.push),
      guaranteed_retention_(GuaranteedRetention(options)),
      endpoint_(endpoint),
      links_(links),
      granter_(granter),
      counters_(counters),
      records_(options.max_records, options.retention) {}

void agent_tasks::Dispatch(call_context& context,
                           entry_index entry,
                           wire::dispatch& dispatch) {
  ++counters_.dispatches;
  const bool had_credit = granter_.SpendCredit(entry);
  granter_.SetDemand(entry, dispatch.queue_length);
  const agent_task_record* record = records_.Find(dispatch.job, dispatch.task);
  if (record != nullptr && !IsRedispatch(dispatch, *record)) {
    ++counters_.duplicates;
    Report(context, entry, dispatch.number, dispatch.job, dispatch.task,
           *record);
    return;
  }
  const monotonic_time start_before =
      links_[entry].entry_clock().ToLocalDeadline(dispatch.job,
                                                  dispatch.start_by);
  // A home entry dispatches a task again only after a refusal, so a dispatch
  // that arrives before its start limit and has no record is the first one.
  if (record == nullptr && context.now >= start_before &&
      RecordMayHaveExpired(entry, dispatch.job, context.now)) {
    ++counters_.unrecorded;
    return;
  }
  const task_reason reason =
      RefusalReason(dispatch, had_credit, start_before, context.now);
  if (reason == task_reason::kNone)
    Accept(context, entry, dispatch, start_before);
  else
    RecordRefusal(context, entry, ToQuery(dispatch), reason);
}

task_reason agent_tasks::RefusalReason(const wire::dispatch& dispatch,
                                       bool had_credit,
                                       monotonic_time start_before,
                                       monotonic_time now) const {
  if (refusal_reason_ != task_reason::kNone)
    return refusal_reason_;
  if (records_.IsCancelled(dispatch.job))
    return task_reason::kCancelled;
  if (!had_credit && !push_)
    return task_reason::kNoSlot;
  if (now >= start_before)
    return task_reason::kStartByPassed;
  return task_reason::kNone;
}

void agent_tasks::Accept(call_context& context,
                         entry_index entry,
                         wire::dispatch& dispatch,
                         monotonic_time start_before) {
  agent_task_record* record =
      records_.Add(dispatch.job, dispatch.task, record_kind::kAcceptance);
  if (record == nullptr) {
    RecordRefusal(context, entry, ToQuery(dispatch), task_reason::kRecordsFull);
    return;
  }
  record->task_count = dispatch.task_count;
  record->dispatch = dispatch.number;
  record->entry = entry;
  record->arrived = context.now;
  record->lifecycle.Apply(agent_task_event::kHold);
  record->ticket = held_.Push({std::move(dispatch.job), dispatch.task,
                               std::move(dispatch.kind),
                               std::move(dispatch.payload), start_before});
  granter_.AddTask();
  StartHeldTasks(context);
}

void agent_tasks::StartHeldTasks(call_context& context) {
  while (running_ < slots_ && !held_.empty()) {
    held_task task = held_.PopFront();
    agent_task_record& record = *records_.Find(task.job, task.task);
    if (context.now >= task.start_before) {
      RefuseHeldTask(context, task.job, task.task, record,
                     task_reason::kStartByPassed);
    } else {
      Start(context, record, std::move(task));
    }
  }
}

void agent_tasks::Start(call_context& context,
                        agent_task_record& record,
                        held_task task) {
  record.lifecycle.Apply(agent_task_event::kStart);
  record.started = context.now;
  ++running_;
  ++counters_.starts;
  const endpoint_announced& to = endpoint_.announcement();
  context.commands.push_back(start_task{
      std::move(task.job), task.task, std::move(task.kind),
      std::move(task.payload), to.address, to.port, task.start_before});
}

void agent_tasks::End(call_context& context, task_ended& ended) {
  agent_task_record* record = records_.Find(ended.job, ended.task);
  const auto event = EventForEndState(ended.state);
  if (record == nullptr || !event ||
      record->lifecycle.phase() != agent_task_phase::kStarted) {
    return;
  }
  record->lifecycle.Apply(*event);
  record->reason = ended.reason;
  record->result = std::move(ended.result);
  record->run_time =
      std::max(microseconds(0), microseconds(context.now - record->started));
  --running_;
  granter_.RemoveTask();
  StartHeldTasks(context);
  CloseAndReport(context, ended.job, ended.task, *record);
}

void agent_tasks::Query(call_context& context,
                        entry_index entry,
                        const wire::task_query& query) {
  agent_task_record* record = records_.Find(query.job, query.task);
  if (record == nullptr) {
    if (RecordMayHaveExpired(entry, query.job, context.now))
      ++counters_.unrecorded;
    else
      RecordRefusal(context, entry, query, task_reason::kFenced);
    return;
  }
  // A query for a held task means that its home entry stopped waiting; after
  // the refusal it can dispatch the task elsewhere.
  if (record->lifecycle.phase() == agent_task_phase::kHeld) {
    held_.Remove(record->ticket);
    RefuseHeldTask(context, query.job, query.task, *record,
                   task_reason::kFenced);
    return;
  }
  // The report below refuses the queried dispatch, which has not arrived yet.
  // The record must fence it, too, so that it cannot start when it arrives.
  if (record->lifecycle.phase() == agent_task_phase::kRefused &&
      query.dispatch > record->dispatch) {
    record->dispatch = query.dispatch;
    records_.CloseTask(query.job, query.task, context.now);
  }
  Report(context, entry, query.dispatch, query.job, query.task, *record);
}

void agent_tasks::RecordRefusal(call_context& context,
                                entry_index entry,
                                const wire::task_query& task,
                                task_reason reason) {
  agent_task_record* record =
      records_.Add(task.job, task.task, record_kind::kRefusal);
  if (record == nullptr) {
    // Without a record a later duplicate could start, so a refusal would not be
    // final. The home entry reports the task as unknown at its deadline.
    ++counters_.unrecorded;
    return;
  }
  ++counters_.refusals;
  record->task_count = task.task_count;
  record->dispatch = task.dispatch;
  record->entry = entry;
  record->reason = reason;
  record->lifecycle.Apply(agent_task_event::kRefuse);
  CloseAndReport(context, task.job, task.task, *record);
}

bool agent_tasks::RecordMayHaveExpired(entry_index entry,
                                       const job_id& job,
                                       monotonic_time now) const {
  const monotonic_time created{milliseconds(job.created_ms)};
  return records_.has_expired_records() &&
         now >= links_[entry].entry_clock().ToLocalDeadline(
                    job, created + guaranteed_retention_);
}

// The caller has already removed the task from the queue.
void agent_tasks::RefuseHeldTask(call_context& context,
                                 const job_id& job,
                                 task_index task,
                                 agent_task_record& record,
                                 task_reason reason) {
  ++counters_.refusals;
  record.reason = reason;
  record.lifecycle.Apply(agent_task_event::kRefuse);
  granter_.RemoveTask();
  CloseAndReport(context, job, task, record);
}

void agent_tasks::RefuseHeldTasks(call_context& context, task_reason reason) {
  while (!held_.empty()) {
    const held_task task = held_.PopFront();
    RefuseHeldTask(context, task.job, task.task,
                   *records_.Find(task.job, task.task), reason);
  }
}

void agent_tasks::Cancel(call_context& context,
                         const wire::job_cancel& cancel) {
  records_.Cancel(cancel.job, context.now);
  for (auto& [task, record] : records_.TasksOf(cancel.job)) {
    if (record.lifecycle.phase() == agent_task_phase::kHeld) {
      held_.Remove(record.ticket);
      RefuseHeldTask(context, cancel.job, task, record,
                     task_reason::kCancelled);
    }
  }
}

void agent_tasks::Lookup(call_context& context,
                         entry_index entry,
                         const wire::job_lookup& lookup) {
  wire::job_records answer{lookup.lookup, lookup.job, {}};
  for (const auto& [task, record] : records_.TasksOf(lookup.job)) {
    if (const auto state = StateOf(record.lifecycle.phase())) {
      answer.records.push_back(
          {task, record.task_count, *state, record.reason, record.result});
    }
  }
  links_.Send(context, entry, std::move(answer));
}

// Grants the freed capacity before the report, so that the report carries the
// grant and no extra message is needed.
void agent_tasks::CloseAndReport(call_context& context,
                                 const job_id& job,
                                 task_index task,
                                 agent_task_record& record) {
  records_.CloseTask(job, task, context.now);
  granter_.Grant(record.entry);
  Report(context, record.entry, record.dispatch, job, task, record);
}

void agent_tasks::Report(call_context& context,
                         entry_index entry,
                         dispatch_number dispatch,
                         const job_id& job,
                         task_index task,
                         const agent_task_record& record) {
  const auto state = StateOf(record.lifecycle.phase());
  // No report is sent while the task is held, but when it ends or is refused.
  if (!state)
    return;
  wire::task_report report;
  report.job = job;
  report.task = task;
  report.dispatch = dispatch;
  report.state = *state;
  report.reason = record.reason;
  if (*state != task_state::kRefused) {
    report.wait_time = std::max(microseconds(0),
                                microseconds(record.started - record.arrived));
    report.run_time = record.run_time;
  }
  report.granted_total = granter_.AdvertiseTotal(entry);
  report.result = record.result;
  links_[entry].ExpectConfirmation();
  links_.Send(context, entry, std::move(report));
}

}  // namespace egretrack::decision
