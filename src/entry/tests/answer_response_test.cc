#include "entry/answer_response.h"

#include <gtest/gtest.h>

namespace egretrack::entry {
namespace {

using decision::job_errc;
using decision::job_outcome;

unsigned StatusFor(job_outcome outcome, std::error_code code) {
  decision::job_answer answer;
  answer.outcome = outcome;
  answer.code = code;
  return HttpStatus(answer, job_question::kSubmit);
}

// Guards against a status that invites a caller to do the wrong thing.
TEST(AnswerResponse, StatusFollowsOutcome) {
  EXPECT_EQ(StatusFor(job_outcome::kAnswered, {}), 200U);
  EXPECT_EQ(StatusFor(job_outcome::kFailed, job_errc::kTaskFailed), 502U);
  EXPECT_EQ(StatusFor(job_outcome::kOutcomeUnknown, job_errc::kTaskUnknown),
            504U);
  EXPECT_EQ(StatusFor(job_outcome::kRefused, job_errc::kOverloaded), 503U);
  EXPECT_EQ(StatusFor(job_outcome::kRefused, job_errc::kQuotaExceeded), 429U);
  EXPECT_EQ(StatusFor(job_outcome::kRefused, job_errc::kUnknownKind), 422U);
  EXPECT_EQ(StatusFor(job_outcome::kOutcomeUnknown, job_errc::kIdReused), 409U);
  EXPECT_EQ(StatusFor(job_outcome::kOutcomeUnknown, job_errc::kUnknownJob),
            404U);
}

// Guards against a wait that is rounded down, so that callers come too early.
TEST(AnswerResponse, RetryAfterIsRoundedUp) {
  decision::job_answer answer;
  answer.id = {"a", incarnation{1}, 2, 3};
  answer.outcome = job_outcome::kRefused;
  answer.code = job_errc::kOverloaded;
  answer.retry_after = milliseconds(1001);
  const auto response = MakeAnswerResponse(answer, job_question::kSubmit);
  EXPECT_EQ(response.Header("Retry-After"), "2");
  EXPECT_EQ(response.Header(kJobIdHeader), answer.id.ToString());
}

// Guards against an inquiry that reports a recorded failure as its own.
TEST(AnswerResponse, QuestionSucceedsWhateverTheJobDid) {
  decision::job_answer answer;
  answer.outcome = job_outcome::kFailed;
  answer.code = job_errc::kTaskFailed;
  EXPECT_EQ(HttpStatus(answer, job_question::kInquire), 200U);
  EXPECT_EQ(HttpStatus(answer, job_question::kCancel), 202U);
  answer.outcome = job_outcome::kOutcomeUnknown;
  answer.code = job_errc::kHomeUnreachable;
  EXPECT_EQ(HttpStatus(answer, job_question::kInquire), 504U);
  EXPECT_EQ(HttpStatus(answer, job_question::kCancel), 504U);
}

}  // namespace
}  // namespace egretrack::entry
