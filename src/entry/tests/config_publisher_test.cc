#include "entry/config_publisher.h"

#include <gtest/gtest.h>

#include "entry/tests/fake_exchange.h"
#include "standins/table_service.h"

namespace egretrack::entry {
namespace {

constexpr std::string_view kSet = R"([desk.d]
objective = 0.99
[request_kind.k]
desk = "d"
[endpoint.e]
desk = "d"
kinds = ["k"]
)";

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

class ConfigPublisher : public testing::Test {
 protected:
  ~ConfigPublisher() override {
    thread_.Stop();
    table_.reset();
  }

  net::http_response Publish(std::uint64_t base,
                             std::string_view publication,
                             std::string_view document = kSet) {
    const auto exchange = std::make_shared<fake_exchange>();
    publisher_.Publish({base, std::string(publication), std::string(document)},
                       exchange);
    return exchange->WaitForResponse();
  }

  std::unique_ptr<standins::table_service> service_ =
      *standins::table_service::Listen({"127.0.0.1", 0});
  traffic_thread thread_;
  std::unique_ptr<store::table_client> table_ =
      store::table_client::Create(service_->local_address(), milliseconds(300));
  std::uint64_t published_ = 0;
  config_publisher publisher_{
      thread_, *table_,
      [this](std::uint64_t version, std::string) { published_ = version; }};
};

// Guards against a publication that is not in the history or not announced.
TEST_F(ConfigPublisher, PublishesNextVersion) {
  EXPECT_EQ(Publish(0, "p1").status, 200U);
  const auto second = Publish(1, "p2");
  EXPECT_EQ(second.status, 200U);
  EXPECT_TRUE(Contains(second.body, R"("version":2)"));
  EXPECT_EQ(published_, 2U);
  const auto exchange = std::make_shared<fake_exchange>();
  publisher_.ListVersions(0, 10, exchange);
  EXPECT_EQ(exchange->WaitForResponse().body, R"({"versions":[1,2]})");
  const auto one = std::make_shared<fake_exchange>();
  publisher_.ReadVersion(1, one);
  EXPECT_TRUE(Contains(one->WaitForResponse().body, R"("publication":"p1")"));
}

// Guards against a set with faults in force, and against one fault at a time.
TEST_F(ConfigPublisher, ReportsAllFaults) {
  const auto refused = Publish(
      0, "p1", "[request_kind.a]\ndesk = \"x\"\n[request_kind.b]\ndesk = 1\n");
  EXPECT_EQ(refused.status, 422U);
  EXPECT_TRUE(Contains(refused.body, "request_kind.a"));
  EXPECT_TRUE(Contains(refused.body, "request_kind.b"));
  EXPECT_EQ(published_, 0U);
}

// Guards against a later publication that silently undoes an earlier one.
TEST_F(ConfigPublisher, LoserSeesConflictAndDiff) {
  ASSERT_EQ(Publish(0, "p1").status, 200U);
  std::string changed(kSet);
  changed.replace(changed.find("0.99"), 4, "0.9");
  const auto lost = Publish(0, "p2", changed);
  EXPECT_EQ(lost.status, 409U);
  EXPECT_TRUE(Contains(lost.body, R"("error":"conflict")")) << lost.body;
  EXPECT_TRUE(Contains(lost.body, R"("version":1)")) << lost.body;
  EXPECT_TRUE(Contains(lost.body, R"("object":"desk.d","key":"objective")"))
      << lost.body;
  EXPECT_EQ(Publish(7, "p3").status, 409U);
}

// Guards against a repeated publication that is refused or applied twice.
TEST_F(ConfigPublisher, RepeatGivesTheSameAnswer) {
  ASSERT_EQ(Publish(0, "p1").status, 200U);
  ASSERT_EQ(Publish(1, "p2").status, 200U);
  const auto repeated = Publish(0, "p1");
  EXPECT_EQ(repeated.status, 200U);
  EXPECT_TRUE(Contains(repeated.body, R"("version":1)"));
}

// Guards against a lost answer that is reported as a failure.
TEST_F(ConfigPublisher, ResolvesLostAnswerByRead) {
  service_->SetFaults({.lose_answers = true});
  EXPECT_EQ(Publish(0, "p1").status, 200U);
  service_->SetFaults({});
  EXPECT_EQ(Publish(1, "p2").status, 200U);
}

// Guards against a claim about a publication while the table is away.
TEST_F(ConfigPublisher, OutageIsTyped) {
  service_->SetFaults({.down = true});
  const auto refused = Publish(0, "p1");
  EXPECT_EQ(refused.status, 503U);
  EXPECT_TRUE(Contains(refused.body, "table_unavailable"));
}

}  // namespace
}  // namespace egretrack::entry
