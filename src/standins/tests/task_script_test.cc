#include "standins/task_script.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

// Guards against a directive that is ignored.
TEST(TaskScriptTest, ParsesEveryDirective) {
  const task_script script = ParseTaskScript("sleep=25 cut echo=abc");
  EXPECT_EQ(script.sleep, milliseconds(25));
  EXPECT_EQ(script.ending, task_ending::kReset);
  EXPECT_EQ(script.echo, "abc");
  EXPECT_EQ(ParseTaskScript("fail").ending, task_ending::kFail);
  EXPECT_EQ(ParseTaskScript("short").ending, task_ending::kTruncate);
  EXPECT_EQ(ParseTaskScript("refuse").ending, task_ending::kRefuse);
}

// Guards against an endpoint stand-in that fails on a payload without
// directives.
TEST(TaskScriptTest, AcceptsAnyPayload) {
  const task_script script = ParseTaskScript(" sleep=-3  sleep=x {\"a\":1}");
  EXPECT_EQ(script.sleep, milliseconds(0));
  EXPECT_EQ(script.ending, task_ending::kResult);
}

}  // namespace
}  // namespace egretrack::standins
