#ifndef EGRETRACK_REVIEW_WORKER_H_
#define EGRETRACK_REVIEW_WORKER_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "egretrack/net/http.h"
#include "review/standins/record.h"

namespace egretrack::review {

struct worker_options {
  std::string name;  // In the record, also across restarts.
  std::string id;
  std::string service;
  std::string zone;
  net::tcp_address address;  // Where it accepts calls.
  net::tcp_address agent;    // Where it sends its heartbeats.
  std::vector<std::string> labels{"a", "r1-1"};
  // Unix milliseconds of the start by the machine's time of day.
  std::int64_t born = 0;
  milliseconds heartbeat_interval{1500};
};

// One life of a worker. The spec of a task tells how long it runs:
// {"ms":120}. Follows the page on running tasks; the destructor is a crash.
class worker {
 public:
  static std::unique_ptr<worker> Start(worker_options options, record& record);
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

 private:
  struct task_run {
    std::int64_t number = 0;
    std::int64_t cpu = 0;
    microseconds run_time{0};
    monotonic_time started;
    std::optional<monotonic_time> stop_at;
    std::size_t record_index = 0;
  };
  struct ended_run {
    std::int64_t sequence = 0;
    std::string task;
    std::int64_t number = 0;
    std::string how;
  };
  struct waiting_hold {
    net::http_exchange_ptr exchange;
    monotonic_time deadline;
  };

  worker(worker_options options, record& record);
  void Handle(const net::http_exchange_ptr& exchange);
  void HandleStart(const net::http_exchange_ptr& exchange,
                   const std::string& body);
  void Answer(const net::http_exchange_ptr& exchange,
              unsigned status,
              const std::string& reason);
  void AnswerHold(const net::http_exchange_ptr& exchange);
  void ExtendLease(std::int64_t until);
  void EndDueRuns();
  void RunTimers();
  net::http_request Heartbeat();
  std::int64_t ClockMs() const;

  const worker_options options_;
  record& record_;
  const monotonic_time born_at_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::int64_t fence_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::int64_t heartbeat_sequence_ = 0;
  std::int64_t end_sequence_ = 0;
  monotonic_time next_heartbeat_{};
  std::map<std::string, task_run> running_;
  std::map<std::string, std::int64_t> highest_;  // Of ended or stopped runs.
  std::vector<ended_run> ended_;
  std::vector<waiting_hold> holds_;
  std::unique_ptr<net::http_client> client_;
  std::unique_ptr<net::http_server> server_;
  std::thread timers_;
};

}  // namespace egretrack::review

#endif  // EGRETRACK_REVIEW_WORKER_H_
