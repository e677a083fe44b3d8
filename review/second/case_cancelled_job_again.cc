// UNASKED: a request for a cancelled job that arrives again at another entry
// runs the job.
#include <thread>

#include "lab.h"

namespace review {
namespace {

constexpr int kCancelMs = 3000;    // Bound of the page.
constexpr int kTaskMs = 760;       // Mean of riassegna-turno.
constexpr int kDeadlineMs = 1500;  // Of the clients of the site.
constexpr int kRepeatedAfterMs = 4000;
constexpr const char* kFront1 = "127.0.49.1";
constexpr const char* kFront2 = "127.0.49.2";
constexpr const char* kSide1 = "127.0.49.11";
constexpr const char* kSide2 = "127.0.49.12";

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  system.Publish(1, {"riassegna"});
  system.AddFront("front-1", kFront1, {kFront1, kFront2});
  system.AddFront("front-2", kFront2, {kFront1, kFront2});
  std::vector<std::unique_ptr<worker>> workers;
  for (const char* host : {kSide1, kSide2}) {
    const std::string number = std::to_string(workers.size() + 1);
    system.AddSide("side-" + number, host, {kFront1, kFront2});
    workers.push_back(worker::Start({.id = "i-0000000" + number,
                                     .service = "banco-turni",
                                     .listen = {host, 0},
                                     .agent = {host, system.port().control}},
                                    log));
  }
  for (const char* front : {kFront1, kFront2}) {
    system.WaitReady(front);
    system.WaitAgents(front, 2);
  }
  lab::Sleep(1000);

  const std::string path = lab::PathOf("riassegna", "5c0e7a21d94b36f8");
  const std::string body =
      R"({"best_effort":true,"spec":")" + std::to_string(kTaskMs) +
      R"(","steps":[{"count":4,"cpu":1600,"mem_mb":64,"estimate_ms":760}]})";
  const auto submit = [&](const char* name, const char* front) {
    log.Line("client: POST %s to %s", path.c_str(), name);
    const answer got =
        system.Call(front, "POST", path, body, kDeadlineMs, kDeadlineMs + 1000);
    log.Line("client: POST %s to %s is answered %u %s", path.c_str(), name,
             got.status, got.body.c_str());
    return got;
  };
  answer first;
  std::thread client([&] { first = submit("front-1", kFront1); });
  lab::Sleep(300);
  const answer cancelled = system.Call(kFront1, "DELETE", path, "", 0, 4000);
  log.Line("client: DELETE %s to front-1 is answered %u %s", path.c_str(),
           cancelled.status, cancelled.body.c_str());
  client.join();
  if (cancelled.status != 200 || first.status != 200)
    return kCouldNotRun;
  while (log.NowMs() < cancelled.received + kRepeatedAfterMs)
    lab::Sleep(10);
  if (options.trouble) {
    log.Line("network: the request arrives again, seconds after its 200");
    submit("front-2", kFront2);
  }
  lab::Sleep(500);
  int started = 0;
  for (const auto& each : workers) {
    for (const run_event& run : each->runs()) {
      if (run.started <= cancelled.received + kCancelMs)
        continue;
      ++started;
      log.Line("UNASKED: task %s starts %lld ms after the cancelling was "
               "acknowledged",
               run.task.c_str(),
               static_cast<long long>(run.started - cancelled.received));
    }
  }
  return started > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
