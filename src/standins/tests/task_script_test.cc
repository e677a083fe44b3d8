#include "standins/task_script.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

// Guards against a payload word that is silently not obeyed.
TEST(TaskScriptTest, ReadsEveryWord) {
  const task_script script = ParseTaskScript("sleep=25 cut echo=abc");
  EXPECT_EQ(script.sleep, milliseconds(25));
  EXPECT_EQ(script.ending, task_ending::kCut);
  EXPECT_EQ(script.echo, "abc");
  EXPECT_EQ(ParseTaskScript("fail").ending, task_ending::kFail);
  EXPECT_EQ(ParseTaskScript("short").ending, task_ending::kShort);
  EXPECT_EQ(ParseTaskScript("refuse").ending, task_ending::kRefuse);
}

// Guards against a stand-in that stops on a payload that is no script.
TEST(TaskScriptTest, TakesAnyPayload) {
  const task_script script = ParseTaskScript(" sleep=-3  sleep=x {\"a\":1}");
  EXPECT_EQ(script.sleep, milliseconds(0));
  EXPECT_EQ(script.ending, task_ending::kResult);
}

}  // namespace
}  // namespace egretrack::standins
