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

net::http_reply Answer(unsigned status, std::string body) {
  net::http_reply reply;
  reply.ok = true;
  reply.response.status = status;
  reply.response.body = std::move(body);
  return reply;
}

net::http_reply Lost(net::call_stage stage) {
  net::http_reply reply;
  reply.failure = {MakeError(errc::kTimeout, "no answer"), stage};
  return reply;
}

// Answers calls in the order given and keeps what was asked.
class scripted_transport final : public transport {
 public:
  struct call {
    std::string entry;
    std::string line;  // Method and target.
    std::string body;
  };

  net::http_reply Call(const net::tcp_address& entry,
                       const net::http_request& request,
                       milliseconds /*timeout*/) override {
    calls.push_back({entry.ToString(), request.method + " " + request.target,
                     request.body});
    if (calls.size() <= replies.size())
      return replies[calls.size() - 1];
    return Lost(net::call_stage::kNotSent);
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
    return RunCommandLine(arguments, network_, out_, err_);
  }

  exit_code Submit(std::vector<std::string> more) {
    std::vector<std::string> arguments{"submit", "--kind",    "k", "--team",
                                       "t",      "--payload", "p"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return Run(arguments);
  }

  const std::string file_ = testing::TempDir() + "egretrackctl_test." +
                            std::to_string(getpid()) + ".toml";
  scripted_transport network_;
  std::ostringstream out_;
  std::ostringstream err_;
};

// Guards against scripts that take a wrong call for a failed one.
TEST_F(CommandLine, UsageErrors) {
  EXPECT_EQ(Run({}), exit_code::kUsage);
  EXPECT_EQ(Run({"frobnicate"}), exit_code::kUsage);
  EXPECT_EQ(Run({"submit"}), exit_code::kUsage);
  EXPECT_EQ(Run({"status", "--entry", "here"}), exit_code::kUsage);
  EXPECT_EQ(Run({"status", "--timeout-ms", "0"}), exit_code::kUsage);
  EXPECT_EQ(Run({"--help"}), exit_code::kOk);
  EXPECT_NE(out_.str().find("6  outcome unknown"), std::string::npos);
}

// Guards against a manual with other exit codes than the program.
TEST_F(CommandLine, ManualListsTheExitCodes) {
  const std::string page =
      ReadFile(EGRETRACK_SOURCE_DIR "/docs/commands.md").value();
  for (const exit_code_text& one : ExitCodes()) {
    const std::string row = "| " + std::to_string(static_cast<int>(one.code)) +
                            " | " + std::string(one.text) + " |\n";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

// Guards against operators who must correct a file one fault at a time, and
// against a file with faults that is sent to an entry.
TEST_F(CommandLine, CheckNamesEveryFault) {
  EXPECT_EQ(Run({"check", file_}), exit_code::kOk);
  std::ofstream(file_, std::ios::app) << "[limit.l]\ndesk = \"x\"\nsize = 1\n";
  EXPECT_EQ(Run({"check", file_}), exit_code::kInvalid);
  EXPECT_NE(err_.str().find("limit.l: size: no such key"), std::string::npos);
  EXPECT_NE(err_.str().find("desk 'x' does not exist"), std::string::npos);
  EXPECT_EQ(Run({"check", "/nonexistent"}), exit_code::kInvalid);
  EXPECT_EQ(Run({"publish", file_}), exit_code::kInvalid);
  EXPECT_TRUE(network_.calls.empty());
}

// Guards against a second write after a lost answer (F8): the repetition has
// the same publication id and base.
TEST_F(CommandLine, PublishRepeatsTheSamePublication) {
  network_.replies = {Answer(200, R"({"version":7,"document":""})"),
                      Lost(net::call_stage::kSent),
                      Answer(200, R"({"version":8})")};
  EXPECT_EQ(Run({"publish", file_}), exit_code::kOk) << err_.str();
  EXPECT_EQ(out_.str(), "Published as version 8.\n");
  ASSERT_EQ(network_.calls.size(), 3U);
  EXPECT_EQ(network_.calls[1].line, network_.calls[2].line);
  EXPECT_EQ(network_.calls[1].body, ReadFile(file_).value());
  EXPECT_TRUE(
      network_.calls[1].line.starts_with("PUT /v1/config?base=7&publication="));
}

// Guards against a loser of a race that is not told what changed (F10).
TEST_F(CommandLine, PublishShowsTheConflict) {
  network_.replies = {Answer(409, R"({"error":"conflict","message":"m",
    "changes":[{"change":"changed","object":"limit.l","key":"weight",
             "before":"1","after":"2"}]})")};
  EXPECT_EQ(Run({"publish", file_, "--base", "3"}), exit_code::kConflict);
  EXPECT_NE(err_.str().find("changed  limit.l  weight  1       2\n"),
            std::string::npos)
      << err_.str();
}

// Guards against a first publication that no entry accepts, because none has a
// configuration to name as the base.
TEST_F(CommandLine, PublishThroughAFreshEntryStartsAtZero) {
  network_.replies = {Answer(503, R"({"error":"not_ready","message":"m"})"),
                      Answer(200, R"({"version":1})")};
  EXPECT_EQ(Run({"publish", file_}), exit_code::kOk) << err_.str();
  ASSERT_EQ(network_.calls.size(), 2U);
  EXPECT_TRUE(
      network_.calls[1].line.starts_with("PUT /v1/config?base=0&publication="));
}

// Guards against an overloaded entry that is taken for one without a version.
TEST_F(CommandLine, PublishStopsWhenTheVersionIsNotRead) {
  network_.replies = {Answer(503, R"({"error":"overloaded","message":"m"})")};
  EXPECT_EQ(Run({"publish", file_}), exit_code::kRefused);
  EXPECT_EQ(network_.calls.size(), 1U);
}

// Guards against a list of versions that is shown as rows of dashes, and
// against a version that cannot be read back.
TEST_F(CommandLine, HistoryListsAndShowsVersions) {
  network_.replies = {Answer(200, R"({"versions":[3,4]})"),
                      Answer(200, R"({"version":3,"document":"[desk.d]\n"})")};
  EXPECT_EQ(Run({"history", "--after", "2", "--limit", "2"}), exit_code::kOk);
  EXPECT_EQ(out_.str(), "VERSION\n3\n4\n");
  EXPECT_EQ(network_.calls[0].line, "GET /v1/config/history?after=2&limit=2");
  EXPECT_EQ(Run({"history", "--version", "3"}), exit_code::kOk);
  EXPECT_EQ(out_.str(), "[desk.d]\n");
  EXPECT_EQ(network_.calls[1].line, "GET /v1/config/history?version=3");
}

// Guards against a diff in the wrong direction.
TEST_F(CommandLine, DiffComparesWithThePublishedSet) {
  network_.replies = {
      Answer(200, R"({"version":7,"document":"[desk.d]\n[desk.old]\n"})")};
  EXPECT_EQ(Run({"diff", file_}), exit_code::kOk);
  EXPECT_NE(out_.str().find("removed  desk.old"), std::string::npos);
  EXPECT_NE(out_.str().find("added    endpoint.e"), std::string::npos);
}

// Guards against a job that runs twice, or is given up, when its answer is
// lost: it is asked for through the other entry under the same id (P5).
TEST_F(CommandLine, SubmitAsksAgainUnderTheReservedId) {
  network_.replies = {
      Answer(200, std::string(R"({"ids":[")") + kJobId + R"("]})"),
      Lost(net::call_stage::kSent),
      Answer(200, std::string(R"({"id":")") + kJobId +
                      R"(","outcome":"answered",
                                      "results":["a\u001b[2J"]})")};
  EXPECT_EQ(Submit({"--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"}),
            exit_code::kOk);
  ASSERT_EQ(network_.calls.size(), 3U);
  EXPECT_EQ(network_.calls[0].line, "POST /v1/jobs/reserve?count=1");
  EXPECT_EQ(network_.calls[1].line, std::string("PUT /v1/jobs/") + kJobId);
  EXPECT_EQ(network_.calls[2].line, network_.calls[1].line);
  EXPECT_EQ(network_.calls[1].entry, "127.0.0.1:1");
  EXPECT_EQ(network_.calls[2].entry, "127.0.0.1:2");
  EXPECT_EQ(network_.calls[1].body,
            R"({"kind":"k","team":"t","tasks":[{"payload":"p"}]})");
  EXPECT_NE(out_.str().find("a\\x1b[2J"), std::string::npos) << out_.str();
}

// Guards against an exit code that says "not run" without being sure (P4).
TEST_F(CommandLine, SubmitTellsNotSentFromUnknown) {
  EXPECT_EQ(Submit({"--id", kJobId}), exit_code::kUnreachable);
  network_.calls.clear();
  network_.replies = {Lost(net::call_stage::kSent)};
  EXPECT_EQ(Submit({"--id", kJobId}), exit_code::kOutcomeUnknown);
  EXPECT_EQ(Submit({"--id", "x"}), exit_code::kInvalid);
}

// Guards against a refusal of the repetition that is taken for one of the
// first attempt, which may have taken effect.
TEST_F(CommandLine, RefusedRepetitionIsUnknownUnlessTheEntryIsSure) {
  const auto lost = Lost(net::call_stage::kSent);
  network_.replies = {lost, Answer(503, R"({"error":"table_unavailable"})")};
  EXPECT_EQ(Run({"publish", file_, "--base", "0"}), exit_code::kOutcomeUnknown);
  network_.calls.clear();
  network_.replies = {lost,
                      Answer(503, R"({"outcome":"refused","not_run":true})")};
  EXPECT_EQ(Submit({"--id", kJobId}), exit_code::kRefused);
}

struct answer_case {
  unsigned status;
  std::string body;
  exit_code code;
};

// Guards against outcomes that a script cannot tell apart.
TEST_F(CommandLine, ExitCodeFollowsTheOutcome) {
  const std::vector<answer_case> cases{
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
  for (const answer_case& one : cases) {
    network_.calls.clear();
    network_.replies = {Answer(one.status, one.body)};
    EXPECT_EQ(Submit({"--id", kJobId}), one.code)
        << one.status << " " << one.body;
  }
}

// Guards against ids that reach another resource of the entry.
TEST_F(CommandLine, JobGetAndCancel) {
  network_.replies = {Answer(404, R"({"error":"unknown_job","message":"m"})"),
                      Answer(202, "{}")};
  EXPECT_EQ(Run({"job", "get", kJobId}), exit_code::kInvalid);
  EXPECT_EQ(Run({"job", "cancel", kJobId}), exit_code::kOk);
  EXPECT_EQ(network_.calls[1].line, std::string("DELETE /v1/jobs/") + kJobId);
  EXPECT_EQ(Run({"job", "cancel", "../drain"}), exit_code::kInvalid);
}

// Guards against one silent entry that hides the state of the others.
TEST_F(CommandLine, StatusShowsEachEntry) {
  network_.replies = {Lost(net::call_stage::kNotSent),
                      Lost(net::call_stage::kNotSent),
                      Answer(200, R"({"id":"e2","config_version":4,
                        "agents":[{"agent":"a1","slots":8}]})")};
  EXPECT_EQ(Run({"status", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"}),
            exit_code::kUnreachable);
  EXPECT_NE(out_.str().find("unreachable"), std::string::npos);
  EXPECT_NE(out_.str().find("Agents of e2:"), std::string::npos) << out_.str();
}

// Guards against a drain that spreads to a second entry.
TEST_F(CommandLine, DrainAsksOneEntryOnly) {
  EXPECT_EQ(Run({"drain", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"}),
            exit_code::kUsage);
  EXPECT_TRUE(network_.calls.empty());
  network_.replies = {Answer(202, "{}"), Answer(202, "{}")};
  EXPECT_EQ(Run({"drain", "--entry", "127.0.0.1:1"}), exit_code::kOk);
  EXPECT_EQ(Run({"drain", "--agent", "a1"}), exit_code::kOk);
  EXPECT_EQ(network_.calls[0].line, "POST /v1/drain");
  EXPECT_EQ(network_.calls[1].line, "POST /v1/agents/a1/drain");
}

// Guards against a report that the client cannot show.
TEST_F(CommandLine, BurnReportAsTextAndChart) {
  network_.replies = {Answer(200, R"({"desks":[{"desk":"d","objective":0.9,
    "windows":[{"seconds":60,"requests":10,"missed":1,"burn":1}],
    "history":[0,1]}]})")};
  EXPECT_EQ(Run({"report", "burn", "--svg", file_}), exit_code::kOk)
      << err_.str();
  EXPECT_NE(out_.str().find("1 min"), std::string::npos);
  EXPECT_TRUE(ReadFile(file_).value().starts_with("<svg"));
}

// Guards against --json that mixes the entry's JSON with other text.
TEST_F(CommandLine, JsonIsPassedThrough) {
  network_.replies = {Answer(200, R"({"versions":[]})")};
  EXPECT_EQ(Run({"--json", "history"}), exit_code::kOk);
  EXPECT_EQ(out_.str(), "{\"versions\":[]}\n");
}

// Guards against a history that mixes requests whose ids begin alike, that is
// out of order, or that leaves out why a process acted.
TEST_F(CommandLine, ExplainsOneJobInOrderOfTime) {
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
