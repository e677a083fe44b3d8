#include "job_entry/table_follower.h"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace egretrack::job_entry {
namespace {

// Records the calls of a follower and answers none of them.
class recording_store final : public platform::store_client {
 public:
  void Read(std::string_view /*table*/,
            std::string_view from,
            on_page /*done*/) override {
    calls.push_back("read from '" + std::string(from) + "'");
  }
  void ReadFirst(std::string_view /*table*/,
                 std::string_view /*key*/,
                 on_page /*done*/) override {}
  void Watch(std::string_view /*table*/,
             std::uint64_t after,
             milliseconds /*wait*/,
             on_page /*done*/) override {
    calls.push_back("watch after " + std::to_string(after));
  }
  void Write(const platform::store_write& /*write*/,
             on_written /*done*/) override {}

  std::vector<std::string> calls;
};

class TableFollower : public testing::Test {
 protected:
  std::optional<table_change> Handle(platform::store_page page) {
    auto change = follower_.HandleRead({std::move(page)}, now_);
    follower_.Advance(now_);
    return change;
  }

  recording_store store_;
  table_follower follower_{store_, "t", milliseconds(5000), [](table_read) {}};
  monotonic_time now_{seconds(100)};
};

// Guards against a follower that reads the same page for good, or stops at it,
// because its last rows are invalid.
TEST_F(TableFollower, ContinuesAfterAPageOfInvalidRows) {
  follower_.Advance(now_);
  platform::store_page first;
  first.version = 40;
  first.more = true;
  first.invalid_rows = {{"a", "odd"}, {"b", "odd"}};
  first.last_key = "b";
  EXPECT_FALSE(Handle(first).has_value());
  platform::store_page second;
  second.version = 42;
  second.rows = {{"t", "c", "value", 7, false}};
  second.last_key = "c";
  const auto change = Handle(second);
  ASSERT_TRUE(change.has_value());
  EXPECT_TRUE(change->full_snapshot);
  EXPECT_EQ(change->rows.size(), 1U);
  EXPECT_EQ(change->invalid_rows.size(), 2U);
  // A row that the first page lacks may have been written since.
  EXPECT_EQ(change->version, 40U);
  const std::vector<std::string> expected{
      "read from ''", "read from 'b" + std::string(1, '\0') + "'",
      "watch after 40"};
  EXPECT_EQ(store_.calls, expected);
}

// Guards against a watch that gets the same invalid change again and again.
TEST_F(TableFollower, WatchesOnAfterAnInvalidRow) {
  follower_.Advance(now_);
  Handle({{}, {}, "", 40, false});
  platform::store_page page;
  page.version = 41;
  page.invalid_rows = {{"a", "odd"}};
  const auto change = Handle(page);
  ASSERT_TRUE(change.has_value());
  EXPECT_FALSE(change->full_snapshot);
  EXPECT_EQ(change->invalid_rows.size(), 1U);
  EXPECT_EQ(store_.calls.back(), "watch after 41");
  EXPECT_FALSE(follower_.failing_since().has_value());
}

}  // namespace
}  // namespace egretrack::job_entry
