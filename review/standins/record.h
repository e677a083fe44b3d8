#ifndef EGRETRACK_REVIEW_RECORD_H_
#define EGRETRACK_REVIEW_RECORD_H_

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack::review {

// A run of a task at a worker. `ended` is unset while it runs.
struct run_record {
  std::string task;
  std::string worker;
  std::int64_t number = 0;
  microseconds started{0};
  microseconds ended{-1};
  std::string how;
};

// Writes what was sent, answered and run to record.txt. Thread-safe.
class record {
 public:
  explicit record(const std::string& path);

  void Note(const std::string& text);
  std::size_t RecordStart(const std::string& task,
                          const std::string& worker,
                          std::int64_t number);
  void RecordEnd(std::size_t run, const std::string& how);
  std::vector<run_record> runs() const;

  // Time since the start of the record.
  microseconds Now() const;
  // Pairs of runs of one task that overlapped by more than `slack`; each pair
  // is noted.
  std::size_t CountOverlaps(microseconds slack);

 private:
  void Write(const std::string& text);

  const monotonic_time begin_;
  mutable std::mutex mutex_;
  std::ofstream out_;
  std::vector<run_record> runs_;
};

}  // namespace egretrack::review

#endif  // EGRETRACK_REVIEW_RECORD_H_
