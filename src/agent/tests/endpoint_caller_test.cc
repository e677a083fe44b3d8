#include "agent/endpoint_caller.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace egretrack::agent {
namespace {

using wire::task_reason;
using wire::task_state;

net::http_reply Response(unsigned status, std::vector<net::header> headers) {
  net::http_reply reply;
  reply.ok = true;
  reply.response = {status, std::move(headers), "result"};
  return reply;
}

net::http_reply Failure(net::call_stage stage) {
  net::http_reply reply;
  reply.failure.stage = stage;
  return reply;
}

// Guards against "not run" for a task that may have run, and against a failure
// that passes for a result.
TEST(Judge, SaysOnlyWhatTheReplyProves) {
  const call_outcome not_run{task_state::kRefused,
                             task_reason::kEndpointRefused};
  const call_outcome failed{task_state::kFailed, task_reason::kEndpointFailed};
  const call_outcome cut{task_state::kCut, task_reason::kEndpointCut};
  EXPECT_EQ(Judge(Response(200, {})),
            (call_outcome{task_state::kFinished, task_reason::kNone}));
  EXPECT_EQ(Judge(Failure(net::call_stage::kNotSent)), not_run);
  EXPECT_EQ(Judge(Failure(net::call_stage::kSent)), cut);
  EXPECT_EQ(Judge(Response(503, {{"egretrack-not-run", "true"}})), not_run);
  EXPECT_EQ(Judge(Response(503, {{"Egretrack-Not-Run", "false"}})), failed);
  EXPECT_EQ(Judge(Response(503, {})), failed);
  EXPECT_EQ(Judge(Response(500, {{"Egretrack-Not-Run", "true"}})), failed);
  EXPECT_EQ(Judge(Response(204, {})), failed);
}

// Keeps what it is asked to call, and answers at once.
class recording_client final : public net::http_client {
 public:
  explicit recording_client(std::vector<net::http_request>& calls)
      : calls_(calls) {}
  void Call(const net::tcp_address& /*address*/,
            net::http_request request,
            milliseconds /*timeout*/,
            callback done) override {
    calls_.push_back(std::move(request));
    done(Response(200, {}));
  }

 private:
  std::vector<net::http_request>& calls_;
};

// Guards against a call that a paused process makes after start_by.
TEST(EndpointCaller, MakesNoCallPastStartBefore) {
  std::vector<net::http_request> calls;
  std::vector<decision::task_ended> ended;
  endpoint_caller caller(std::make_unique<recording_client>(calls),
                         milliseconds(1000),
                         [&ended](decision::task_ended task) {
                           ended.push_back(std::move(task));
                         });
  decision::start_task task;
  task.job = {"e1", incarnation{1}, 2, 3};
  task.task = 4;
  task.kind = "find";
  task.payload = "payload";
  task.start_before = monotonic_clock::now();
  caller.Start(task);
  EXPECT_TRUE(calls.empty());
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].state, task_state::kRefused);
  EXPECT_EQ(ended[0].reason, task_reason::kStartByPassed);

  task.start_before = monotonic_clock::now() + seconds(60);
  caller.Start(task);
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(calls[0].Header("Egretrack-Job"), task.job.ToString());
  EXPECT_EQ(calls[0].Header("Egretrack-Task"), "4");
  EXPECT_EQ(calls[0].Header("Egretrack-Kind"), "find");
  EXPECT_EQ(calls[0].body, "payload");
  ASSERT_EQ(ended.size(), 2U);
  EXPECT_EQ(ended[1].job, task.job);
  EXPECT_EQ(ended[1].result, "result");
}

}  // namespace
}  // namespace egretrack::agent
