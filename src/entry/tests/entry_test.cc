#include "egretrack/entry/entry.h"

#include <cstdio>
#include <filesystem>
#include <functional>
#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "egretrack/base/file.h"
#include "egretrack/telemetry/log.h"
#include "entry/tests/echo_agent.h"
#include "net/tests/raw_peer.h"
#include "standins/table_service.h"

namespace egretrack::entry {
namespace {

namespace json = boost::json;

constexpr seconds kTimeout{10};
constexpr std::string_view kObjects = R"([desk.d]
objective = 0.99
[request_kind.k]
desk = "d"
[endpoint.e]
desk = "d"
kinds = ["k"]
[limit.t]
desk = "d"
team = "t"
)";
constexpr std::string_view kJob =
    R"({"kind":"k","team":"t","deadline_ms":5000,)"
    R"("tasks":[{"payload":"one"},{"payload":"two"}]})";

bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = monotonic_clock::now() + kTimeout;
  while (!condition()) {
    if (monotonic_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

std::string FieldText(const net::http_reply& reply, std::string_view field) {
  boost::system::error_code failure;
  const json::value body = json::parse(reply.response.body, failure);
  const json::object* const fields = failure ? nullptr : body.if_object();
  const json::value* const found =
      fields ? fields->if_contains(json::string_view(field)) : nullptr;
  if (found == nullptr)
    return "(none)";
  return found->is_string() ? std::string(found->get_string().c_str())
                            : json::serialize(*found);
}

// An entry process on ports that the operating system assigns.
class running_entry {
 public:
  running_entry(const std::string& id,
                const net::tcp_address& table,
                std::vector<settings::peer> peers = {}) {
    settings::entry_settings settings;
    settings.id = id;
    settings.failure_domain = "f";
    settings.http = "127.0.0.1:0";
    settings.agents = "127.0.0.1:0";
    settings.table = table.ToString();
    settings.peers = std::move(peers);
    settings.config_poll = milliseconds(50);
    settings.table_timeout = milliseconds(300);
    settings.drain_grace = milliseconds(100);
    settings.ports_file = testing::TempDir() + "egretrack-ports-" + id + "-" +
                          std::to_string(RandomNumber());
    process_ = *entry_process::Start(settings);
    ReadPorts(settings.ports_file);
  }

  net::http_reply Call(const std::string& method,
                       const std::string& target,
                       std::string_view body = {},
                       std::vector<net::header> headers = {}) {
    return client_->CallAndWait(
        http, {method, target, std::move(headers), std::string(body)},
        milliseconds(10000));
  }

  std::string ReserveId() {
    const auto reply = Call("POST", "/v1/jobs/reserve?count=1");
    const json::value body = json::parse(reply.response.body);
    return body.at("ids").at(0).as_string().c_str();
  }

  bool IsReady() { return Call("GET", "/v1/ready").response.status == 200; }

  entry_process& process() { return *process_; }
  void Stop() { process_.reset(); }

  net::tcp_address http;
  net::tcp_address agents;

 private:
  void ReadPorts(const std::string& path) {
    const std::string text = *ReadFile(path);
    unsigned http_port = 0;
    unsigned agents_port = 0;
    ASSERT_EQ(std::sscanf(text.c_str(), "http = %u\nagents = %u\n", &http_port,
                          &agents_port),
              2);
    http = {"127.0.0.1", static_cast<std::uint16_t>(http_port)};
    agents = {"127.0.0.1", static_cast<std::uint16_t>(agents_port)};
    std::filesystem::remove(path);
  }

  std::unique_ptr<entry_process> process_;
  std::unique_ptr<net::http_client> client_ = net::http_client::Create({});
};

class Entry : public testing::Test {
 protected:
  static void SetUpTestSuite() { telemetry::StartLogging("off", ""); }

  void Publish(running_entry& entry) {
    const auto reply =
        entry.Call("PUT", "/v1/config?base=0&publication=p", kObjects);
    ASSERT_EQ(reply.response.status, 200U) << reply.response.body;
  }

  std::unique_ptr<standins::table_service> table_ =
      *standins::table_service::Listen({"127.0.0.1", 0});
};

// Guards against an incomplete answer or one that belongs to another request,
// and against a resubmission that runs the job again.
TEST_F(Entry, AnswersJobAndItsResubmission) {
  running_entry entry("a", table_->local_address());
  EXPECT_FALSE(entry.IsReady());
  echo_agent agent({entry.agents});
  Publish(entry);
  ASSERT_TRUE(WaitUntil([&] { return entry.IsReady(); }));
  const std::string id = entry.ReserveId();
  for (int attempt = 0; attempt < 2; ++attempt) {
    const auto reply = entry.Call("PUT", "/v1/jobs/" + id, kJob);
    EXPECT_EQ(reply.response.status, 200U) << reply.response.body;
    EXPECT_EQ(reply.response.Header("Egretrack-Job-Id"), id);
    EXPECT_EQ(FieldText(reply, "results"), R"(["one","two"])");
  }
  EXPECT_EQ(agent.dispatches(), 2);
  EXPECT_EQ(entry.Call("GET", "/v1/jobs/" + id).response.status, 200U);
  const auto changed = entry.Call("PUT", "/v1/jobs/" + id,
                                  R"({"kind":"k","team":"t","tasks":[]})");
  EXPECT_EQ(changed.response.status, 409U);
  EXPECT_EQ(FieldText(changed, "error"), "id_reused");
  EXPECT_EQ(FieldText(changed, "not_run"), "false");
}

// Guards against a caller that loses its connection before it knows the job id
// with which it could inquire about the job.
TEST_F(Entry, SendsJobIdBeforeAnswer) {
  running_entry entry("a", table_->local_address());
  echo_agent agent({entry.agents});
  Publish(entry);
  ASSERT_TRUE(WaitUntil([&] { return entry.IsReady(); }));
  agent.HoldTasks();
  net::raw_client caller(entry.http);
  caller.Send("POST /v1/jobs HTTP/1.1\r\nContent-Length: " +
              std::to_string(kJob.size()) + "\r\n\r\n" + std::string(kJob));
  const std::string first = caller.ReadUntil("\r\n\r\n");
  EXPECT_NE(first.find("102 Processing"), std::string::npos) << first;
  EXPECT_NE(first.find("Egretrack-Job-Id: a."), std::string::npos) << first;
  agent.ReleaseTasks();
  const std::string answer = caller.ReadUntil("\"two\"]}");
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
}

// Guards against a job that runs twice for one Idempotency-Key.
TEST_F(Entry, RunsOncePerIdempotencyKey) {
  running_entry entry("a", table_->local_address());
  echo_agent agent({entry.agents});
  Publish(entry);
  ASSERT_TRUE(WaitUntil([&] { return entry.IsReady(); }));
  const std::vector<net::header> key = {{"Idempotency-Key", "key-1"}};
  const auto first = entry.Call("POST", "/v1/jobs", kJob, key);
  const auto second = entry.Call("POST", "/v1/jobs", kJob, key);
  EXPECT_EQ(first.response.status, 200U) << first.response.body;
  EXPECT_EQ(second.response.body, first.response.body);
  EXPECT_EQ(agent.dispatches(), 2);
  table_->SetFaults({.down = true});
  const auto refused =
      entry.Call("POST", "/v1/jobs", kJob, {{"Idempotency-Key", "key-2"}});
  EXPECT_EQ(refused.response.status, 504U) << refused.response.body;
  EXPECT_EQ(FieldText(refused, "not_run"), "false");
  EXPECT_EQ(agent.dispatches(), 2);
}

// Guards against an entry that starts a job of another home entry itself, and
// against reporting a job as not run because its home entry is unreachable.
TEST_F(Entry, ForwardsToHomeOrLooksUpJobAtAgents) {
  running_entry home("a", table_->local_address());
  running_entry other("b", table_->local_address(),
                      {{"a", home.http.ToString()}});
  echo_agent agent({home.agents, other.agents});
  Publish(home);
  ASSERT_TRUE(WaitUntil([&] { return home.IsReady() && other.IsReady(); }));
  const std::string run = home.ReserveId();
  const std::string not_submitted = home.ReserveId();
  const auto forwarded = other.Call("PUT", "/v1/jobs/" + run, kJob);
  EXPECT_EQ(forwarded.response.status, 200U) << forwarded.response.body;
  EXPECT_EQ(forwarded.response.Header("Egretrack-Job-Id"), run);
  EXPECT_EQ(other.Call("GET", "/v1/jobs/" + not_submitted).response.status,
            404U);
  home.Stop();
  const auto again = other.Call("PUT", "/v1/jobs/" + run, kJob);
  EXPECT_EQ(again.response.status, 200U) << again.response.body;
  EXPECT_EQ(FieldText(again, "results"), R"(["one","two"])");
  const auto unknown = other.Call("PUT", "/v1/jobs/" + not_submitted, kJob);
  EXPECT_EQ(unknown.response.status, 504U) << unknown.response.body;
  EXPECT_EQ(FieldText(unknown, "not_run"), "false");
  EXPECT_EQ(agent.dispatches(), 2);
}

// Guards against forwarding a request a second time, and against a later
// incarnation that handles jobs of an earlier one as their home entry.
TEST_F(Entry, RefusesForwardedRequestOfAnotherHome) {
  running_entry entry("a", table_->local_address());
  const std::string former = job_id{"a", incarnation{1}, 2, 3}.ToString();
  const auto reply = entry.Call("PUT", "/v1/jobs/" + former, kJob,
                                {{"Egretrack-Forwarded", "1"}});
  EXPECT_EQ(reply.response.status, 421U);
  EXPECT_EQ(FieldText(reply, "error"), "wrong_home");
}

// Guards against an entry that cannot get a configuration, and so does not
// become ready, during an outage of the table service.
TEST_F(Entry, LoadsConfigurationWithoutTable) {
  running_entry first("a", table_->local_address());
  echo_agent first_agent({first.agents});
  Publish(first);
  ASSERT_TRUE(WaitUntil([&] { return first.IsReady(); }));
  table_->SetFaults({.down = true});
  running_entry from_peer("b", table_->local_address(),
                          {{"a", first.http.ToString()}});
  running_entry from_agent("c", table_->local_address());
  echo_agent agent({from_peer.agents, from_agent.agents});
  EXPECT_TRUE(WaitUntil([&] { return from_peer.IsReady(); }));
  EXPECT_FALSE(from_agent.IsReady());
  agent.OfferConfig(1, std::string(kObjects));
  EXPECT_TRUE(WaitUntil([&] { return from_agent.IsReady(); }));
}

struct invalid_call {
  const char* name;
  std::string method;
  std::string target;
  unsigned status;
  std::string error;
};

// Guards against invalid input that is accepted, or answered without an error
// code that callers can evaluate.
TEST_F(Entry, AnswersInvalidInputWithErrorCode) {
  running_entry entry("a", table_->local_address());
  const std::string id = entry.ReserveId();
  const std::vector<invalid_call> calls = {
      {"path", "GET", "/v1/nothing", 404, "unknown_path"},
      {"nested", "GET", "/v1/jobs/a/b", 404, "unknown_path"},
      {"method", "PATCH", "/v1/jobs", 405, "wrong_method"},
      {"id", "PUT", "/v1/jobs/zzz", 400, "invalid_id"},
      {"body", "PUT", "/v1/jobs/" + id, 400, "malformed_json"},
      {"count", "POST", "/v1/jobs/reserve?count=1001", 400,
       "invalid_parameter"},
      {"zero", "POST", "/v1/jobs/reserve?count=0", 400, "invalid_parameter"},
      {"base", "PUT", "/v1/config?base=x&publication=p", 400,
       "invalid_parameter"},
      {"publication", "PUT", "/v1/config?base=0", 400, "invalid_parameter"},
      {"format", "GET", "/v1/report/burn?format=pdf", 400, "invalid_parameter"},
      {"agent", "POST", "/v1/agents/none/drain", 404, "unknown_agent"},
      {"ready", "GET", "/v1/ready", 503, "not_ready"},
      {"config", "GET", "/v1/config", 503, "not_ready"},
      {"history", "GET", "/v1/config/history?version=9", 404,
       "unknown_version"},
  };
  for (const invalid_call& call : calls) {
    const auto reply = entry.Call(call.method, call.target);
    EXPECT_EQ(reply.response.status, call.status) << call.name;
    EXPECT_EQ(FieldText(reply, "error"), call.error) << call.name;
  }
  const auto refused = entry.Call("PUT", "/v1/jobs/" + id, kJob);
  EXPECT_EQ(refused.response.status, 503U);
  EXPECT_EQ(FieldText(refused, "error"), "not_ready");
  EXPECT_EQ(FieldText(refused, "not_run"), "true");
}

// Guards against status, metrics and burn reports in a format that scrapers or
// operators cannot read.
TEST_F(Entry, ServesStatusMetricsAndBurnReport) {
  running_entry entry("a", table_->local_address());
  echo_agent agent({entry.agents});
  Publish(entry);
  ASSERT_TRUE(WaitUntil([&] { return entry.IsReady(); }));
  ASSERT_EQ(entry.Call("POST", "/v1/jobs", kJob).response.status, 200U);
  const auto status = entry.Call("GET", "/v1/status");
  EXPECT_EQ(FieldText(status, "config_version"), "1");
  EXPECT_NE(FieldText(status, "agents").find(R"("agent":"agent")"),
            std::string::npos);
  const auto metrics = entry.Call("GET", "/metrics");
  EXPECT_NE(metrics.response.body.find("egretrack_dispatches_total 2"),
            std::string::npos)
      << metrics.response.body;
  const auto burn = entry.Call("GET", "/v1/report/burn");
  EXPECT_NE(burn.response.body.find("\"d\""), std::string::npos);
  EXPECT_EQ(entry.Call("GET", "/v1/report/burn?format=svg")
                .response.Header("Content-Type"),
            "image/svg+xml");
}

// Guards against callers that spend the error budget of a desk with requests
// that can never be served.
TEST_F(Entry, CallerFaultsSpendNoErrorBudget) {
  running_entry entry("a", table_->local_address());
  echo_agent agent({entry.agents});
  Publish(entry);
  ASSERT_TRUE(WaitUntil([&] { return entry.IsReady(); }));
  ASSERT_EQ(entry.Call("POST", "/v1/jobs", kJob).response.status, 200U);
  const auto refused =
      entry.Call("POST", "/v1/jobs", R"({"kind":"k","tasks":[]})");
  EXPECT_EQ(FieldText(refused, "error"), "no_tasks");
  const auto metrics = entry.Call("GET", "/metrics");
  EXPECT_NE(metrics.response.body.find(
                R"(egretrack_jobs_ended_total{outcome="refused",)"
                R"(error="no_tasks"} 1)"),
            std::string::npos)
      << metrics.response.body;
  const auto burn = entry.Call("GET", "/v1/report/burn");
  EXPECT_NE(burn.response.body.find(R"("requests":1,"missed":0)"),
            std::string::npos)
      << burn.response.body;
}

// Guards against a shutdown that closes connections before their requests are
// answered.
TEST_F(Entry, DrainWaitsForAnswers) {
  running_entry entry("a", table_->local_address());
  echo_agent agent({entry.agents});
  Publish(entry);
  ASSERT_TRUE(WaitUntil([&] { return entry.IsReady(); }));
  agent.HoldTasks();
  auto answer = std::async(
      std::launch::async, [&] { return entry.Call("POST", "/v1/jobs", kJob); });
  ASSERT_TRUE(WaitUntil([&] { return agent.dispatches() == 2; }));
  entry.process().Drain();
  entry.process().Drain();
  auto finished =
      std::async(std::launch::async, [&] { entry.process().Wait(); });
  EXPECT_TRUE(WaitUntil([&] { return !entry.IsReady(); }));
  EXPECT_EQ(finished.wait_for(milliseconds(300)), std::future_status::timeout);
  agent.ReleaseTasks();
  EXPECT_EQ(answer.get().response.status, 200U);
  EXPECT_EQ(finished.wait_for(kTimeout), std::future_status::ready);
}

}  // namespace
}  // namespace egretrack::entry
