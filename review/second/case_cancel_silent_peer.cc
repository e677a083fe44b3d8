// UNASKED: a cancellation that an entry sends on to the entry with the job is
// lost on a connection that went silent long before; it is acknowledged with
// 410, and the job goes on.
#include <thread>

#include "lab.h"
#include "proxy.h"

namespace review {
namespace {

constexpr int kCancelMs = 3000;   // Bound of the page.
constexpr int kContactMs = 3000;  // Bound of the page.
constexpr int kFirstStepMs = 5000;
constexpr const char* kFront1 = "127.0.42.1";
constexpr const char* kFront2 = "127.0.42.2";
constexpr const char* kSide = "127.0.42.11";
// The network's side of front-1: the others reach it here.
constexpr const char* kFront1Link = "127.0.42.101";

std::string TwoSteps(int first_ms) {
  const std::string task =
      R"({"count":1,"cpu":1600,"mem_mb":64,"estimate_ms":)" +
      std::to_string(first_ms);
  return R"({"best_effort":true,"spec":")" + std::to_string(first_ms) +
         R"(","steps":[)" + task + "}," + task + R"(,"after":[0]}]})";
}

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  const ports& port = system.port();
  const auto entries = proxy::Open({kFront1Link, port.entries},
                                   {kFront1, port.entries});
  const auto internal = proxy::Open({kFront1Link, port.internal},
                                    {kFront1, port.internal});
  system.Publish(1, {"riassegna", "trova"});
  system.AddFront("front-1", kFront1, {kFront2},
                  "advertised = \"" + entries->address().ToString() + "\"\n");
  system.AddFront("front-2", kFront2, {kFront2});
  system.AddSide("side-1", kSide, {kFront2});
  const auto runner =
      worker::Start({.id = "i-00000001",
                     .service = "banco-turni",
                     .listen = {kSide, 0},
                     .agent = {kSide, port.control}},
                    log);
  for (const char* front : {kFront1, kFront2}) {
    system.WaitReady(front);
    system.WaitAgents(front, 1);
  }
  lab::Sleep(1000);

  const auto submit = [&](const std::string& path, int first_ms) {
    return std::thread([&system, &log, path, first_ms] {
      log.Line("client: POST %s to front-1, two steps of one task, %d ms each",
               path.c_str(), first_ms);
      const answer job = system.Call(kFront1, "POST", path, TwoSteps(first_ms),
                                     20000, 21000);
      log.Line("client: POST %s is answered %u %s", path.c_str(), job.status,
               job.body.c_str());
    });
  };
  const auto cancel = [&](const std::string& path) {
    const answer got = system.Call(kFront2, "DELETE", path, "", 0, 4000);
    log.Line("client: DELETE %s to front-2 is answered %u %s after %lld ms",
             path.c_str(), got.status, got.body.c_str(),
             static_cast<long long>(got.received - got.sent));
    return got;
  };

  // An ordinary cancellation, before which front-2 connects to front-1.
  const std::string first = lab::PathOf("riassegna", "00000000000000a1");
  std::thread first_client = submit(first, kFirstStepMs);
  lab::Sleep(500);
  const answer first_cancelled = cancel(first);
  first_client.join();
  if (first_cancelled.status != 200)
    return kCouldNotRun;

  if (options.trouble) {
    log.Line("network: %d open connections to front-1's internal port go silent",
             internal->SilenceOpenConnections());
  }
  lab::Sleep(kContactMs + 1000);
  log.Line("all machines have been in touch again for 1 s");

  const std::string second = lab::PathOf("riassegna", "00000000000000a2");
  std::thread second_client = submit(second, kFirstStepMs);
  lab::Sleep(500);
  const answer cancelled = cancel(second);
  second_client.join();
  const bool acknowledged = cancelled.status == 200 || cancelled.status == 410;
  if (!acknowledged)
    return kCouldNotRun;
  const std::int64_t bound = cancelled.received + kCancelMs;
  while (log.NowMs() < bound + 200)
    lab::Sleep(50);
  bool broken = false;
  for (const run_event& run : runner->runs()) {
    if (!run.task.starts_with("00000000000000a2"))
      continue;
    const auto after = static_cast<long long>(
        (run.started > bound ? run.started : run.ended) - cancelled.received);
    if (run.started > bound)
      log.Line("UNASKED: task %s starts %lld ms after the acknowledgement",
               run.task.c_str(), after);
    else if (run.ended < 0 || run.ended > bound + 50)
      log.Line("UNASKED: task %s is at work until %lld ms after the acknowledgement",
               run.task.c_str(), after);
    else
      continue;
    broken = true;
  }
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
