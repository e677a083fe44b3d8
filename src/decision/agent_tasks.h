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

// Decides which tasks start, and answers for them from their records.
class agent_tasks {
 public:
  agent_tasks(const agent_options& options,
              const agent_endpoint& endpoint,
              agent_links& links,
              credit_granter& granter,
              agent_counters& counters);

  void Dispatch(agent_turn& turn, entry_index entry, wire::dispatch& dispatch);
  void Query(agent_turn& turn,
             entry_index entry,
             const wire::task_query& query);
  void Cancel(agent_turn& turn, const wire::job_cancel& cancel);
  void Lookup(agent_turn& turn,
              entry_index entry,
              const wire::job_lookup& lookup);
  void End(agent_turn& turn, task_ended& ended);

  // Refuses later dispatches for this reason; kNone accepts them.
  void Close(wire::task_reason reason) { closed_ = reason; }
  void RefuseHeld(agent_turn& turn, wire::task_reason reason);
  void Expire(monotonic_time now) { records_.Expire(now); }

  std::uint32_t running() const { return running_; }
  std::size_t held() const { return held_.size(); }
  bool idle() const { return running_ == 0 && held_.empty(); }
  std::size_t records() const { return records_.size(); }

 private:
  // Why the dispatch must not be accepted; kNone when it may be.
  wire::task_reason Objection(const wire::dispatch& dispatch,
                              bool had_credit,
                              monotonic_time start_before,
                              monotonic_time now) const;
  // True when the task's record may have expired, so that nothing can be
  // claimed about it.
  bool MayBeForgotten(entry_index entry,
                      const job_id& job,
                      monotonic_time now) const;
  void Accept(agent_turn& turn,
              entry_index entry,
              wire::dispatch& dispatch,
              monotonic_time start_before);
  void RefuseNew(agent_turn& turn,
                 entry_index entry,
                 const wire::task_query& task,
                 wire::task_reason reason);
  void RefuseOneHeld(agent_turn& turn,
                     const job_id& job,
                     task_index task,
                     kept_task& kept,
                     wire::task_reason reason);
  void StartHeld(agent_turn& turn);
  void Start(agent_turn& turn, kept_task& kept, held_task task);
  void Conclude(agent_turn& turn,
                const job_id& job,
                task_index task,
                kept_task& kept);
  void Report(agent_turn& turn,
              entry_index entry,
              dispatch_number dispatch,
              const job_id& job,
              task_index task,
              const kept_task& kept);

  const std::uint32_t slots_;
  const bool push_;
  const microseconds surely_kept_;  // Of a job's age on its home's clock.
  const agent_endpoint& endpoint_;
  agent_links& links_;
  credit_granter& granter_;
  agent_counters& counters_;
  wire::task_reason closed_ = wire::task_reason::kNoEndpoint;
  std::uint32_t running_ = 0;
  task_queue held_;
  task_records records_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_TASKS_H_
