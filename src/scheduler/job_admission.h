#ifndef EGRETRACK_SCHEDULER_JOB_ADMISSION_H_
#define EGRETRACK_SCHEDULER_JOB_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/resources.h"
#include "egretrack/base/time.h"

// Admission of a job as a whole, by the predicted end of its last task. Load
// pattern: at a peak, jobs of many tasks find a place for the first task in
// time but not for the last, and use resources without an answer by their
// deadline. Estimates are off by 40 %, so that only jobs are refused that
// clearly cannot end in time.
namespace egretrack::scheduler {

// A worker that can run the tasks of a step.
struct step_place {
  microseconds wait{0};    // Predicted until one more task can start.
  microseconds run{0};     // Predicted run time of one task.
  std::int64_t free = 0;   // Tasks that can start at once.
  std::int64_t slots = 1;  // Tasks that can run at the same time.
};

struct admission_step {
  std::uint32_t tasks = 1;
  std::span<const std::uint32_t> after;  // Indexes of earlier steps.
  std::vector<step_place> places;        // Empty: nothing is known of the step.
};

// Earliest times, relative to now, by which a job can end.
struct end_prediction {
  microseconds alone{0};   // With a free place for each task.
  microseconds narrow{0};  // With one task in each step.
  microseconds whole{0};
  // The place with the earliest end, of the step where this end is latest.
  step_place earliest;
};

enum class admission_verdict : std::uint8_t {
  kAccepted,
  kOverloaded,
  kDeadlineUnreachable,  // Also with free places.
};

// Number of tasks with the need `need` that fit into `available`.
std::int64_t CountFitting(const resources& available, const resources& need);

end_prediction PredictEnd(std::span<const admission_step> steps);

class job_admission {
 public:
  // Judges a submission of `tasks` tasks in all that has to end within
  // `time_left`. Refuses the wide jobs of a kind at most about twice as often
  // as all of its jobs.
  admission_verdict Judge(std::string_view kind,
                          std::uint32_t tasks,
                          const end_prediction& prediction,
                          microseconds time_left,
                          monotonic_time now);

 private:
  static constexpr std::size_t kRecentJobs = 64;
  // By the share of the kind's recent jobs that have fewer tasks.
  enum size_group : std::uint8_t { kCommon, kUpperFifth, kLargestTenth };
  struct submission_counts {
    double submitted = 0;
    double refused = 0;
    // (refused + 1) / (submitted + 1)
    double RefusedShareAfterOneMore() const;
  };
  struct kind_history {
    std::array<std::uint32_t, kRecentJobs> recent{};  // Numbers of tasks.
    std::size_t jobs = 0;
    std::array<submission_counts, 3> by_group;
    submission_counts all;
    monotonic_time updated{};
  };

  static size_group GroupOf(const kind_history& history, std::uint32_t tasks);
  static void Fade(kind_history& history, monotonic_time now);

  std::map<std::string, kind_history, std::less<>> kinds_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_JOB_ADMISSION_H_
