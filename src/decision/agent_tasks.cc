#include "decision/agent_tasks.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace egretrack::decision {
namespace {

using wire::task_reason;
using wire::task_state;

// A home sends a refused task with a higher number only once it knows of the
// refusal; copies of the refused dispatch have the old number.
bool IsSentAnew(const wire::dispatch& dispatch, const kept_task& kept) {
  return kept.cycle.phase() == task_phase::kRefused &&
         dispatch.number > kept.dispatch;
}

// What entries are told of each phase; nothing while a task is new or held.
std::optional<task_state> StateOf(task_phase phase) {
  static constexpr std::array<std::optional<task_state>, 7> kStates{
      std::nullopt,         std::nullopt,          task_state::kStarted,
      task_state::kRefused, task_state::kFinished, task_state::kFailed,
      task_state::kCut};
  return kStates[static_cast<std::size_t>(phase)];
}

// The step that ends a started task with this state.
std::optional<task_step> EndingStep(task_state state) {
  static constexpr std::array<std::optional<task_step>, 6> kSteps{
      std::nullopt,       task_step::kRefuse, std::nullopt,
      task_step::kFinish, task_step::kFail,   task_step::kCut};
  return kSteps[static_cast<std::size_t>(state)];
}

// A record is kept for the retention time by our clock, during which the home's
// clock advances by this much at least.
microseconds SurelyKept(const agent_options& options) {
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
      surely_kept_(SurelyKept(options)),
      endpoint_(endpoint),
      links_(links),
      granter_(granter),
      counters_(counters),
      records_(options.max_records, options.retention) {}

void agent_tasks::Dispatch(agent_turn& turn,
                           entry_index entry,
                           wire::dispatch& dispatch) {
  ++counters_.dispatches;
  const bool had_credit = granter_.Spend(entry);
  granter_.SetDemand(entry, dispatch.queue_length);
  const kept_task* kept = records_.Find(dispatch.job, dispatch.task);
  if (kept != nullptr && !IsSentAnew(dispatch, *kept)) {
    ++counters_.duplicates;
    Report(turn, entry, dispatch.number, dispatch.job, dispatch.task, *kept);
    return;
  }
  const monotonic_time start_before =
      links_[entry].clock().SurelyBefore(dispatch.job, dispatch.start_by);
  // A home sends a task again only after a refusal, so that a copy in time is
  // the first.
  if (kept == nullptr && turn.now >= start_before &&
      MayBeForgotten(entry, dispatch.job, turn.now)) {
    ++counters_.unrecorded;
    return;
  }
  const task_reason reason =
      Objection(dispatch, had_credit, start_before, turn.now);
  if (reason == task_reason::kNone)
    Accept(turn, entry, dispatch, start_before);
  else
    RefuseNew(turn, entry, ToQuery(dispatch), reason);
}

task_reason agent_tasks::Objection(const wire::dispatch& dispatch,
                                   bool had_credit,
                                   monotonic_time start_before,
                                   monotonic_time now) const {
  if (closed_ != task_reason::kNone)
    return closed_;
  if (records_.IsCancelled(dispatch.job))
    return task_reason::kCancelled;
  if (!had_credit && !push_)
    return task_reason::kNoSlot;
  if (now >= start_before)
    return task_reason::kStartByPassed;
  return task_reason::kNone;
}

void agent_tasks::Accept(agent_turn& turn,
                         entry_index entry,
                         wire::dispatch& dispatch,
                         monotonic_time start_before) {
  kept_task* kept =
      records_.Add(dispatch.job, dispatch.task, record_use::kWork);
  if (kept == nullptr) {
    RefuseNew(turn, entry, ToQuery(dispatch), task_reason::kRecordsFull);
    return;
  }
  kept->task_count = dispatch.task_count;
  kept->dispatch = dispatch.number;
  kept->entry = entry;
  kept->arrived = turn.now;
  kept->cycle.Apply(task_step::kHold);
  kept->ticket = held_.Push({std::move(dispatch.job), dispatch.task,
                             std::move(dispatch.kind),
                             std::move(dispatch.payload), start_before});
  granter_.AddTask();
  StartHeld(turn);
}

void agent_tasks::StartHeld(agent_turn& turn) {
  while (running_ < slots_ && !held_.empty()) {
    held_task task = held_.PopFront();
    kept_task& kept = *records_.Find(task.job, task.task);
    if (turn.now >= task.start_before) {
      RefuseOneHeld(turn, task.job, task.task, kept,
                    task_reason::kStartByPassed);
    } else {
      Start(turn, kept, std::move(task));
    }
  }
}

void agent_tasks::Start(agent_turn& turn, kept_task& kept, held_task task) {
  kept.cycle.Apply(task_step::kStart);
  kept.started = turn.now;
  ++running_;
  ++counters_.starts;
  const endpoint_announced& to = endpoint_.announced();
  turn.commands.push_back(start_task{
      std::move(task.job), task.task, std::move(task.kind),
      std::move(task.payload), to.address, to.port, task.start_before});
}

void agent_tasks::End(agent_turn& turn, task_ended& ended) {
  kept_task* kept = records_.Find(ended.job, ended.task);
  const auto step = EndingStep(ended.state);
  if (kept == nullptr || !step || kept->cycle.phase() != task_phase::kStarted) {
    return;
  }
  kept->cycle.Apply(*step);
  kept->reason = ended.reason;
  kept->result = std::move(ended.result);
  kept->run_time =
      std::max(microseconds(0), microseconds(turn.now - kept->started));
  --running_;
  granter_.EndTask();
  StartHeld(turn);
  Conclude(turn, ended.job, ended.task, *kept);
}

void agent_tasks::Query(agent_turn& turn,
                        entry_index entry,
                        const wire::task_query& query) {
  kept_task* kept = records_.Find(query.job, query.task);
  if (kept == nullptr) {
    if (MayBeForgotten(entry, query.job, turn.now))
      ++counters_.unrecorded;
    else
      RefuseNew(turn, entry, query, task_reason::kFenced);
    return;
  }
  // The home has waited long enough; it may send the task elsewhere at once.
  if (kept->cycle.phase() == task_phase::kHeld) {
    held_.Remove(kept->ticket);
    RefuseOneHeld(turn, query.job, query.task, *kept, task_reason::kFenced);
    return;
  }
  // The report refuses the dispatch that was asked for, which has not arrived;
  // the record must fence it off as it does the earlier one.
  if (kept->cycle.phase() == task_phase::kRefused &&
      query.dispatch > kept->dispatch) {
    kept->dispatch = query.dispatch;
    records_.CloseTask(query.job, query.task, turn.now);
  }
  Report(turn, entry, query.dispatch, query.job, query.task, *kept);
}

void agent_tasks::RefuseNew(agent_turn& turn,
                            entry_index entry,
                            const wire::task_query& task,
                            task_reason reason) {
  kept_task* kept = records_.Add(task.job, task.task, record_use::kRefusal);
  if (kept == nullptr) {
    // Without a record a later copy could start, so that a refusal would not
    // be final. The home takes the task for unknown at its deadline.
    ++counters_.unrecorded;
    return;
  }
  ++counters_.refusals;
  kept->task_count = task.task_count;
  kept->dispatch = task.dispatch;
  kept->entry = entry;
  kept->reason = reason;
  kept->cycle.Apply(task_step::kRefuse);
  Conclude(turn, task.job, task.task, *kept);
}

bool agent_tasks::MayBeForgotten(entry_index entry,
                                 const job_id& job,
                                 monotonic_time now) const {
  const monotonic_time created{milliseconds(job.created_ms)};
  return records_.has_forgotten() &&
         now >= links_[entry].clock().SurelyBefore(job, created + surely_kept_);
}

// The task has left the queue already.
void agent_tasks::RefuseOneHeld(agent_turn& turn,
                                const job_id& job,
                                task_index task,
                                kept_task& kept,
                                task_reason reason) {
  ++counters_.refusals;
  kept.reason = reason;
  kept.cycle.Apply(task_step::kRefuse);
  granter_.EndTask();
  Conclude(turn, job, task, kept);
}

void agent_tasks::RefuseHeld(agent_turn& turn, task_reason reason) {
  while (!held_.empty()) {
    const held_task task = held_.PopFront();
    RefuseOneHeld(turn, task.job, task.task,
                  *records_.Find(task.job, task.task), reason);
  }
}

void agent_tasks::Cancel(agent_turn& turn, const wire::job_cancel& cancel) {
  records_.Cancel(cancel.job, turn.now);
  for (auto& [task, kept] : records_.TasksOf(cancel.job)) {
    if (kept.cycle.phase() == task_phase::kHeld) {
      held_.Remove(kept.ticket);
      RefuseOneHeld(turn, cancel.job, task, kept, task_reason::kCancelled);
    }
  }
}

void agent_tasks::Lookup(agent_turn& turn,
                         entry_index entry,
                         const wire::job_lookup& lookup) {
  wire::job_records answer{lookup.lookup, lookup.job, {}};
  for (const auto& [task, kept] : records_.TasksOf(lookup.job)) {
    if (const auto state = StateOf(kept.cycle.phase())) {
      answer.records.push_back(
          {task, kept.task_count, *state, kept.reason, kept.result});
    }
  }
  links_.Send(turn, entry, std::move(answer));
}

// The freed slot or credit is granted first, so that the grant travels with the
// report.
void agent_tasks::Conclude(agent_turn& turn,
                           const job_id& job,
                           task_index task,
                           kept_task& kept) {
  records_.CloseTask(job, task, turn.now);
  granter_.Grant(kept.entry);
  Report(turn, kept.entry, kept.dispatch, job, task, kept);
}

void agent_tasks::Report(agent_turn& turn,
                         entry_index entry,
                         dispatch_number dispatch,
                         const job_id& job,
                         task_index task,
                         const kept_task& kept) {
  const auto state = StateOf(kept.cycle.phase());
  // A held task is reported when it starts to matter: at its end.
  if (!state)
    return;
  wire::task_report report;
  report.job = job;
  report.task = task;
  report.dispatch = dispatch;
  report.state = *state;
  report.reason = kept.reason;
  if (*state != task_state::kRefused) {
    report.wait_time =
        std::max(microseconds(0), microseconds(kept.started - kept.arrived));
    report.run_time = kept.run_time;
  }
  report.granted_total = granter_.Tell(entry);
  report.result = kept.result;
  links_[entry].ExpectConfirmation();
  links_.Send(turn, entry, std::move(report));
}

}  // namespace egretrack::decision
