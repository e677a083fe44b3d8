#include "entry/config_publisher.h"

#include <gtest/gtest.h>

#include "entry/tests/fake_exchange.h"
#include "standins/table_service.h"

namespace egretrack::entry {
namespace {

constexpr std::string_view kDocument = R"([desk.d]
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
                             std::string_view publication_id,
                             std::string_view document = kDocument) {
    const auto exchange = std::make_shared<fake_exchange>();
    publisher_.Publish(
        {base, std::string(publication_id), std::string(document)}, exchange);
    return exchange->WaitForResponse();
  }

  std::unique_ptr<standins::table_service> service_ =
      *standins::table_service::Listen({"127.0.0.1", 0});
  traffic_thread thread_;
  std::unique_ptr<store::table_client> table_ =
      store::table_client::Create(service_->local_address(), milliseconds(300));
  std::uint64_t published_version_ = 0;
  config_publisher publisher_{thread_, *table_,
                              [this](std::uint64_t version, std::string) {
                                published_version_ = version;
                              }};
};

// Guards against a published version that is missing from the history or is not
// passed to the callback.
TEST_F(ConfigPublisher, PublishesNextVersion) {
  EXPECT_EQ(Publish(0, "p1").status, 200U);
  const auto second = Publish(1, "p2");
  EXPECT_EQ(second.status, 200U);
  EXPECT_TRUE(Contains(second.body, R"("version":2)"));
  EXPECT_EQ(published_version_, 2U);
  const auto exchange = std::make_shared<fake_exchange>();
  publisher_.ListVersions(0, 10, exchange);
  EXPECT_EQ(exchange->WaitForResponse().body, R"({"versions":[1,2]})");
  const auto one = std::make_shared<fake_exchange>();
  publisher_.ReadVersion(1, one);
  EXPECT_TRUE(Contains(one->WaitForResponse().body, R"("publication":"p1")"));
}

// Guards against publishing an invalid document, and against a response that
// lists only the first of its faults.
TEST_F(ConfigPublisher, ReportsAllFaults) {
  const auto refused = Publish(
      0, "p1", "[request_kind.a]\ndesk = \"x\"\n[request_kind.b]\ndesk = 1\n");
  EXPECT_EQ(refused.status, 422U);
  EXPECT_TRUE(Contains(refused.body, "request_kind.a"));
  EXPECT_TRUE(Contains(refused.body, "request_kind.b"));
  EXPECT_EQ(published_version_, 0U);
}

// Guards against a publication that silently undoes another one, which was
// published after its base version.
TEST_F(ConfigPublisher, ReportsConflictWithChanges) {
  ASSERT_EQ(Publish(0, "p1").status, 200U);
  std::string changed_document(kDocument);
  changed_document.replace(changed_document.find("0.99"), 4, "0.9");
  const auto refused = Publish(0, "p2", changed_document);
  EXPECT_EQ(refused.status, 409U);
  EXPECT_TRUE(Contains(refused.body, R"("error":"conflict")")) << refused.body;
  EXPECT_TRUE(Contains(refused.body, R"("version":1)")) << refused.body;
  EXPECT_TRUE(Contains(refused.body, R"("object":"desk.d","key":"objective")"))
      << refused.body;
  EXPECT_EQ(Publish(7, "p3").status, 409U);
}

// Guards against a retried publication that is refused or applied twice after a
// later version was published.
TEST_F(ConfigPublisher, AnswersRetryLikeFirstRequest) {
  ASSERT_EQ(Publish(0, "p1").status, 200U);
  ASSERT_EQ(Publish(1, "p2").status, 200U);
  const auto retried = Publish(0, "p1");
  EXPECT_EQ(retried.status, 200U);
  EXPECT_TRUE(Contains(retried.body, R"("version":1)"));
}

// Guards against reporting a failure when a write took effect but its response
// was lost.
TEST_F(ConfigPublisher, ResolvesLostResponseByReading) {
  service_->SetFaults({.lose_answers = true});
  EXPECT_EQ(Publish(0, "p1").status, 200U);
  service_->SetFaults({});
  EXPECT_EQ(Publish(1, "p2").status, 200U);
}

// Guards against a response that reports a publication as done or refused while
// the table service is down.
TEST_F(ConfigPublisher, ReportsTableOutage) {
  service_->SetFaults({.down = true});
  const auto refused = Publish(0, "p1");
  EXPECT_EQ(refused.status, 503U);
  EXPECT_TRUE(Contains(refused.body, "table_unavailable"));
}

}  // namespace
}  // namespace egretrack::entry
