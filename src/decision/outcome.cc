#include "egretrack/decision/outcome.h"

#include <algorithm>
#include <array>

namespace egretrack::decision {
namespace {

struct error_info {
  job_errc code;
  std::string_view name;
  const char* message;
};

constexpr std::array kErrorInfos = {
    error_info{job_errc::kUnknownKind, "unknown_kind",
               "no such request kind is configured"},
    error_info{job_errc::kUnknownTeam, "unknown_team",
               "the desk has no limit for this team"},
    error_info{job_errc::kNoTasks, "no_tasks", "the job has no tasks"},
    error_info{job_errc::kTooManyTasks, "too_many_tasks",
               "the job has more tasks than its kind allows"},
    error_info{job_errc::kPayloadTooLarge, "payload_too_large",
               "a payload is larger than its kind allows"},
    error_info{job_errc::kInvalidDeadline, "invalid_deadline",
               "the deadline is outside the range of its kind"},
    error_info{job_errc::kNoEndpoint, "no_endpoint",
               "no endpoint serves this kind now"},
    error_info{job_errc::kDeskClosed, "desk_closed",
               "no shift of the desk is open for this kind"},
    error_info{job_errc::kOverloaded, "overloaded",
               "the backlog is too long for the job to end by its deadline"},
    error_info{job_errc::kDeadlineUnreachable, "deadline_unreachable",
               "the job cannot end by its deadline even without a backlog"},
    error_info{job_errc::kQuotaExceeded, "quota_exceeded",
               "the team has too many queued tasks"},
    error_info{job_errc::kRecordsFull, "records_full",
               "the table of job records is full"},
    error_info{job_errc::kNotReady, "not_ready",
               "the entry has no configuration yet"},
    error_info{job_errc::kDraining, "draining", "the entry is draining"},
    error_info{job_errc::kCancelled, "cancelled", "the job was cancelled"},
    error_info{job_errc::kDeadlinePassed, "deadline_passed",
               "the deadline passed before every task could run"},
    error_info{job_errc::kTableUnavailable, "table_unavailable",
               "the idempotency key could not be recorded"},
    error_info{job_errc::kUnsupported, "unsupported",
               "the job requires a feature that this entry does not support"},
    error_info{job_errc::kInvalidId, "invalid_id",
               "this entry did not issue the job id"},
    error_info{job_errc::kIdReused, "id_reused",
               "the job id was submitted before with other content"},
    error_info{job_errc::kIdExpired, "id_expired",
               "the job id is older than the retention time"},
    error_info{job_errc::kUnknownJob, "unknown_job",
               "no job with this id is recorded"},
    error_info{job_errc::kTaskFailed, "task_failed", "a task failed"},
    error_info{job_errc::kTaskUnknown, "task_unknown",
               "whether a task ran is unknown"},
    error_info{job_errc::kHomeUnreachable, "home_unreachable",
               "the home entry of the job did not answer"},
    error_info{job_errc::kKeyOutcomeUnknown, "key_outcome_unknown",
               "whether the idempotency key names an earlier job is unknown"},
};

const error_info* FindInfo(job_errc code) {
  for (const error_info& info : kErrorInfos) {
    if (info.code == code)
      return &info;
  }
  return nullptr;
}

class job_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack.job"; }

  std::string message(int value) const override {
    const error_info* info = FindInfo(static_cast<job_errc>(value));
    return info != nullptr ? info->message : "unknown job error";
  }
};

}  // namespace

std::error_code make_error_code(job_errc code) {
  static const job_category kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string_view Name(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::kPending:
      return "pending";
    case job_outcome::kAnswered:
      return "answered";
    case job_outcome::kRefused:
      return "refused";
    case job_outcome::kFailed:
      return "failed";
    case job_outcome::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "";
}

std::string_view Name(task_outcome outcome) {
  switch (outcome) {
    case task_outcome::kPending:
      return "pending";
    case task_outcome::kFinished:
      return "finished";
    case task_outcome::kNotRun:
      return "not_run";
    case task_outcome::kFailed:
      return "failed";
    case task_outcome::kUnknown:
      return "unknown";
  }
  return "";
}

bool IsCallerFault(std::error_code code) {
  static constexpr std::array<job_errc, 7> kCallerFaults = {
      job_errc::kUnknownKind,     job_errc::kUnknownTeam,
      job_errc::kNoTasks,         job_errc::kTooManyTasks,
      job_errc::kPayloadTooLarge, job_errc::kInvalidDeadline,
      job_errc::kCancelled};
  return std::any_of(kCallerFaults.begin(), kCallerFaults.end(),
                     [code](job_errc fault) { return code == fault; });
}

std::string_view Name(job_errc code) {
  const error_info* info = FindInfo(code);
  return info != nullptr ? info->name : "";
}

}  // namespace egretrack::decision
