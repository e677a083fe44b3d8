#include "egretrackctl/commands/command_line.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <sstream>
#include <vector>

#include <gtest/gtest.h>

#include "egretrack/base/file.h"

namespace egretrack::ctl {
namespace {

constexpr const char* kJobId =
    "e1.00000000000000ab.000000000001.0000000000000002";

net::http_reply Response(unsigned status, std::string body) {
  net::http_reply reply;
  reply.ok = true;
  reply.response.status = status;
  reply.response.body = std::move(body);
  return reply;
}

net::http_reply NoResponse(net::call_stage stage) {
  net::http_reply reply;
  reply.failure = {MakeError(errc::kTimeout, "no answer"), stage};
  return reply;
}

// Returns `replies` in order, one per call, and records the calls. Calls beyond
// the last reply are not sent.
class scripted_transport final : public transport {
 public:
  struct call {
    std::string entry;
    std::string line;  // HTTP method and target.
    std::string body;
  };

  net::http_reply Call(const net::tcp_address& entry,
                       const net::http_request& request,
                       milliseconds /*timeout*/) override {
    calls.push_back({entry.ToString(), request.method + " " + request.target,
                     request.body});
    if (calls.size() <= replies.size())
      return replies[calls.size() - 1];
    return NoResponse(net::call_stage::kNotSent);
  }

  std::vector<net::http_reply> replies;
  std::vector<call> calls;
};

class CommandLine : public testing::Test {
 protected:
  void SetUp() override {
    std::ofstream(file_) << "[desk.d]\n[request_kind.k]\ndesk = \"d\"\n"
                            "[endpoint.e]\ndesk = \"d\"\nkinds = [\"k\"]\n";
  }
  void TearDown() override { std::remove(file_.c_str()); }

  exit_code Run(std::vector<std::string> arguments) {
    out_.str("");
    err_.str("");
    return RunCommandLine(arguments, transport_, out_, err_);
  }

  exit_code Submit(std::vector<std::string> extra_arguments) {
    std::vector<std::string> arguments{"submit", "--kind",    "k", "--team",
                                       "t",      "--payload", "p"};
    arguments.insert(arguments.end(), extra_arguments.begin(),
                     extra_arguments.end());
    return Run(arguments);
  }

  const std::string file_ = testing::TempDir() + "egretrackctl_test." +
                            std::to_string(getpid()) + ".toml";
  scripted_transport transport_;
  std::ostringstream out_;
  std::ostringstream err_;
};

// Guards against usage errors that scripts cannot distinguish from failed
// commands.
TEST_F(CommandLine, ReturnsUsageCodeForInvalidArguments) {
  EXPECT_EQ(Run({}), exit_code::kUsage);
  EXPECT_EQ(Run({"frobnicate"}), exit_code::kUsage);
  EXPECT_EQ(Run({"submit"}), exit_code::kUsage);
  EXPECT_EQ(Run({"status", "--entry", "here"}), exit_code::kUsage);
  EXPECT_EQ(Run({"status", "--timeout-ms", "0"}), exit_code::kUsage);
  EXPECT_EQ(Run({"--help"}), exit_code::kOk);
  EXPECT_NE(out_.str().find("6  outcome unknown"), std::string::npos);
}

// Guards against a manual whose exit codes differ from those of the program.
TEST_F(CommandLine, ManualListsTheExitCodes) {
  const std::string page =
      ReadFile(EGRETRACK_SOURCE_DIR "/docs/commands.md").value();
  for (const exit_code_description& description : ExitCodes()) {
    const std::string row = "| " +
                            std::to_string(static_cast<int>(description.code)) +
                            " | " + std::string(description.text) + " |\n";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

// Guards against a check that stops at the first fault, and against a file with
// faults that is sent to an entry.
TEST_F(CommandLine, CheckReportsEveryFault) {
  EXPECT_EQ(Run({"check", file_}), exit_code::kOk);
  std::ofstream(file_, std::ios::app) << "[limit.l]\ndesk = \"x\"\nsize = 1\n";
  EXPECT_EQ(Run({"check", file_}), exit_code::kInvalid);
  EXPECT_NE(err_.str().find("limit.l: size: no such key"), std::string::npos);
  EXPECT_NE(err_.str().find("desk 'x' does not exist"), std::string::npos);
  EXPECT_EQ(Run({"check", "/nonexistent"}), exit_code::kInvalid);
  EXPECT_EQ(Run({"publish", file_}), exit_code::kInvalid);
  EXPECT_TRUE(transport_.calls.empty());
}

// Guards against warnings that fail a check without --strict, or that pass one
// with it.
TEST_F(CommandLine, CheckFailsForWarningsOnlyIfStrict) {
  EXPECT_EQ(Run({"check", file_, "--strict"}), exit_code::kOk);
  EXPECT_EQ(err_.str(), "");
  std::ofstream(file_, std::ios::app)
      << "[request_kind.s]\ndesk = \"d\"\ndeadline_ms = 100\n"
         "[endpoint.s]\ndesk = \"d\"\nkinds = [\"s\"]\n";
  const std::string text =
      "request_kind.s: deadline_ms: below the expected_ms 200";
  EXPECT_EQ(Run({"check", file_}), exit_code::kOk);
  EXPECT_EQ(err_.str(), file_ + ": warning: " + text + "\n");
  EXPECT_NE(out_.str().find("is valid"), std::string::npos);
  EXPECT_EQ(Run({"check", file_, "--strict"}), exit_code::kInvalid);
  EXPECT_EQ(Run({"--json", "check", file_, "--strict"}), exit_code::kInvalid);
  EXPECT_EQ(out_.str(),
            R"({"valid":true,"faults":[],"warnings":[{"object":)"
            R"("request_kind.s","key":"deadline_ms","code":)"
            R"("deadline_below_expected","reason":"below the expected_ms 200",)"
            R"("text":")" +
                text + "\"}]}\n");
  EXPECT_TRUE(transport_.calls.empty());
}

// Guards against a comparison in the wrong direction, and against an invalid
// file to compare with that is treated as empty.
TEST_F(CommandLine, CheckComparesWithAnotherFile) {
  const std::string other = file_ + ".other";
  std::ofstream(other) << "[desk.d]\nobjective = 0.9\n[desk.old]\n";
  EXPECT_EQ(Run({"check", file_, "--against", other}), exit_code::kOk);
  EXPECT_NE(out_.str().find("Changes against " + other + ": 4\n"),
            std::string::npos)
      << out_.str();
  EXPECT_NE(out_.str().find("removed  desk.old"), std::string::npos);
  EXPECT_EQ(Run({"check", file_, "--json", "--against", file_}),
            exit_code::kOk);
  EXPECT_EQ(out_.str(),
            R"({"valid":true,"faults":[],"warnings":[],"changes":[]})"
            "\n");
  std::ofstream(other) << "[desk.d]\nsize = 1\n";
  EXPECT_EQ(Run({"check", file_, "--against", other}), exit_code::kInvalid);
  EXPECT_EQ(err_.str(), other + ": desk.d: size: no such key\n");
  EXPECT_EQ(out_.str(), "");
  std::remove(other.c_str());
  EXPECT_EQ(Run({"check", file_, "--against", other}), exit_code::kInvalid);
  EXPECT_TRUE(transport_.calls.empty());
}

// Guards against a check that asks the default entry, and against one that
// passes although the entry it was to compare with did not respond.
TEST_F(CommandLine, CheckComparesWithGivenEntryOnly) {
  EXPECT_EQ(Run({"check", file_}), exit_code::kOk);
  EXPECT_TRUE(transport_.calls.empty());
  transport_.replies = {
      Response(200, R"({"version":7,"document":"[desk.d]\n[desk.old]\n"})")};
  EXPECT_EQ(Run({"check", file_, "--entry", "127.0.0.1:1"}), exit_code::kOk);
  ASSERT_EQ(transport_.calls.size(), 1U);
  EXPECT_EQ(transport_.calls[0].entry, "127.0.0.1:1");
  EXPECT_EQ(transport_.calls[0].line, "GET /v1/config");
  EXPECT_NE(out_.str().find("Changes against version 7: 3\n"),
            std::string::npos)
      << out_.str();
  EXPECT_EQ(Run({"check", file_, "--entry", "127.0.0.1:1"}),
            exit_code::kUnreachable);
  EXPECT_EQ(Run({"check", file_, "--entry", "127.0.0.1:1", "--against", file_}),
            exit_code::kUsage);
}

// Guards against a check that ignores the workers, or an invalid file of them.
TEST_F(CommandLine, CheckComparesWithWorkers) {
  const std::string workers = file_ + ".workers";
  std::ofstream(workers) << "[worker.w]\nendpoint = \"x\"\n";
  EXPECT_EQ(Run({"check", file_, "--strict", "--workers", workers}),
            exit_code::kInvalid);
  EXPECT_NE(err_.str().find("warning: endpoint.e: no worker serves"),
            std::string::npos)
      << err_.str();
  std::ofstream(workers) << "[worker.w]\nendpoint = \"e\"\n";
  EXPECT_EQ(Run({"check", file_, "--strict", "--workers", workers}),
            exit_code::kOk)
      << err_.str();
  std::ofstream(workers) << "[worker.w]\n";
  EXPECT_EQ(Run({"check", file_, "--workers", workers}), exit_code::kInvalid);
  EXPECT_EQ(err_.str(),
            workers + ": worker.w: endpoint: required key is missing\n");
  std::remove(workers.c_str());
  EXPECT_EQ(Run({"check", file_, "--workers", workers}), exit_code::kInvalid);
  EXPECT_EQ(out_.str(), "");
}

// Guards against a second write after a lost response (F8): the retry must
// carry the same publication id and base.
TEST_F(CommandLine, PublishRetriesWithTheSamePublicationId) {
  transport_.replies = {Response(200, R"({"version":7,"document":""})"),
                        NoResponse(net::call_stage::kSent),
                        Response(200, R"({"version":8})")};
  EXPECT_EQ(Run({"publish", file_}), exit_code::kOk) << err_.str();
  EXPECT_EQ(out_.str(), "Published as version 8.\n");
  ASSERT_EQ(transport_.calls.size(), 3U);
  EXPECT_EQ(transport_.calls[1].line, transport_.calls[2].line);
  EXPECT_EQ(transport_.calls[1].body, ReadFile(file_).value());
  EXPECT_TRUE(transport_.calls[1].line.starts_with(
      "PUT /v1/config?base=7&publication="));
}

// Guards against a rejected concurrent publication that does not show what the
// other one changed (F10).
TEST_F(CommandLine, PublishReportsConflictingChanges) {
  transport_.replies = {Response(409, R"({"error":"conflict","message":"m",
    "changes":[{"change":"changed","object":"limit.l","key":"weight",
             "before":"1","after":"2"}]})")};
  EXPECT_EQ(Run({"publish", file_, "--base", "3"}), exit_code::kConflict);
  EXPECT_NE(err_.str().find("changed  limit.l  weight  1       2\n"),
            std::string::npos)
      << err_.str();
}

// Guards against a first publication that fails because no entry has a
// configuration whose version could be the base.
TEST_F(CommandLine, PublishUsesBaseZeroWithoutConfiguration) {
  transport_.replies = {Response(503, R"({"error":"not_ready","message":"m"})"),
                        Response(200, R"({"version":1})")};
  EXPECT_EQ(Run({"publish", file_}), exit_code::kOk) << err_.str();
  ASSERT_EQ(transport_.calls.size(), 2U);
  EXPECT_TRUE(transport_.calls[1].line.starts_with(
      "PUT /v1/config?base=0&publication="));
}

// Guards against a publication with base 0 because an overloaded entry was
// mistaken for an entry without a configuration.
TEST_F(CommandLine, PublishFailsWhenTheVersionCannotBeRead) {
  transport_.replies = {
      Response(503, R"({"error":"overloaded","message":"m"})")};
  EXPECT_EQ(Run({"publish", file_}), exit_code::kRefused);
  EXPECT_EQ(transport_.calls.size(), 1U);
}

// Guards against a version list whose rows show "-" instead of the versions,
// and against a published document that cannot be printed.
TEST_F(CommandLine, HistoryListsVersionsAndPrintsDocument) {
  transport_.replies = {
      Response(200, R"({"versions":[3,4]})"),
      Response(200, R"({"version":3,"document":"[desk.d]\n"})")};
  EXPECT_EQ(Run({"history", "--after", "2", "--limit", "2"}), exit_code::kOk);
  EXPECT_EQ(out_.str(), "VERSION\n3\n4\n");
  EXPECT_EQ(transport_.calls[0].line, "GET /v1/config/history?after=2&limit=2");
  EXPECT_EQ(Run({"history", "--version", "3"}), exit_code::kOk);
  EXPECT_EQ(out_.str(), "[desk.d]\n");
  EXPECT_EQ(transport_.calls[1].line, "GET /v1/config/history?version=3");
}

// Guards against a diff that shows added objects as removed and vice versa.
TEST_F(CommandLine, DiffShowsChangesFromPublishedToFile) {
  transport_.replies = {
      Response(200, R"({"version":7,"document":"[desk.d]\n[desk.old]\n"})")};
  EXPECT_EQ(Run({"diff", file_}), exit_code::kOk);
  EXPECT_NE(out_.str().find("removed  desk.old"), std::string::npos);
  EXPECT_NE(out_.str().find("added    endpoint.e"), std::string::npos);
}

// Guards against a job that runs twice, or is abandoned, when its answer is
// lost: the job must be resubmitted to the other entry under the same id (P5).
TEST_F(CommandLine, SubmitRetriesUnderTheReservedId) {
  transport_.replies = {
      Response(200, std::string(R"({"ids":[")") + kJobId + R"("]})"),
      NoResponse(net::call_stage::kSent),
      Response(200, std::string(R"({"id":")") + kJobId +
                        R"(","outcome":"answered",
                                      "results":["a\u001b[2J"]})")};
  EXPECT_EQ(Submit({"--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"}),
            exit_code::kOk);
  ASSERT_EQ(transport_.calls.size(), 3U);
  EXPECT_EQ(transport_.calls[0].line, "POST /v1/jobs/reserve?count=1");
  EXPECT_EQ(transport_.calls[1].line, std::string("PUT /v1/jobs/") + kJobId);
  EXPECT_EQ(transport_.calls[2].line, transport_.calls[1].line);
  EXPECT_EQ(transport_.calls[1].entry, "127.0.0.1:1");
  EXPECT_EQ(transport_.calls[2].entry, "127.0.0.1:2");
  EXPECT_EQ(transport_.calls[1].body,
            R"({"kind":"k","team":"t","tasks":[{"payload":"p"}]})");
  EXPECT_NE(out_.str().find("a\\x1b[2J"), std::string::npos) << out_.str();
}

// Guards against an exit code that means "not run" for a job that may have run
// (P4).
TEST_F(CommandLine, SubmitDistinguishesUnsentFromUnknownOutcome) {
  EXPECT_EQ(Submit({"--id", kJobId}), exit_code::kUnreachable);
  transport_.calls.clear();
  transport_.replies = {NoResponse(net::call_stage::kSent)};
  EXPECT_EQ(Submit({"--id", kJobId}), exit_code::kOutcomeUnknown);
  EXPECT_EQ(Submit({"--id", "x"}), exit_code::kInvalid);
}

// Guards against a refused retry that is reported as a refusal although the
// first attempt may have taken effect.
TEST_F(CommandLine, ReportsUnknownOutcomeForRefusedRetryUnlessNotRun) {
  const auto no_response = NoResponse(net::call_stage::kSent);
  transport_.replies = {no_response,
                        Response(503, R"({"error":"table_unavailable"})")};
  EXPECT_EQ(Run({"publish", file_, "--base", "0"}), exit_code::kOutcomeUnknown);
  transport_.calls.clear();
  transport_.replies = {
      no_response, Response(503, R"({"outcome":"refused","not_run":true})")};
  EXPECT_EQ(Submit({"--id", kJobId}), exit_code::kRefused);
}

struct exit_code_case {
  unsigned status;
  std::string body;
  exit_code code;
};

// Guards against different outcomes that share an exit code, so that scripts
// cannot distinguish them.
TEST_F(CommandLine, MapsResponsesToExitCodes) {
  const std::vector<exit_code_case> cases{
      {200, R"({"outcome":"answered"})", exit_code::kOk},
      {429, R"({"outcome":"refused","not_run":true})", exit_code::kRefused},
      {503, "", exit_code::kRefused},
      {409, R"({"outcome":"refused","not_run":false})",
       exit_code::kOutcomeUnknown},
      {502, R"({"outcome":"failed"})", exit_code::kFailed},
      {504, R"({"outcome":"outcome_unknown"})", exit_code::kOutcomeUnknown},
      {504, "<html>", exit_code::kOutcomeUnknown},
      {410, R"({"error":"id_expired"})", exit_code::kOutcomeUnknown},
      {422, R"({"error":"unknown_kind"})", exit_code::kInvalid},
      {500, "", exit_code::kFailed},
      {302, "", exit_code::kFailed},
  };
  for (const exit_code_case& test_case : cases) {
    transport_.calls.clear();
    transport_.replies = {Response(test_case.status, test_case.body)};
    EXPECT_EQ(Submit({"--id", kJobId}), test_case.code)
        << test_case.status << " " << test_case.body;
  }
}

// Guards against invalid job ids that make the request address another resource
// of the entry.
TEST_F(CommandLine, JobCommandsRejectInvalidIds) {
  transport_.replies = {
      Response(404, R"({"error":"unknown_job","message":"m"})"),
      Response(202, "{}")};
  EXPECT_EQ(Run({"job", "get", kJobId}), exit_code::kInvalid);
  EXPECT_EQ(Run({"job", "cancel", kJobId}), exit_code::kOk);
  EXPECT_EQ(transport_.calls[1].line, std::string("DELETE /v1/jobs/") + kJobId);
  EXPECT_EQ(Run({"job", "cancel", "../drain"}), exit_code::kInvalid);
}

// Guards against an unreachable entry that prevents the status of the others
// from being shown.
TEST_F(CommandLine, StatusShowsOtherEntriesWhenOneIsUnreachable) {
  transport_.replies = {NoResponse(net::call_stage::kNotSent),
                        NoResponse(net::call_stage::kNotSent),
                        Response(200, R"({"id":"e2","config_version":4,
                        "agents":[{"agent":"a1","slots":8}]})")};
  EXPECT_EQ(Run({"status", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"}),
            exit_code::kUnreachable);
  EXPECT_NE(out_.str().find("unreachable"), std::string::npos);
  EXPECT_NE(out_.str().find("Agents of e2:"), std::string::npos) << out_.str();
}

// Guards against a drain request that is also sent to a second entry.
TEST_F(CommandLine, DrainSendsRequestToOneEntryOnly) {
  EXPECT_EQ(Run({"drain", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"}),
            exit_code::kUsage);
  EXPECT_TRUE(transport_.calls.empty());
  transport_.replies = {Response(202, "{}"), Response(202, "{}")};
  EXPECT_EQ(Run({"drain", "--entry", "127.0.0.1:1"}), exit_code::kOk);
  EXPECT_EQ(Run({"drain", "--agent", "a1"}), exit_code::kOk);
  EXPECT_EQ(transport_.calls[0].line, "POST /v1/drain");
  EXPECT_EQ(transport_.calls[1].line, "POST /v1/agents/a1/drain");
}

// Guards against an operator who cannot see whether an entry knows of an
// evacuation, and against an entry of an earlier release that looks as if it
// knew of none.
TEST_F(CommandLine, ListsEvacuations) {
  transport_.replies = {Response(200, R"({"evacuations":[
          {"domain":"enna","version":7,"state":"evacuated"},
          {"domain":"noto","version":9,"state":"in_service"}]})"),
                        Response(404, "")};
  EXPECT_EQ(Run({"evacuations", "--entry", "127.0.0.1:1"}), exit_code::kOk);
  EXPECT_EQ(transport_.calls[0].line, "GET /v1/evacuations");
  for (const char* text : {"enna", "evacuated", "noto", "9", "in_service"})
    EXPECT_NE(out_.str().find(text), std::string::npos) << text;
  EXPECT_NE(Run({"evacuations"}), exit_code::kOk);
  EXPECT_EQ(Run({"evacuations"}), exit_code::kUnreachable);
}

// Guards against a report in a format that the client cannot parse.
TEST_F(CommandLine, PrintsBurnReportAndWritesChart) {
  transport_.replies = {Response(200, R"({"desks":[{"desk":"d","objective":0.9,
    "windows":[{"seconds":60,"requests":10,"missed":1,"burn":1}],
    "history":[0,1]}]})")};
  EXPECT_EQ(Run({"report", "burn", "--svg", file_}), exit_code::kOk)
      << err_.str();
  EXPECT_NE(out_.str().find("1 min"), std::string::npos);
  EXPECT_TRUE(ReadFile(file_).value().starts_with("<svg"));
}

// Guards against --json output that mixes the JSON of the entry with other
// text.
TEST_F(CommandLine, JsonFlagPrintsOnlyTheResponseBody) {
  transport_.replies = {Response(200, R"({"versions":[]})")};
  EXPECT_EQ(Run({"--json", "history"}), exit_code::kOk);
  EXPECT_EQ(out_.str(), "{\"versions\":[]}\n");
}

// Guards against a history that includes a job whose id has the same prefix,
// that is not in chronological order, or that omits events of the processes.
TEST_F(CommandLine, ExplainPrintsOneJobInChronologicalOrder) {
  std::ofstream(file_)
      << "2026-02-05T22:27:27.500Z INFO  entry.jobs: event=job_answered "
         "job=ab\n"
         "2026-02-05T22:27:27.100Z INFO  entry.jobs: event=job_accepted "
         "job=ab\n"
         "2026-02-05T22:27:27.200Z INFO  entry.jobs: event=job_accepted "
         "job=abc\n"
         "2026-02-05T22:27:27.300Z WARN  agent.jobs: event=worker_gone runs=8\n"
         "2026-02-05T22:27:29.000Z INFO  entry.jobs: event=store_lost\n"
         "not a line of a log\n";
  EXPECT_EQ(Run({"explain", "ab", file_}), exit_code::kOk) << err_.str();
  EXPECT_EQ(out_.str(), file_ +
                            ": 2026-02-05T22:27:27.100Z INFO  entry.jobs: "
                            "event=job_accepted job=ab\n" +
                            file_ +
                            ": 2026-02-05T22:27:27.500Z INFO  entry.jobs: "
                            "event=job_answered job=ab\n");
  EXPECT_EQ(Run({"explain", "ab", file_, "--context"}), exit_code::kOk);
  EXPECT_NE(out_.str().find("worker_gone"), std::string::npos);
  EXPECT_EQ(out_.str().find("store_lost"), std::string::npos);
  EXPECT_EQ(out_.str().find("job=abc"), std::string::npos);
  EXPECT_NE(Run({"explain", "zz", file_}), exit_code::kOk);
  EXPECT_NE(Run({"explain", "ab", "/nonexistent/file"}), exit_code::kOk);
}

}  // namespace
}  // namespace egretrack::ctl
