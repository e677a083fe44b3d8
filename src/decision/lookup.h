#ifndef EGRETRACK_DECISION_LOOKUP_H_
#define EGRETRACK_DECISION_LOOKUP_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/decision/outcome.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Collects the agents' records of one job whose home entry is unreachable.
class lookup {
 public:
  // `agents` are the incarnations of the agents that were asked.
  lookup(std::uint64_t number, job_id id, std::vector<incarnation> agents);

  // Adds the records of one agent. A repeated answer has no effect.
  void AddAnswer(incarnation agent, wire::job_records answer);

  // True if further answers cannot change the result.
  bool complete() const {
    return pending_agents_.empty() || has_every_result();
  }

  // Moves the answer out: every result, or outcome_unknown with the outcomes
  // and results that were found.
  job_answer_ptr TakeAnswer();

  std::uint64_t number() const { return number_; }
  const job_id& id() const { return id_; }
  std::vector<caller_token>& callers() { return callers_; }

 private:
  bool has_every_result() const {
    return !tasks_.empty() && finished_ == tasks_.size();
  }
  void AddRecord(wire::task_record& record);

  std::uint64_t number_;
  job_id id_;
  std::vector<incarnation> pending_agents_;
  std::vector<caller_token> callers_;
  std::vector<task_answer> tasks_;
  std::size_t finished_ = 0;
};

// The lookups in progress, at most one for each job.
class lookup_table {
 public:
  // The lookup of a job in progress, or nullptr.
  lookup* Find(const job_id& id);
  lookup* FindByNumber(std::uint64_t number);
  lookup& Start(const job_id& id, std::vector<incarnation> agents);
  void Remove(const lookup& finished);
  bool empty() const { return by_number_.empty(); }

 private:
  std::uint64_t last_number_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<lookup>> by_number_;
  std::unordered_map<job_id, lookup*> by_id_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_LOOKUP_H_
