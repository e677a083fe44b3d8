// While tasks run, another writer sends one odd heartbeat to the address where
// an agent hears its worker: it names a service that the configuration doesn't.
#include <mutex>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "review/standins/deployment.h"

using namespace egretrack;
using namespace egretrack::review;

namespace {

namespace json = boost::json;

constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kMachine = 2;
constexpr int kJobs = 6;
constexpr int kTasks = 8;
constexpr int kRunMs = 2500;
constexpr milliseconds kDeadline{10000};
// Starts and ends are seen a few milliseconds late by the stand-ins.
constexpr milliseconds kOverlapSlack{20};

// All fields are there and of the right type; only the service is unknown.
net::http_request OddHeartbeat(const worker_options& beside) {
  net::http_request request;
  request.method = "POST";
  request.target = "/instances/i-odd/heartbeat";
  request.headers = {{"Content-Type", "application/json"}};
  const json::object capacity{{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}};
  request.body = json::serialize(json::object{
      {"service", "unknown-service"},
      {"addr",
       net::tcp_address{beside.address.host,
                        static_cast<std::uint16_t>(beside.address.port + 1)}
           .ToString()},
      {"zone", beside.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", capacity},
      {"clock_ms", 1},
      {"born", beside.born},
      {"seq", 1}});
  return request;
}

}  // namespace

int main(int argc, char** argv) {
  const auto system = deployment::Create(argc, argv);
  std::vector<std::unique_ptr<worker>> workers;
  if (!system || !system->StartAll(workers))
    return kCouldNotRun;

  std::vector<std::thread> clients;
  std::mutex mutex;
  int completed = 0;
  for (int number = 0; number < kJobs; ++number) {
    clients.emplace_back([&, number] {
      const attempt_result got = system->Submit(
          {1 + number % kEntries, "5c0e7a21d94b360" + std::to_string(number),
           kTasks, kRunMs, kDeadline});
      const std::lock_guard lock(mutex);
      completed += got.body.find("completed") != std::string::npos ? 1 : 0;
    });
  }
  SleepFor(milliseconds(600));
  if (Trouble()) {
    const worker_options beside = system->WorkerOptions(kMachine);
    const net::http_reply reply = net::http_client::Create({})->CallAndWait(
        beside.agent, OddHeartbeat(beside), seconds(1));
    system->log().Note(
        "an odd heartbeat of i-odd, service unknown-service, gets " +
        (reply.ok ? std::to_string(reply.response.status) : "no response") +
        " from agent-" + std::to_string(kMachine));
  }
  for (std::thread& client : clients)
    client.join();
  SleepFor(seconds(1));

  const std::size_t overlaps = system->log().CountOverlaps(kOverlapSlack);
  system->log().Note("result: " + std::to_string(overlaps) +
                     " overlapping pairs of runs, " +
                     std::to_string(completed) + " jobs completed");
  if (overlaps > 0)
    return kBroken;
  return completed == kJobs ? 0 : kCouldNotRun;
}
