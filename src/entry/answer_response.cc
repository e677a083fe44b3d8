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
constexpr unsigned kFailed = 502;
constexpr unsigned kRefused = 503;
constexpr unsigned kOutcomeUnknown = 504;

struct code_status {
  job_errc code;
  unsigned status;
};

// Refusals that are not in the list are 503: the caller may try again later.
constexpr std::array kRefusalStatus = {
    code_status{job_errc::kUnknownKind, 422},
    code_status{job_errc::kUnknownTeam, 422},
    code_status{job_errc::kNoTasks, 422},
    code_status{job_errc::kTooManyTasks, 422},
    code_status{job_errc::kInvalidDeadline, 422},
    code_status{job_errc::kPayloadTooLarge, 413},
    code_status{job_errc::kQuotaExceeded, 429},
    code_status{job_errc::kCancelled, 409},
};

// Faults of the id itself; the core reports them as an unknown outcome,
// because they say nothing about an earlier submission.
constexpr std::array kIdStatus = {
    code_status{job_errc::kInvalidId, 400},
    code_status{job_errc::kIdReused, 409},
    code_status{job_errc::kIdExpired, 410},
    code_status{job_errc::kUnknownJob, 404},
};

unsigned Lookup(std::span<const code_status> table,
                std::error_code code,
                unsigned otherwise) {
  for (const code_status& entry : table) {
    if (code == entry.code)
      return entry.status;
  }
  return otherwise;
}

unsigned StatusOfSubmission(const decision::job_answer& answer) {
  switch (answer.outcome) {
    case job_outcome::kPending:
      return kAccepted;
    case job_outcome::kAnswered:
      return kOk;
    case job_outcome::kRefused:
      return Lookup(kRefusalStatus, answer.code, kRefused);
    case job_outcome::kFailed:
      return kFailed;
    case job_outcome::kOutcomeUnknown:
      return kOutcomeUnknown;
  }
  return kOutcomeUnknown;
}

}  // namespace

unsigned HttpStatus(const decision::job_answer& answer, job_question question) {
  if (const unsigned status = Lookup(kIdStatus, answer.code, 0); status != 0)
    return status;
  // A question about a job whose home was not reached has no answer; any other
  // outcome that is recorded is one.
  const bool unanswered = answer.code == job_errc::kHomeUnreachable ||
                          answer.outcome == job_outcome::kOutcomeUnknown;
  switch (question) {
    case job_question::kSubmit:
      return StatusOfSubmission(answer);
    case job_question::kInquire:
      return unanswered ? kOutcomeUnknown : kOk;
    case job_question::kCancel:
      return unanswered ? kOutcomeUnknown : kAccepted;
  }
  return kOutcomeUnknown;
}

net::http_response MakeAnswerResponse(const decision::job_answer& answer,
                                      job_question question) {
  net::http_response response;
  response.status = HttpStatus(answer, question);
  response.headers.push_back({"Content-Type", "application/json"});
  if (!answer.id.entry.empty())
    response.headers.push_back(
        {std::string(kJobIdHeader), answer.id.ToString()});
  if (answer.retry_after.count() > 0) {
    const auto wait = std::chrono::ceil<seconds>(answer.retry_after);
    response.headers.push_back({"Retry-After", std::to_string(wait.count())});
  }
  response.body = EncodeAnswer(answer);
  return response;
}

}  // namespace egretrack::entry
