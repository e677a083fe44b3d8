#include "entry/http_api.h"

#include <gtest/gtest.h>

#include "entry/route_match.h"
#include "entry/tests/fake_exchange.h"

namespace egretrack::entry {
namespace {

constexpr std::string_view kJob = R"({"kind":"k","tasks":[{"payload":"p"}]})";

// An HTTP API whose events are not handled; its mailbox holds one event.
class HttpApi : public testing::Test {
 protected:
  ~HttpApi() override {
    thread_.Stop();
    table_.reset();
    http_.reset();
  }

  net::http_response Call(std::string method,
                          std::string target,
                          std::vector<net::header> headers = {}) {
    const auto exchange = std::make_shared<fake_exchange>(
        net::http_request{std::move(method), std::move(target),
                          std::move(headers), std::string(kJob)});
    http_api_.Handle(exchange);
    return exchange->WaitForResponse();
  }

  control_mailbox events_{1};
  caller_registry callers_;
  std::atomic<bool> ready_ = false;
  traffic_thread thread_;
  std::unique_ptr<net::http_client> http_ = net::http_client::Create({});
  std::unique_ptr<store::table_client> table_ =
      store::table_client::Create({"127.0.0.1", 1}, milliseconds(100));
  config_watcher configuration_{thread_, *table_,           *http_,
                                {},      milliseconds(100), [](const auto&) {}};
  config_publisher publisher_{thread_, *table_, [](auto, const auto&) {}};
  http_api http_api_{{"a", incarnation{1}, events_, callers_, configuration_,
                      publisher_, ready_}};
};

// Guards against callers that wait in vain when the mailbox of the control
// thread is full, and against "not_run":true for a job that an earlier request
// with the same id or key may have started.
TEST_F(HttpApi, FullMailboxReportsWhetherJobMayHaveRun) {
  ASSERT_TRUE(events_.TryPush(report_request{}));
  const auto without_key = Call("POST", "/v1/jobs");
  EXPECT_EQ(without_key.status, 503U);
  EXPECT_NE(without_key.body.find(R"("error":"overloaded")"),
            std::string::npos);
  EXPECT_NE(without_key.body.find(R"("not_run":true)"), std::string::npos);
  const auto with_key = Call("POST", "/v1/jobs", {{"Idempotency-Key", "k"}});
  EXPECT_NE(with_key.body.find(R"("not_run":false)"), std::string::npos);
  const std::string id = job_id{"a", incarnation{1}, 2, 3}.ToString();
  const auto with_id = Call("PUT", "/v1/jobs/" + id);
  EXPECT_NE(with_id.body.find(R"("not_run":false)"), std::string::npos);
  EXPECT_EQ(with_id.Header(kJobIdHeader), id);
}

// Guards against a caller that closed its connection but stays registered, so
// that the core never learns of it.
TEST_F(HttpApi, ReportsDisconnectedCaller) {
  const auto exchange = std::make_shared<fake_exchange>(
      net::http_request{"POST", "/v1/jobs", {}, std::string(kJob)});
  http_api_.Handle(exchange);
  exchange->Close();
  std::vector<control_event> batch;
  ASSERT_TRUE(events_.WaitBatch(batch, monotonic_clock::now()));
  ASSERT_EQ(batch.size(), 2U);
  const auto& submitted = std::get<decision::submit_request>(
      std::get<decision::entry_event>(batch[0]));
  const auto& disconnected = std::get<decision::caller_gone>(
      std::get<decision::entry_event>(batch[1]));
  EXPECT_EQ(disconnected.caller, submitted.caller);
  EXPECT_FALSE(callers_.Find(submitted.caller));
}

// Guards against a path that matches a pattern with more or fewer segments.
TEST(RouteMatch, MatchesWholeSegmentsOnly) {
  EXPECT_EQ(MatchPath("/v1/jobs", "/v1/jobs"), "");
  EXPECT_EQ(MatchPath("/v1/jobs/{}", "/v1/jobs/x"), "x");
  EXPECT_EQ(MatchPath("/v1/agents/{}/drain", "/v1/agents/x/drain"), "x");
  EXPECT_FALSE(MatchPath("/v1/jobs", "/v1/jobs/"));
  EXPECT_FALSE(MatchPath("/v1/jobs/{}", "/v1/jobs/"));
  EXPECT_FALSE(MatchPath("/v1/jobs/{}", "/v1/jobs/x/y"));
  EXPECT_FALSE(MatchPath("/v1/agents/{}/drain", "/v1/agents/drain"));
  EXPECT_FALSE(MatchPath("/v1/agents/{}/drain", "/v1/agents//drain"));
}

}  // namespace
}  // namespace egretrack::entry
