#include "entry/answer_response.h"

#include <array>
#include <chrono>
#include <span>
#include <string>

#include "entry/json_codec.h"

namespace egretrack::entry {
namespace {

using decision::job_errc;
using decision::job_outcome;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

struct code_status {
  job_errc code;
  unsigned status;
};

// Refusals that are not listed here get 503, so that the caller retries later.
constexpr std::array kRefusalStatuses = {
    code_status{job_errc::kUnknownKind, 422},
    code_status{job_errc::kUnknownTeam, 422},
    code_status{job_errc::kNoTasks, 422},
    code_status{job_errc::kTooManyTasks, 422},
    code_status{job_errc::kInvalidDeadline, 422},
    code_status{job_errc::kPayloadTooLarge, 413},
    code_status{job_errc::kQuotaExceeded, 429},
    code_status{job_errc::kCancelled, 409},
};

// Errors of the job id. The core reports them as an unknown outcome, because an
// earlier submission with the same id may have run.
constexpr std::array kIdErrorStatuses = {
    code_status{job_errc::kInvalidId, 400},
    code_status{job_errc::kIdReused, 409},
    code_status{job_errc::kIdExpired, 410},
    code_status{job_errc::kUnknownJob, 404},
};

unsigned FindStatus(std::span<const code_status> table,
                    std::error_code code,
                    unsigned default_status) {
  for (const code_status& row : table) {
    if (code == row.code)
      return row.status;
  }
  return default_status;
}

unsigned SubmissionStatus(const decision::job_answer& answer) {
  switch (answer.outcome) {
    case job_outcome::kPending:
      return kAccepted;
    case job_outcome::kAnswered:
      return kOk;
    case job_outcome::kRefused:
      return FindStatus(kRefusalStatuses, answer.code, kServiceUnavailable);
    case job_outcome::kFailed:
      return kBadGateway;
    case job_outcome::kOutcomeUnknown:
      return kGatewayTimeout;
  }
  return kGatewayTimeout;
}

}  // namespace

unsigned HttpStatus(const decision::job_answer& answer,
                    job_operation operation) {
  if (const unsigned status = FindStatus(kIdErrorStatuses, answer.code, 0);
      status != 0)
    return status;
  // An inquiry or cancellation fails only if the state of the job is unknown.
  // It succeeds for every recorded outcome, also for that of a failed job.
  const bool is_unknown = answer.code == job_errc::kHomeUnreachable ||
                          answer.outcome == job_outcome::kOutcomeUnknown;
  switch (operation) {
    case job_operation::kSubmit:
      return SubmissionStatus(answer);
    case job_operation::kInquire:
      return is_unknown ? kGatewayTimeout : kOk;
    case job_operation::kCancel:
      return is_unknown ? kGatewayTimeout : kAccepted;
  }
  return kGatewayTimeout;
}

net::http_response MakeAnswerResponse(const decision::job_answer& answer,
                                      job_operation operation) {
  net::http_response response;
  response.status = HttpStatus(answer, operation);
  response.headers.push_back({"Content-Type", "application/json"});
  if (!answer.id.entry.empty())
    response.headers.push_back(
        {std::string(kJobIdHeader), answer.id.ToString()});
  if (answer.retry_after.count() > 0) {
    const auto delay = std::chrono::ceil<seconds>(answer.retry_after);
    response.headers.push_back({"Retry-After", std::to_string(delay.count())});
  }
  response.body = EncodeAnswer(answer);
  return response;
}

}  // namespace egretrack::entry
