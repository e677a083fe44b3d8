#include "entry/json_codec.h"

#include <ostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry/request_error.h"

namespace egretrack::entry {
namespace {

const job_id kJobId{"a", incarnation{1}, 2, 3};

// Guards against JSON fields that are stored in the wrong member of the
// submission.
TEST(JsonCodec, ParsesSubmission) {
  const auto job =
      ParseSubmission(R"({"kind":"k","team":"t","deadline_ms":20,)"
                      R"("tasks":[{"payload":"a\u0000\n"},{"payload":""}]})");
  ASSERT_TRUE(job) << job.error().ToString();
  EXPECT_EQ(job->kind, "k");
  EXPECT_EQ(job->team, "t");
  EXPECT_EQ(job->deadline, milliseconds(20));
  EXPECT_EQ(job->payloads,
            (std::vector<std::string>{std::string("a\0\n", 3), ""}));
}

// Guards against a missing deadline that is replaced before the core can apply
// the default of the request kind.
TEST(JsonCodec, DeadlineAndTeamAreOptional) {
  const auto job = ParseSubmission(R"({"kind":"k","tasks":[]})");
  ASSERT_TRUE(job);
  EXPECT_FALSE(job->deadline);
  EXPECT_EQ(job->team, "");
}

struct invalid_submission {
  const char* name;
  std::string body;
  request_errc code;
};

void PrintTo(const invalid_submission& input, std::ostream* out) {
  *out << input.name;
}

class JsonCodecInvalidSubmission
    : public testing::TestWithParam<invalid_submission> {};

// Guards against an invalid submission that starts a job other than the caller
// intended, for example because a misspelled field is ignored.
TEST_P(JsonCodecInvalidSubmission, HasErrorCode) {
  const auto job = ParseSubmission(GetParam().body);
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    JsonCodecInvalidSubmission,
    testing::Values(
        invalid_submission{"Empty", "", request_errc::kMalformedJson},
        invalid_submission{"Cut", R"({"kind":"k")",
                           request_errc::kMalformedJson},
        invalid_submission{"Trailing", R"({"kind":"k","tasks":[]} x)",
                           request_errc::kMalformedJson},
        invalid_submission{"NotUtf8", "{\"kind\":\"\xff\",\"tasks\":[]}",
                           request_errc::kMalformedJson},
        invalid_submission{"Deep", std::string(100000, '['),
                           request_errc::kMalformedJson},
        invalid_submission{"List", "[]", request_errc::kWrongType},
        invalid_submission{"NoKind", R"({"tasks":[]})",
                           request_errc::kMissingField},
        invalid_submission{"NoTasks", R"({"kind":"k"})",
                           request_errc::kMissingField},
        invalid_submission{"NoPayload", R"({"kind":"k","tasks":[{}]})",
                           request_errc::kMissingField},
        invalid_submission{"Unknown",
                           R"({"kind":"k","tasks":[],"dead_line":1})",
                           request_errc::kUnknownField},
        invalid_submission{"UnknownOfTask",
                           R"({"kind":"k","tasks":[{"payload":"","id":1}]})",
                           request_errc::kUnknownField},
        invalid_submission{"KindNumber", R"({"kind":1,"tasks":[]})",
                           request_errc::kWrongType},
        invalid_submission{"PayloadNumber",
                           R"({"kind":"k","tasks":[{"payload":1}]})",
                           request_errc::kWrongType},
        invalid_submission{"DeadlineText",
                           R"({"kind":"k","tasks":[],"deadline_ms":"1"})",
                           request_errc::kWrongType},
        invalid_submission{"DeadlineFraction",
                           R"({"kind":"k","tasks":[],"deadline_ms":1.5})",
                           request_errc::kWrongType},
        invalid_submission{"DeadlineNegative",
                           R"({"kind":"k","tasks":[],"deadline_ms":-1})",
                           request_errc::kOutOfRange},
        invalid_submission{
            "DeadlineHuge",
            R"({"kind":"k","tasks":[],"deadline_ms":18446744073709551615})",
            request_errc::kOutOfRange}),
    [](const auto& info) { return info.param.name; });

std::string SubmissionWithTasks(int tasks) {
  std::string list = R"({"payload":""})";
  for (int i = 1; i < tasks; ++i)
    list += R"(,{"payload":""})";
  return R"({"kind":"k","tasks":[)" + list + "]}";
}

// Guards against a job with too many tasks that is truncated to a valid one, or
// that the codec refuses: only a refusal by the core guarantees that no task
// ran.
TEST(JsonCodec, LeavesExcessTasksToTheCore) {
  for (const int tasks : {1201, 1202, 5000}) {
    const auto job = ParseSubmission(SubmissionWithTasks(tasks));
    ASSERT_TRUE(job) << job.error().ToString();
    EXPECT_EQ(job->payloads.size(), 1201U);
  }
  EXPECT_EQ(ParseSubmission(SubmissionWithTasks(1200))->payloads.size(), 1200U);
}

// Guards against a deadline of zero that is replaced by the default, or that
// the codec refuses: only a refusal by the core guarantees that no task ran.
TEST(JsonCodec, LeavesZeroDeadlineToTheCore) {
  const auto job =
      ParseSubmission(R"({"kind":"k","tasks":[],"deadline_ms":0})");
  ASSERT_TRUE(job) << job.error().ToString();
  EXPECT_EQ(job->deadline, milliseconds(0));
}

// Guards against input that crashes the process.
RC_GTEST_PROP(JsonCodec, ParsesOrRefusesAnyBytes, (std::string body)) {
  ParseSubmission(body);
}

// Guards against partial results: an answer contains results only if every task
// has finished.
TEST(JsonCodec, EncodesResultsOnlyForAnsweredJob) {
  decision::job_answer answer;
  answer.id = kJobId;
  answer.tasks = {{decision::task_outcome::kFinished, "r1"},
                  {decision::task_outcome::kFinished, "r2"}};
  answer.outcome = decision::job_outcome::kAnswered;
  EXPECT_EQ(EncodeAnswer(answer),
            R"({"id":")" + kJobId.ToString() +
                R"(","outcome":"answered","results":["r1","r2"]})");
  answer.outcome = decision::job_outcome::kFailed;
  answer.code = decision::job_errc::kTaskFailed;
  answer.message = "m";
  answer.tasks[1] = {decision::task_outcome::kFailed, {}};
  EXPECT_EQ(EncodeAnswer(answer),
            R"({"id":")" + kJobId.ToString() +
                R"(","outcome":"failed","error":"task_failed","message":"m",)"
                R"("not_run":false,"tasks":[{"outcome":"finished"},)"
                R"({"outcome":"failed"}]})");
}

// Guards against a binary result that makes the answer invalid JSON.
TEST(JsonCodec, EncodesBinaryResultAsBase64) {
  decision::job_answer answer;
  answer.id = kJobId;
  answer.outcome = decision::job_outcome::kAnswered;
  answer.tasks = {{decision::task_outcome::kFinished, "\xff\xfe"}};
  EXPECT_NE(EncodeAnswer(answer).find(R"("results":[{"base64":"//4="}])"),
            std::string::npos);
}

// Guards against "not_run":true for a job that may have run, after which a
// caller submits it again.
TEST(JsonCodec, GuaranteesNotRunOnlyForRefusals) {
  using decision::job_errc;
  using decision::job_outcome;
  decision::job_answer answer;
  answer.outcome = job_outcome::kRefused;
  answer.code = job_errc::kOverloaded;
  EXPECT_TRUE(GuaranteesNotRun(answer));
  for (const job_errc code : {job_errc::kIdReused, job_errc::kIdExpired,
                              job_errc::kInvalidId, job_errc::kUnknownJob}) {
    answer.code = code;
    EXPECT_FALSE(GuaranteesNotRun(answer));
  }
  answer.code = job_errc::kOverloaded;
  for (const job_outcome outcome :
       {job_outcome::kPending, job_outcome::kAnswered, job_outcome::kFailed,
        job_outcome::kOutcomeUnknown}) {
    answer.outcome = outcome;
    EXPECT_FALSE(GuaranteesNotRun(answer));
  }
}

}  // namespace
}  // namespace egretrack::entry
