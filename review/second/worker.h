#ifndef REVIEW_SECOND_WORKER_H_
#define REVIEW_SECOND_WORKER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "egretrack/net/http.h"
#include "record.h"

namespace review {

struct worker_options {
  std::string id;
  std::string service;
  std::string kind = "a";  // First label.
  std::string rack = "r1-1";
  egretrack::net::tcp_address listen;  // Port 0: any.
  egretrack::net::tcp_address agent;   // `control` of its machine.
  int cpu_milli = 16000;
  int memory_mb = 32768;
  // Runs of tasks whose names begin so are not recorded line by line.
  std::string quiet_prefix;
};

// A run on a worker, in milliseconds of the recorder. `ended` is -1 while the
// task is at work.
struct run_event {
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  std::int64_t started = 0;
  std::int64_t ended = -1;
  std::string how;
};

// Stand-in for one life of a worker, after the pages: leases, fencing tokens,
// run numbers, lists of ends, heartbeats each 1.5 s, first at its start. The
// spec of a task is its run time in milliseconds. It guards its capacity by
// "cpu=N" in the spec, if there.
class worker {
 public:
  static std::unique_ptr<worker> Start(worker_options options, recorder& log);
  // Everything that runs ends, as in a crash.
  virtual ~worker() = default;
  virtual egretrack::net::tcp_address address() const = 0;
  // All runs of this life so far.
  virtual std::vector<run_event> runs() const = 0;
};

}  // namespace review

#endif  // REVIEW_SECOND_WORKER_H_
