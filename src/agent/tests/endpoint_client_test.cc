#include "agent/endpoint_client.h"

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

// Guards against reporting a task as not run although it may have run, and
// against reporting a failed task as finished.
TEST(ClassifyReply, ReportsNotRunOnlyWhenProven) {
  const call_outcome not_run{task_state::kRefused,
                             task_reason::kEndpointRefused};
  const call_outcome failed{task_state::kFailed, task_reason::kEndpointFailed};
  const call_outcome cut{task_state::kCut, task_reason::kEndpointCut};
  EXPECT_EQ(ClassifyReply(Response(200, {})),
            (call_outcome{task_state::kFinished, task_reason::kNone}));
  EXPECT_EQ(ClassifyReply(Failure(net::call_stage::kNotSent)), not_run);
  EXPECT_EQ(ClassifyReply(Failure(net::call_stage::kSent)), cut);
  EXPECT_EQ(ClassifyReply(Response(503, {{"egretrack-not-run", "true"}})),
            not_run);
  EXPECT_EQ(ClassifyReply(Response(503, {{"Egretrack-Not-Run", "false"}})),
            failed);
  EXPECT_EQ(ClassifyReply(Response(503, {})), failed);
  EXPECT_EQ(ClassifyReply(Response(500, {{"Egretrack-Not-Run", "true"}})),
            failed);
  EXPECT_EQ(ClassifyReply(Response(204, {})), failed);
}

// Records requests and replies to each with status 200 at once.
class recording_client final : public net::http_client {
 public:
  explicit recording_client(std::vector<net::http_request>& calls)
      : calls_(calls) {}
  void Call(const net::tcp_address& /*address*/,
            net::http_request request,
            net::call_limits /*limits*/,
            callback done) override {
    calls_.push_back(std::move(request));
    done(Response(200, {}));
  }

 private:
  std::vector<net::http_request>& calls_;
};

// Guards against starting a task at or after its start_before time, which
// happens when the process is suspended between the core's decision and the
// call.
TEST(EndpointClient, MakesNoCallAfterStartBefore) {
  std::vector<net::http_request> calls;
  std::vector<decision::task_ended> ended;
  endpoint_client client(std::make_unique<recording_client>(calls),
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
  client.Start(task);
  EXPECT_TRUE(calls.empty());
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].state, task_state::kRefused);
  EXPECT_EQ(ended[0].reason, task_reason::kStartByPassed);

  task.start_before = monotonic_clock::now() + seconds(60);
  client.Start(task);
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
