// UNASKED: a job whose route a later configuration has dropped cannot be
// cancelled: the cancelling is acknowledged and the job goes on.
#include <thread>

#include "lab.h"

namespace review {
namespace {

constexpr int kCancelMs = 3000;       // Bound of the page.
constexpr int kConfigApplyMs = 2000;  // Bound of the page.
constexpr int kFirstStepMs = 7000;    // The site's longest task takes 8,100 ms.
constexpr const char* kFront = "127.0.41.1";
constexpr const char* kSide = "127.0.41.11";

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  system.Publish(1, {"riassegna", "trova"});
  system.AddFront("front-1", kFront, {kFront});
  system.AddSide("side-1", kSide, {kFront});
  const auto runner =
      worker::Start({.id = "i-00000001",
                     .service = "banco-turni",
                     .listen = {kSide, 0},
                     .agent = {kSide, system.port().control}},
                    log);
  system.WaitReady(kFront);
  system.WaitAgents(kFront, 1);

  const std::string id = "5c0e7a21d94b36f8";
  const std::string path = lab::PathOf("riassegna", id);
  answer job;
  std::thread client([&] {
    log.Line("client: POST %s, two steps of one task, %d ms and 500 ms",
             path.c_str(), kFirstStepMs);
    job = system.Call(
        kFront, "POST", path,
        R"({"best_effort":true,"spec":")" + std::to_string(kFirstStepMs) +
            R"(","steps":[{"count":1,"cpu":1600,"mem_mb":64,"estimate_ms":7000},)"
            R"({"count":1,"cpu":1600,"mem_mb":64,"estimate_ms":7000,"after":[0]}]})",
        20000, 21000);
    log.Line("client: POST is answered %u %s", job.status, job.body.c_str());
  });
  lab::Sleep(1000);
  // The plan: a configuration without the route, or with it.
  if (options.trouble)
    system.Publish(2, {"trova"});
  else
    system.Publish(2, {"riassegna", "trova", "conferma"});
  lab::Sleep(kConfigApplyMs + 500);
  const answer cancelled = system.Call(kFront, "DELETE", path, "", 0, 3000);
  log.Line("client: DELETE %s is answered %u %s", path.c_str(),
           cancelled.status, cancelled.body.c_str());
  client.join();
  const bool acknowledged = (cancelled.status >= 200 && cancelled.status < 300) ||
                            cancelled.status == 410;
  if (!acknowledged) {
    log.Line("the cancelling was not acknowledged");
    return kCouldNotRun;
  }
  const std::int64_t bound = cancelled.received + kCancelMs;
  while (log.NowMs() < bound + 200)
    lab::Sleep(50);
  bool broken = false;
  for (const run_event& run : runner->runs()) {
    if (run.started > bound) {
      broken = true;
      log.Line("UNASKED: task %s starts %lld ms after the acknowledgement",
               run.task.c_str(),
               static_cast<long long>(run.started - cancelled.received));
    } else if (run.ended < 0 || run.ended > bound + 50) {
      broken = true;
      log.Line("UNASKED: task %s is at work until %lld ms after the acknowledgement",
               run.task.c_str(),
               static_cast<long long>(run.ended - cancelled.received));
    }
  }
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
