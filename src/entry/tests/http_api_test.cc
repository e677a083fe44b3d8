#include "entry/http_api.h"

#include <gtest/gtest.h>

#include "entry/route_match.h"
#include "entry/tests/fake_exchange.h"

namespace egretrack::entry {
namespace {

constexpr std::string_view kJob = R"({"kind":"k","tasks":[{"payload":"p"}]})";

// A front whose control thread takes no event.
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
    front_.Handle(exchange);
    return exchange->WaitForResponse();
  }

  control_mailbox events_{1};
  caller_registry waiting_;
  std::atomic<bool> ready_ = false;
  traffic_thread thread_;
  std::unique_ptr<net::http_client> http_ = net::http_client::Create({});
  std::unique_ptr<store::table_client> table_ =
      store::table_client::Create({"127.0.0.1", 1}, milliseconds(100));
  config_watcher configuration_{thread_, *table_,           *http_,
                                {},      milliseconds(100), [](const auto&) {}};
  config_publisher publisher_{thread_, *table_, [](auto, const auto&) {}};
  http_api front_{{"a", incarnation{1}, events_, waiting_, configuration_,
                   publisher_, ready_}};
};

// Guards against callers that wait for a control thread without room, and
// against "not run" for a job that an earlier request may have started.
TEST_F(HttpApi, FullMailboxRefusesTruthfully) {
  ASSERT_TRUE(events_.TryPush(report_request{}));
  const auto fresh = Call("POST", "/v1/jobs");
  EXPECT_EQ(fresh.status, 503U);
  EXPECT_NE(fresh.body.find(R"("error":"overloaded")"), std::string::npos);
  EXPECT_NE(fresh.body.find(R"("not_run":true)"), std::string::npos);
  const auto keyed = Call("POST", "/v1/jobs", {{"Idempotency-Key", "k"}});
  EXPECT_NE(keyed.body.find(R"("not_run":false)"), std::string::npos);
  const std::string id = job_id{"a", incarnation{1}, 2, 3}.ToString();
  const auto with_id = Call("PUT", "/v1/jobs/" + id);
  EXPECT_NE(with_id.body.find(R"("not_run":false)"), std::string::npos);
  EXPECT_EQ(with_id.Header(kJobIdHeader), id);
}

// Guards against work for a caller that closed its connection.
TEST_F(HttpApi, ClosedCallerIsReported) {
  const auto exchange = std::make_shared<fake_exchange>(
      net::http_request{"POST", "/v1/jobs", {}, std::string(kJob)});
  front_.Handle(exchange);
  exchange->Close();
  std::vector<control_event> batch;
  ASSERT_TRUE(events_.WaitBatch(batch, monotonic_clock::now()));
  ASSERT_EQ(batch.size(), 2U);
  const auto& submitted = std::get<decision::submit_request>(
      std::get<decision::entry_event>(batch[0]));
  const auto& gone = std::get<decision::caller_gone>(
      std::get<decision::entry_event>(batch[1]));
  EXPECT_EQ(gone.caller, submitted.caller);
  EXPECT_FALSE(waiting_.Find(submitted.caller));
}

// Guards against a path that matches a longer or shorter pattern.
TEST(RouteMatch, WholeSegmentsOnly) {
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
