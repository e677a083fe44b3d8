#include "egretrack/base/ids.h"

#include <gtest/gtest.h>

namespace egretrack {
namespace {

// Guards against ids from which another entry cannot read the home entry.
TEST(JobId, RoundTrip) {
  const job_id id{"entry-1", incarnation{0xfedcba9876543210U}, 0x123456789abcU,
                  7};
  const result<job_id> parsed = job_id::Parse(id.ToString());
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(*parsed, id);
}

// Guards against two spellings of one job id, which would lead to two records
// of the job.
TEST(JobId, RejectsAlternativeSpellings) {
  const std::string text = job_id{"e1", incarnation{0xab}, 1, 2}.ToString();
  std::string upper = text;
  upper.replace(upper.find("ab"), 2, "AB");
  EXPECT_TRUE(job_id::Parse(text).has_value());
  EXPECT_FALSE(job_id::Parse(upper).has_value());
  EXPECT_FALSE(job_id::Parse(text + "0").has_value());
  EXPECT_FALSE(job_id::Parse(text + ".").has_value());
  EXPECT_FALSE(job_id::Parse("").has_value());
  EXPECT_FALSE(job_id::Parse("E1" + text.substr(2)).has_value());
}

// Guards against names that break the id format or a path.
TEST(Names, OnlyLowerCaseDigitsAndHyphen) {
  EXPECT_TRUE(IsValidName("banco-turni"));
  EXPECT_FALSE(IsValidName(""));
  EXPECT_FALSE(IsValidName("a.b"));
  EXPECT_FALSE(IsValidName("a/b"));
  EXPECT_FALSE(IsValidName(std::string(65, 'a')));
}

}  // namespace
}  // namespace egretrack
