#include "egretrack/store/table_client.h"

#include <future>

#include <gtest/gtest.h>

#include "standins/table_service.h"

namespace egretrack::store {
namespace {

class TableClient : public testing::Test {
 protected:
  result<std::optional<row>> Read(std::string_view table,
                                  std::string_view key) {
    std::promise<result<std::optional<row>>> promise;
    client_->Read(table, key, [&](auto read) { promise.set_value(read); });
    return promise.get_future().get();
  }

  result<void> Write(std::vector<row_write> writes) {
    std::promise<result<void>> promise;
    client_->Write(std::move(writes),
                   [&](auto done) { promise.set_value(done); });
    return promise.get_future().get();
  }

  std::unique_ptr<standins::table_service> service_ =
      *standins::table_service::Listen({"127.0.0.1", 0});
  std::unique_ptr<table_client> client_ =
      table_client::Create(service_->local_address(), milliseconds(300));
};

// Guards against keys and values that are altered by escaping or decoding.
TEST_F(TableClient, KeepsAnyBytes) {
  const std::string key = "a/b?c d%41";
  std::string value;
  for (int byte = 0; byte < 256; ++byte)
    value += static_cast<char>(byte);
  ASSERT_TRUE(Write({{"t", key, 0, value}}));
  const auto found = Read("t", key);
  ASSERT_TRUE(found && *found);
  EXPECT_EQ((*found)->value, value);
  EXPECT_FALSE(*Read("t", "other"));
}

// Guards against a write that ignores its condition.
TEST_F(TableClient, WritesOnlyOnExpectedEtag) {
  ASSERT_TRUE(Write({{"t", "k", 0, "one"}}));
  EXPECT_EQ(Write({{"t", "k", 0, "two"}}).error().code, errc::kConflict);
  const std::uint64_t etag = (*Read("t", "k"))->etag;
  EXPECT_TRUE(Write({{"t", "k", etag, "two"}}));
  EXPECT_EQ(Write({{"t", "k", etag, std::nullopt}}).error().code,
            errc::kConflict);
  EXPECT_EQ((*Read("t", "k"))->value, "two");
}

// Guards against a transaction that is applied in part.
TEST_F(TableClient, AppliesAllWritesOrNone) {
  ASSERT_TRUE(Write({{"t", "a", 0, "1"}}));
  EXPECT_EQ(Write({{"t", "b", 0, "1"}, {"t", "a", 0, "2"}}).error().code,
            errc::kConflict);
  EXPECT_FALSE(*Read("t", "b"));
}

// Guards against a recreated row with the ETag of the deleted one, on which an
// outdated condition would hold.
TEST_F(TableClient, RecreatedRowGetsNewEtag) {
  ASSERT_TRUE(Write({{"t", "k", 0, "one"}}));
  const std::uint64_t etag = (*Read("t", "k"))->etag;
  ASSERT_TRUE(Write({{"t", "k", etag, std::nullopt}}));
  ASSERT_TRUE(Write({{"t", "k", 0, "two"}}));
  EXPECT_NE((*Read("t", "k"))->etag, etag);
}

// Guards against pages that omit or repeat keys.
TEST_F(TableClient, ListsInPages) {
  ASSERT_TRUE(
      Write({{"t", "a", 0, "1"}, {"t", "b/c", 0, "1"}, {"t", "d", 0, "1"}}));
  std::promise<result<std::vector<std::string>>> promise;
  client_->List("t", "a", 1, [&](auto keys) { promise.set_value(keys); });
  EXPECT_EQ(*promise.get_future().get(), std::vector<std::string>{"b/c"});
}

// Guards against a lost answer being reported as a write that was not applied.
TEST_F(TableClient, LostAnswerIsUnknownAndMayHaveTakenEffect) {
  service_->SetFaults({.lose_answers = true});
  EXPECT_EQ(Write({{"t", "k", 0, "one"}}).error().code, errc::kOutcomeUnknown);
  EXPECT_EQ((*Read("t", "k"))->value, "one");
}

// Guards against an outage being reported as an empty table.
TEST_F(TableClient, OutagesHaveDistinctErrors) {
  service_->SetFaults({.down = true});
  EXPECT_EQ(Read("t", "k").error().code, errc::kUnavailable);
  EXPECT_EQ(Write({{"t", "k", 0, "1"}}).error().code, errc::kOutcomeUnknown);
  service_->SetFaults({.slow = milliseconds(5000)});
  EXPECT_EQ(Read("t", "k").error().code, errc::kTimeout);
  service_.reset();
  EXPECT_EQ(Read("t", "k").error().code, errc::kUnavailable);
  EXPECT_EQ(Write({{"t", "k", 0, "1"}}).error().code, errc::kUnavailable);
}

}  // namespace
}  // namespace egretrack::store
