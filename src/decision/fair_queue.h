#ifndef EGRETRACK_DECISION_FAIR_QUEUE_H_
#define EGRETRACK_DECISION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "decision/backlog_histogram.h"
#include "decision/quota_tree.h"
#include "egretrack/base/time.h"

namespace egretrack::decision {

struct team_queue;

// The fields of a job that its queue uses.
struct queue_item {
  monotonic_time key{};           // Lower goes first.
  monotonic_time latest_start{};  // The job is infeasible after it.
  std::uint64_t sequence = 0;     // Breaks ties in order of arrival.
  quota_node* quota = nullptr;
  team_queue* queue = nullptr;  // Set while queued.
  bool infeasible = false;      // Moved behind the feasible jobs.
};

struct queue_order {
  bool operator()(const queue_item* a, const queue_item* b) const {
    return a->key != b->key ? a->key < b->key : a->sequence < b->sequence;
  }
};

struct team_queue {
  std::set<queue_item*, queue_order> feasible;
  std::set<queue_item*, queue_order> infeasible;
  backlog_histogram backlog;
  std::uint32_t deficit = 0;  // Tasks that the team may still send in its turn.
  bool active = false;

  bool empty() const { return feasible.empty() && infeasible.empty(); }
};

// Queued work that is ahead of a new job in one queue.
struct backlog_ahead {
  std::size_t own_team = 0;        // Tasks of the job's team with a lower key.
  std::size_t other_teams = 0;     // Tasks of other teams, which take turns.
  std::uint32_t total_weight = 0;  // Of all teams that have queued jobs.
  bool own_team_active = false;    // The job's team is one of them.
};

// Decides whether the agent that has a free credit can take a task of a job.
class placement_filter {
 public:
  virtual ~placement_filter() = default;
  virtual bool Accepts(const queue_item& item) const = 0;
};

// Queued jobs of one request kind. Teams are served by deficit round robin, and
// the jobs of a team by earliest feasible deadline first. A job leaves the
// queue when its last queued task is sent.
class fair_queue {
 public:
  fair_queue() = default;
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;

  void Add(queue_item& item, std::string_view team);
  void Remove(queue_item& item);

  // Returns the next job that `filter` accepts, or nullptr. Sets
  // `quota_blocked` when a team was skipped because of its quota.
  queue_item* Next(const placement_filter& filter,
                   monotonic_time now,
                   bool& quota_blocked);
  // Charges one sent task of `item`, which Next returned, to its team.
  static void Charge(queue_item& item);

  // Adds `delta` to the number of tasks of a queued item.
  void AdjustTasks(queue_item& item, int delta);
  backlog_ahead BacklogAhead(monotonic_time key, std::string_view team) const;

  bool empty() const { return active_teams_.empty(); }

 private:
  static queue_item* FirstEligible(team_queue& team,
                                   const placement_filter& filter,
                                   monotonic_time now);

  std::map<std::string, team_queue, std::less<>> teams_;
  std::vector<team_queue*> active_teams_;
  std::size_t task_count_ = 0;
  std::size_t current_ = 0;  // Index of the team whose turn it is.
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_FAIR_QUEUE_H_
