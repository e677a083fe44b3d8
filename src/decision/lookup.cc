#include "decision/lookup.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

constexpr std::uint32_t kMaxTasksPerJob = 1200;

// Only the home entry can know that a task did not run: an agent that refused
// the task does not know whether another agent ran it.
task_outcome OutcomeOf(wire::task_state state) {
  switch (state) {
    case wire::task_state::kFinished:
      return task_outcome::kFinished;
    case wire::task_state::kFailed:
    case wire::task_state::kCut:
      return task_outcome::kFailed;
    case wire::task_state::kRefused:
    case wire::task_state::kStarted:
      break;
  }
  return task_outcome::kUnknown;
}

}  // namespace

lookup::lookup(std::uint64_t number, job_id id, std::vector<incarnation> agents)
    : number_(number), id_(std::move(id)), pending_agents_(std::move(agents)) {}

void lookup::AddAnswer(incarnation agent, wire::job_records answer) {
  if (std::erase(pending_agents_, agent) == 0 || answer.job != id_)
    return;
  for (wire::task_record& record : answer.records)
    AddRecord(record);
}

void lookup::AddRecord(wire::task_record& record) {
  if (record.task_count > kMaxTasksPerJob || record.task >= record.task_count)
    return;
  if (tasks_.size() < record.task_count)
    tasks_.resize(record.task_count, {task_outcome::kUnknown, {}});
  task_answer& merged = tasks_[record.task];
  const task_outcome outcome = OutcomeOf(record.state);
  if (merged.outcome == task_outcome::kFinished ||
      outcome == task_outcome::kUnknown) {
    return;
  }
  merged.outcome = outcome;
  if (outcome == task_outcome::kFinished) {
    merged.result = std::move(record.result);
    ++finished_;
  }
}

job_answer_ptr lookup::TakeAnswer() {
  auto answer = std::make_shared<job_answer>();
  answer->id = id_;
  const bool answered = has_every_result();
  answer->tasks = std::move(tasks_);
  if (answered) {
    answer->outcome = job_outcome::kAnswered;
    return answer;
  }
  answer->outcome = job_outcome::kOutcomeUnknown;
  answer->code = job_errc::kHomeUnreachable;
  answer->message = "job " + id_.ToString() + ": " + answer->code.message();
  return answer;
}

lookup* lookup_table::Find(const job_id& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

lookup* lookup_table::FindByNumber(std::uint64_t number) {
  const auto found = by_number_.find(number);
  return found == by_number_.end() ? nullptr : found->second.get();
}

lookup& lookup_table::Start(const job_id& id, std::vector<incarnation> agents) {
  const std::uint64_t number = ++last_number_;
  auto started = std::make_unique<lookup>(number, id, std::move(agents));
  lookup& result = *started;
  by_id_[id] = &result;
  by_number_.emplace(number, std::move(started));
  return result;
}

void lookup_table::Remove(const lookup& finished) {
  by_id_.erase(finished.id());
  by_number_.erase(finished.number());
}

}  // namespace egretrack::decision
