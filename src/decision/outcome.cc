#include "egretrack/decision/outcome.h"

#include <algorithm>
#include <array>

namespace egretrack::decision {
namespace {

struct code_text {
  job_errc code;
  std::string_view name;
  const char* message;
};

constexpr std::array kCodeTexts = {
    code_text{job_errc::kUnknownKind, "unknown_kind",
              "no such request kind is configured"},
    code_text{job_errc::kUnknownTeam, "unknown_team",
              "the desk has no limit for this team"},
    code_text{job_errc::kNoTasks, "no_tasks", "the job has no tasks"},
    code_text{job_errc::kTooManyTasks, "too_many_tasks",
              "the job has more tasks than its kind allows"},
    code_text{job_errc::kPayloadTooLarge, "payload_too_large",
              "a payload is larger than its kind allows"},
    code_text{job_errc::kInvalidDeadline, "invalid_deadline",
              "the deadline is outside the range of its kind"},
    code_text{job_errc::kNoEndpoint, "no_endpoint",
              "no endpoint serves this kind now"},
    code_text{job_errc::kDeskClosed, "desk_closed",
              "no shift of the desk is open for this kind"},
    code_text{job_errc::kOverloaded, "overloaded",
              "the backlog is too long to end by the deadline"},
    code_text{job_errc::kDeadlineUnreachable, "deadline_unreachable",
              "the job cannot end by its deadline even without a backlog"},
    code_text{job_errc::kQuotaExceeded, "quota_exceeded",
              "the team has too many queued tasks"},
    code_text{job_errc::kRecordsFull, "records_full",
              "the table of job records is full"},
    code_text{job_errc::kNotReady, "not_ready",
              "the entry has no configuration yet"},
    code_text{job_errc::kDraining, "draining", "the entry is draining"},
    code_text{job_errc::kCancelled, "cancelled", "the job was cancelled"},
    code_text{job_errc::kDeadlinePassed, "deadline_passed",
              "the deadline passed before every task could run"},
    code_text{job_errc::kTableUnavailable, "table_unavailable",
              "the idempotency key could not be recorded"},
    code_text{job_errc::kUnsupported, "unsupported",
              "the job asks for something that this entry does not offer"},
    code_text{job_errc::kInvalidId, "invalid_id",
              "this entry did not issue the job id"},
    code_text{job_errc::kIdReused, "id_reused",
              "the job id was submitted before with other content"},
    code_text{job_errc::kIdExpired, "id_expired",
              "the job id is older than the retention time"},
    code_text{job_errc::kUnknownJob, "unknown_job",
              "no job with this id is recorded"},
    code_text{job_errc::kTaskFailed, "task_failed", "a task failed"},
    code_text{job_errc::kTaskUnknown, "task_unknown",
              "whether a task ran is unknown"},
    code_text{job_errc::kHomeUnreachable, "home_unreachable",
              "the home entry of the job did not answer"},
    code_text{job_errc::kKeyOutcomeUnknown, "key_outcome_unknown",
              "whether the idempotency key names an earlier job is unknown"},
};

const code_text* Find(job_errc code) {
  for (const code_text& text : kCodeTexts) {
    if (text.code == code)
      return &text;
  }
  return nullptr;
}

class job_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack.job"; }

  std::string message(int value) const override {
    const code_text* text = Find(static_cast<job_errc>(value));
    return text != nullptr ? text->message : "unknown job error";
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
  const code_text* text = Find(code);
  return text != nullptr ? text->name : "";
}

}  // namespace egretrack::decision
