#ifndef EGRETRACK_DECISION_OUTCOME_H_
#define EGRETRACK_DECISION_OUTCOME_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"

namespace egretrack::decision {

enum class job_outcome : std::uint8_t {
  kPending,  // Never the outcome of a final answer.
  kAnswered,
  kRefused,  // No task was started, and none will be.
  kFailed,
  kOutcomeUnknown,
};

enum class task_outcome : std::uint8_t {
  kPending,
  kFinished,
  kNotRun,
  kFailed,
  kUnknown,
};

// Why a job was refused, failed or has an unknown outcome.
enum class job_errc {
  // Refused: no task was started.
  kUnknownKind = 1,
  kUnknownTeam,
  kNoTasks,
  kTooManyTasks,
  kPayloadTooLarge,
  kInvalidDeadline,
  kNoEndpoint,
  kDeskClosed,
  kOverloaded,
  kDeadlineUnreachable,
  kQuotaExceeded,
  kRecordsFull,
  kNotReady,
  kDraining,
  kCancelled,
  kDeadlinePassed,
  kTableUnavailable,
  kUnsupported,
  // Do not tell whether an earlier submission ran.
  kInvalidId,
  kIdReused,
  kIdExpired,
  kUnknownJob,
  // Failed, or the outcome is unknown.
  kTaskFailed,
  kTaskUnknown,
  kHomeUnreachable,
  kKeyOutcomeUnknown,
};

std::error_code make_error_code(job_errc code);

// Stable names used in the API, for example "outcome_unknown", "not_run" and
// "deadline_unreachable".
std::string_view Name(job_outcome outcome);
std::string_view Name(task_outcome outcome);
std::string_view Name(job_errc code);

// Returns true when the caller caused the outcome, by an invalid submission or
// by a cancellation.
bool IsCallerFault(std::error_code code);

struct task_answer {
  task_outcome outcome = task_outcome::kPending;
  std::string result;  // Only for kFinished.
};

// The final response to a caller about a job. Immutable once published.
struct job_answer {
  job_id id;
  job_outcome outcome = job_outcome::kPending;
  std::error_code code;  // Of job_errc; empty for kAnswered and kPending.
  std::string message;
  milliseconds retry_after{0};  // 0 when the answer suggests no retry time.
  std::vector<task_answer> tasks;
};
using job_answer_ptr = std::shared_ptr<const job_answer>;

}  // namespace egretrack::decision

template <>
struct std::is_error_code_enum<egretrack::decision::job_errc> : std::true_type {
};

#endif  // EGRETRACK_DECISION_OUTCOME_H_
