#include "entry/json_codec.h"

#include <ostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry/request_error.h"

namespace egretrack::entry {
namespace {

const job_id kId{"a", incarnation{1}, 2, 3};

// Guards against fields that are read into the wrong place.
TEST(JsonCodec, ReadsSubmission) {
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

// Guards against a default deadline that is taken for a chosen one.
TEST(JsonCodec, DeadlineAndTeamAreOptional) {
  const auto job = ParseSubmission(R"({"kind":"k","tasks":[]})");
  ASSERT_TRUE(job);
  EXPECT_FALSE(job->deadline);
  EXPECT_EQ(job->team, "");
}

struct bad_submission {
  const char* name;
  std::string body;
  request_errc code;
};

void PrintTo(const bad_submission& input, std::ostream* out) {
  *out << input.name;
}

class JsonCodecFault : public testing::TestWithParam<bad_submission> {};

// Guards against input that starts a job other than the one meant.
TEST_P(JsonCodecFault, IsTyped) {
  const auto job = ParseSubmission(GetParam().body);
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    JsonCodecFault,
    testing::Values(
        bad_submission{"Empty", "", request_errc::kMalformedJson},
        bad_submission{"Cut", R"({"kind":"k")", request_errc::kMalformedJson},
        bad_submission{"Trailing", R"({"kind":"k","tasks":[]} x)",
                       request_errc::kMalformedJson},
        bad_submission{"NotUtf8", "{\"kind\":\"\xff\",\"tasks\":[]}",
                       request_errc::kMalformedJson},
        bad_submission{"Deep", std::string(100000, '['),
                       request_errc::kMalformedJson},
        bad_submission{"List", "[]", request_errc::kWrongType},
        bad_submission{"NoKind", R"({"tasks":[]})",
                       request_errc::kMissingField},
        bad_submission{"NoTasks", R"({"kind":"k"})",
                       request_errc::kMissingField},
        bad_submission{"NoPayload", R"({"kind":"k","tasks":[{}]})",
                       request_errc::kMissingField},
        bad_submission{"Unknown", R"({"kind":"k","tasks":[],"dead_line":1})",
                       request_errc::kUnknownField},
        bad_submission{"UnknownOfTask",
                       R"({"kind":"k","tasks":[{"payload":"","id":1}]})",
                       request_errc::kUnknownField},
        bad_submission{"KindNumber", R"({"kind":1,"tasks":[]})",
                       request_errc::kWrongType},
        bad_submission{"PayloadNumber",
                       R"({"kind":"k","tasks":[{"payload":1}]})",
                       request_errc::kWrongType},
        bad_submission{"DeadlineText",
                       R"({"kind":"k","tasks":[],"deadline_ms":"1"})",
                       request_errc::kWrongType},
        bad_submission{"DeadlineFraction",
                       R"({"kind":"k","tasks":[],"deadline_ms":1.5})",
                       request_errc::kWrongType},
        bad_submission{"DeadlineNegative",
                       R"({"kind":"k","tasks":[],"deadline_ms":-1})",
                       request_errc::kOutOfRange},
        bad_submission{
            "DeadlineHuge",
            R"({"kind":"k","tasks":[],"deadline_ms":18446744073709551615})",
            request_errc::kOutOfRange}),
    [](const auto& info) { return info.param.name; });

std::string SubmissionOf(int tasks) {
  std::string list = R"({"payload":""})";
  for (int i = 1; i < tasks; ++i)
    list += R"(,{"payload":""})";
  return R"({"kind":"k","tasks":[)" + list + "]}";
}

// Guards against a job with too many tasks that is cut to a valid one, or that
// is refused without the claim that nothing ran, which only the core makes.
TEST(JsonCodec, LeavesTooManyTasksToTheCore) {
  for (const int tasks : {1201, 1202, 5000}) {
    const auto job = ParseSubmission(SubmissionOf(tasks));
    ASSERT_TRUE(job) << job.error().ToString();
    EXPECT_EQ(job->payloads.size(), 1201U);
  }
  EXPECT_EQ(ParseSubmission(SubmissionOf(1200))->payloads.size(), 1200U);
}

// Guards against a deadline of zero that is taken for the default, or that is
// refused without the claim that nothing ran.
TEST(JsonCodec, LeavesADeadlineOfZeroToTheCore) {
  const auto job =
      ParseSubmission(R"({"kind":"k","tasks":[],"deadline_ms":0})");
  ASSERT_TRUE(job) << job.error().ToString();
  EXPECT_EQ(job->deadline, milliseconds(0));
}

// Guards against input that ends the process.
RC_GTEST_PROP(JsonCodec, AnyBytesAreReadOrRefused, (std::string body)) {
  ParseSubmission(body);
}

// Guards against a partial answer: results are given only when all are there.
TEST(JsonCodec, WritesResultsOnlyWhenAnswered) {
  decision::job_answer answer;
  answer.id = kId;
  answer.tasks = {{decision::task_outcome::kFinished, "r1"},
                  {decision::task_outcome::kFinished, "r2"}};
  answer.outcome = decision::job_outcome::kAnswered;
  EXPECT_EQ(EncodeAnswer(answer),
            R"({"id":")" + kId.ToString() +
                R"(","outcome":"answered","results":["r1","r2"]})");
  answer.outcome = decision::job_outcome::kFailed;
  answer.code = decision::job_errc::kTaskFailed;
  answer.message = "m";
  answer.tasks[1] = {decision::task_outcome::kFailed, {}};
  EXPECT_EQ(EncodeAnswer(answer),
            R"({"id":")" + kId.ToString() +
                R"(","outcome":"failed","error":"task_failed","message":"m",)"
                R"("not_run":false,"tasks":[{"outcome":"finished"},)"
                R"({"outcome":"failed"}]})");
}

// Guards against an answer that no JSON parser reads.
TEST(JsonCodec, WritesBinaryResultAsBase64) {
  decision::job_answer answer;
  answer.id = kId;
  answer.outcome = decision::job_outcome::kAnswered;
  answer.tasks = {{decision::task_outcome::kFinished, "\xff\xfe"}};
  EXPECT_NE(EncodeAnswer(answer).find(R"("results":[{"base64":"//4="}])"),
            std::string::npos);
}

// Guards against "not run" for a job that may have run.
TEST(JsonCodec, ClaimsNotRunOnlyForRefusals) {
  using decision::job_errc;
  using decision::job_outcome;
  decision::job_answer answer;
  answer.outcome = job_outcome::kRefused;
  answer.code = job_errc::kOverloaded;
  EXPECT_TRUE(ClaimsNotRun(answer));
  for (const job_errc code : {job_errc::kIdReused, job_errc::kIdExpired,
                              job_errc::kInvalidId, job_errc::kUnknownJob}) {
    answer.code = code;
    EXPECT_FALSE(ClaimsNotRun(answer));
  }
  answer.code = job_errc::kOverloaded;
  for (const job_outcome outcome :
       {job_outcome::kPending, job_outcome::kAnswered, job_outcome::kFailed,
        job_outcome::kOutcomeUnknown}) {
    answer.outcome = outcome;
    EXPECT_FALSE(ClaimsNotRun(answer));
  }
}

}  // namespace
}  // namespace egretrack::entry
