#ifndef REVIEW_THIRD_WORKER_STANDIN_H_
#define REVIEW_THIRD_WORKER_STANDIN_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>

#include "http.h"
#include "record.h"

namespace review {

// A run of a task that a worker has begun.
struct task_start {
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  steady::time_point at;
  steady::time_point ended_at = steady::time_point::max();
};

// All starts of a case, in order.
class start_list {
 public:
  void Add(task_start start);
  void RecordEnd(const std::string& task,
                 std::int64_t run,
                 const std::string& worker);
  // Starts of tasks of the job, later than `after`.
  std::vector<task_start> Of(const std::string& job,
                             steady::time_point after = {}) const;
  std::vector<task_start> On(const std::string& worker) const;
  // Starts of tasks of which another run was at work on another worker.
  std::vector<task_start> Doubled() const;

 private:
  mutable std::mutex mutex_;
  std::vector<task_start> starts_;
};

struct worker_options {
  std::string id;
  std::string service;
  std::string zone;
  std::string label = "a";
  address at;               // Where it takes calls.
  address control;          // Of the agent on its machine.
  milliseconds work{1000};  // Of each task.
  int cpu = 16000;
  int mem_mb = 32768;
};

// A worker of one machine. Its life ends with Crash() or with the object; it
// can be started again under its id.
class worker_standin {
 public:
  worker_standin(worker_options options, record& log, start_list& starts);
  ~worker_standin();
  worker_standin(const worker_standin&) = delete;
  worker_standin& operator=(const worker_standin&) = delete;

  // The next task that begins ends the process, before its start is answered.
  void CrashAtNextStart() { crash_at_start_ = true; }
  bool crashed() const { return crashed_; }
  // Ends all connections and refuses new ones, as after the end of a process.
  void Crash();

 private:
  struct run {
    std::string task;
    std::int64_t number = 0;
    steady::time_point started;
    steady::time_point stop_at;  // Set once the run is told to stop.
    bool stopping = false;
  };

  std::optional<response> Handle(const request& asked);
  response Start(const boost::json::object& body);
  response Stop(const boost::json::object& body);
  response Hold(const boost::json::object& body,
                std::unique_lock<std::mutex>& lock);
  response Answer(int status, const std::string& reason) const;
  void ExtendLease(const boost::json::object& body);
  void Advance();
  void End(std::size_t index, const std::string& how);
  void Work();
  void Beat();
  std::int64_t Clock() const;

  const worker_options options_;
  record& log_;
  start_list& starts_;
  const steady::time_point start_ = steady::now();
  const std::int64_t born_;
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::vector<run> runs_;
  std::map<std::string, std::int64_t> highest_run_;  // Stopped or ended.
  std::vector<boost::json::array> ended_;
  std::int64_t last_end_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ = 0;  // On Clock().
  std::atomic<bool> crash_at_start_ = false;
  std::atomic<bool> crashed_ = false;
  std::atomic<bool> stopped_ = false;
  std::unique_ptr<http_server> server_;
  std::thread working_;
  std::thread beating_;
};

}  // namespace review

#endif  // REVIEW_THIRD_WORKER_STANDIN_H_
