#include "review/standins/record.h"

#include <algorithm>
#include <cstdio>

namespace egretrack::review {

record::record(const std::string& path)
    : begin_(monotonic_clock::now()), out_(path) {}

microseconds record::Now() const {
  return monotonic_clock::now() - begin_;
}

void record::Write(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ms  ",
                static_cast<double>(Now().count()) / 1000);
  out_ << time << text << std::endl;
}

void record::Note(const std::string& text) {
  const std::lock_guard lock(mutex_);
  Write(text);
}

std::size_t record::RecordStart(const std::string& task,
                                const std::string& worker,
                                std::int64_t number) {
  const std::lock_guard lock(mutex_);
  runs_.push_back({task, worker, number, Now(), microseconds(-1), ""});
  Write("worker " + worker + " starts " + task + " run " +
        std::to_string(number));
  return runs_.size() - 1;
}

void record::RecordEnd(std::size_t run, const std::string& how) {
  const std::lock_guard lock(mutex_);
  run_record& ended = runs_[run];
  ended.ended = Now();
  ended.how = how;
  Write("worker " + ended.worker + " ends " + ended.task + " run " +
        std::to_string(ended.number) + " " + how);
}

std::vector<run_record> record::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::size_t record::CountOverlaps(microseconds slack) {
  const std::lock_guard lock(mutex_);
  const microseconds now = Now();
  const auto end = [now](const run_record& run) {
    return run.ended < microseconds(0) ? now : run.ended;
  };
  std::size_t overlaps = 0;
  for (std::size_t i = 0; i < runs_.size(); ++i) {
    for (std::size_t j = i + 1; j < runs_.size(); ++j) {
      const run_record& a = runs_[i];
      const run_record& b = runs_[j];
      if (a.task != b.task)
        continue;
      const microseconds both =
          std::min(end(a), end(b)) - std::max(a.started, b.started);
      if (both <= slack)
        continue;
      ++overlaps;
      Write("BROKEN: " + a.task + " ran on " + a.worker + " and " + b.worker +
            " at the same time for " + std::to_string(both.count() / 1000) +
            " ms");
    }
  }
  return overlaps;
}

}  // namespace egretrack::review
