#ifndef EGRETRACK_DECISION_AGENT_TASKS_H_
#define EGRETRACK_DECISION_AGENT_TASKS_H_

#include <cstddef>
#include <cstdint>

#include "decision/agent_credit_granter.h"
#include "decision/agent_endpoint.h"
#include "decision/agent_links.h"
#include "decision/task_queue.h"
#include "decision/task_records.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Accepts or refuses dispatched tasks, starts accepted ones, and answers
// queries from the task records.
class agent_tasks {
 public:
  agent_tasks(const agent_options& options,
              const agent_endpoint& endpoint,
              agent_links& links,
              credit_granter& granter,
              agent_counters& counters);

  void Dispatch(call_context& context,
                entry_index entry,
                wire::dispatch& dispatch);
  void Query(call_context& context,
             entry_index entry,
             const wire::task_query& query);
  void Cancel(call_context& context, const wire::job_cancel& cancel);
  void Lookup(call_context& context,
              entry_index entry,
              const wire::job_lookup& lookup);
  void End(call_context& context, task_ended& ended);

  // Reason for which later dispatches are refused; kNone accepts them.
  void SetRefusalReason(wire::task_reason reason) { refusal_reason_ = reason; }
  void RefuseHeldTasks(call_context& context, wire::task_reason reason);
  void Expire(monotonic_time now) { records_.Expire(now); }

  std::uint32_t running() const { return running_; }
  std::size_t held() const { return held_.size(); }
  bool idle() const { return running_ == 0 && held_.empty(); }
  std::size_t records() const { return records_.size(); }

 private:
  // Returns the reason to refuse the dispatch, or kNone to accept it.
  wire::task_reason RefusalReason(const wire::dispatch& dispatch,
                                  bool had_credit,
                                  monotonic_time start_before,
                                  monotonic_time now) const;
  // Returns true when the job's records may have expired. The agent must not
  // claim then that a task without a record did not run.
  bool RecordMayHaveExpired(entry_index entry,
                            const job_id& job,
                            monotonic_time now) const;
  void Accept(call_context& context,
              entry_index entry,
              wire::dispatch& dispatch,
              monotonic_time start_before);
  void RecordRefusal(call_context& context,
                     entry_index entry,
                     const wire::task_query& task,
                     wire::task_reason reason);
  void RefuseHeldTask(call_context& context,
                      const job_id& job,
                      task_index task,
                      agent_task_record& record,
                      wire::task_reason reason);
  void StartHeldTasks(call_context& context);
  void Start(call_context& context, agent_task_record& record, held_task task);
  void CloseAndReport(call_context& context,
                      const job_id& job,
                      task_index task,
                      agent_task_record& record);
  void Report(call_context& context,
              entry_index entry,
              dispatch_number dispatch,
              const job_id& job,
              task_index task,
              const agent_task_record& record);

  const std::uint32_t slots_;
  const bool push_;
  // Minimum retention time of a record on the clock of the job's home entry.
  const microseconds guaranteed_retention_;
  const agent_endpoint& endpoint_;
  agent_links& links_;
  credit_granter& granter_;
  agent_counters& counters_;
  wire::task_reason refusal_reason_ = wire::task_reason::kNoEndpoint;
  std::uint32_t running_ = 0;
  task_queue held_;
  task_records records_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_TASKS_H_
