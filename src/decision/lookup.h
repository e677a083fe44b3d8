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

// Collects what the agents recorded of one job whose home is gone.
class lookup {
 public:
  lookup(std::uint64_t number, job_id id, std::vector<incarnation> asked);

  // Adds the records of one agent; a repeated answer changes nothing.
  void Add(incarnation agent, wire::job_records answer);

  // True when more answers cannot change the result.
  bool complete() const { return pending_.empty() || whole(); }

  // The whole answer, or outcome_unknown with what is known of each task.
  job_answer_ptr Conclude();

  std::uint64_t number() const { return number_; }
  const job_id& id() const { return id_; }
  std::vector<caller_token>& callers() { return callers_; }

 private:
  bool whole() const { return !tasks_.empty() && finished_ == tasks_.size(); }
  void AddRecord(wire::task_record& record);

  std::uint64_t number_;
  job_id id_;
  std::vector<incarnation> pending_;
  std::vector<caller_token> callers_;
  std::vector<task_answer> tasks_;
  std::size_t finished_ = 0;
};

// The running lookups, at most one per job.
class lookup_table {
 public:
  // The running lookup of a job, or nullptr.
  lookup* Find(const job_id& id);
  lookup* FindNumber(std::uint64_t number);
  lookup& Start(const job_id& id, std::vector<incarnation> asked);
  void Remove(const lookup& ended);
  bool empty() const { return by_number_.empty(); }

 private:
  std::uint64_t last_number_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<lookup>> by_number_;
  std::unordered_map<job_id, lookup*> by_id_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_LOOKUP_H_
