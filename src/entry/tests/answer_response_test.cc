#include "entry/answer_response.h"

#include <gtest/gtest.h>

namespace egretrack::entry {
namespace {

using decision::job_errc;
using decision::job_outcome;

unsigned SubmissionStatus(job_outcome outcome, std::error_code code) {
  decision::job_answer answer;
  answer.outcome = outcome;
  answer.code = code;
  return HttpStatus(answer, job_operation::kSubmit);
}

// Guards against a status that misleads callers, for example one that makes
// them retry a request that can never succeed.
TEST(AnswerResponse, MapsSubmissionOutcomesToStatuses) {
  EXPECT_EQ(SubmissionStatus(job_outcome::kAnswered, {}), 200U);
  EXPECT_EQ(SubmissionStatus(job_outcome::kFailed, job_errc::kTaskFailed),
            502U);
  EXPECT_EQ(
      SubmissionStatus(job_outcome::kOutcomeUnknown, job_errc::kTaskUnknown),
      504U);
  EXPECT_EQ(SubmissionStatus(job_outcome::kRefused, job_errc::kOverloaded),
            503U);
  EXPECT_EQ(SubmissionStatus(job_outcome::kRefused, job_errc::kQuotaExceeded),
            429U);
  EXPECT_EQ(SubmissionStatus(job_outcome::kRefused, job_errc::kUnknownKind),
            422U);
  EXPECT_EQ(SubmissionStatus(job_outcome::kOutcomeUnknown, job_errc::kIdReused),
            409U);
  EXPECT_EQ(
      SubmissionStatus(job_outcome::kOutcomeUnknown, job_errc::kUnknownJob),
      404U);
}

// Guards against a Retry-After that is rounded down to whole seconds, after
// which callers retry too early.
TEST(AnswerResponse, RoundsRetryAfterUp) {
  decision::job_answer answer;
  answer.id = {"a", incarnation{1}, 2, 3};
  answer.outcome = job_outcome::kRefused;
  answer.code = job_errc::kOverloaded;
  answer.retry_after = milliseconds(1001);
  const auto response = MakeAnswerResponse(answer, job_operation::kSubmit);
  EXPECT_EQ(response.Header("Retry-After"), "2");
  EXPECT_EQ(response.Header(kJobIdHeader), answer.id.ToString());
}

// Guards against an inquiry or cancellation that fails because the job has
// failed. It fails only if the state of the job is unknown.
TEST(AnswerResponse, InquirySucceedsForFailedJob) {
  decision::job_answer answer;
  answer.outcome = job_outcome::kFailed;
  answer.code = job_errc::kTaskFailed;
  EXPECT_EQ(HttpStatus(answer, job_operation::kInquire), 200U);
  EXPECT_EQ(HttpStatus(answer, job_operation::kCancel), 202U);
  answer.outcome = job_outcome::kOutcomeUnknown;
  answer.code = job_errc::kHomeUnreachable;
  EXPECT_EQ(HttpStatus(answer, job_operation::kInquire), 504U);
  EXPECT_EQ(HttpStatus(answer, job_operation::kCancel), 504U);
}

}  // namespace
}  // namespace egretrack::entry
