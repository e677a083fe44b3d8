// CONFIG: after the open connections to the store went silent, entries that
// started less than 13 s ago try a second silent connection, and act on an old
// configuration for 5 s.
#include "lab.h"
#include "proxy.h"

namespace review {
namespace {

constexpr int kConfigApplyMs = 2000;  // Bound of the page.
constexpr int kContactMs = 3000;      // Bound of the page.
constexpr const char* kFront1 = "127.0.43.1";
constexpr const char* kFront2 = "127.0.43.2";
constexpr const char* kSide = "127.0.43.11";
constexpr const char* kStoreLink = "127.0.43.100";

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  const ports& port = system.port();
  const auto store = proxy::Open({kStoreLink, 0}, system.store().address());
  system.SetStore(store->address());
  system.Publish(1, {"riassegna", "trova"});
  const std::int64_t started = log.NowMs();
  system.AddFront("front-1", kFront1, {kFront1, kFront2});
  system.AddFront("front-2", kFront2, {kFront1, kFront2});
  system.AddSide("side-1", kSide, {kFront1, kFront2});
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
  while (log.NowMs() < started + 10200)
    lab::Sleep(10);

  const std::int64_t silent = log.NowMs();
  if (options.trouble) {
    log.Line("network: %d open connections to the store go silent; new ones work",
             store->SilenceOpenConnections());
  }
  lab::Sleep(200);
  system.Publish(2, {"trova", "conferma"});
  const std::int64_t acknowledged = log.NowMs();
  // Requests are judged while all machines are in touch and after the bound.
  const std::int64_t judged_from =
      std::max(acknowledged + kConfigApplyMs, silent + kContactMs) + 50;
  while (log.NowMs() < judged_from)
    lab::Sleep(5);
  int refused = 0;
  int run_on_dropped = 0;
  int number = 0;
  const std::int64_t judged_to = silent + 6000;
  while (log.NowMs() < judged_to) {
    for (const char* front : {kFront1, kFront2}) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", ++number);
      const std::string body =
          R"({"best_effort":true,"spec":"50","steps":[{"count":1,"cpu":1600,)"
          R"("mem_mb":64,"estimate_ms":50}]})";
      const answer added = system.Call(front, "POST", lab::PathOf("conferma", id),
                                       body, 1500, 2000);
      const answer dropped = system.Call(
          front, "POST", lab::PathOf("riassegna", id), body, 1500, 2000);
      log.Line("client: %s: POST on the added route, %lld ms after the "
               "acknowledgement: %u %s; on the dropped route: %u %s",
               front, static_cast<long long>(added.sent - acknowledged),
               added.status, added.body.c_str(), dropped.status,
               dropped.body.c_str());
      refused += added.status == 404 ? 1 : 0;
      run_on_dropped += dropped.status == 200 ? 1 : 0;
    }
    lab::Sleep(150);
  }
  if (refused + run_on_dropped == 0)
    return kHeld;
  log.Line("CONFIG: %d of %d requests refused with 404 though the route is "
           "there, %d run with a dropped route",
           refused, number, run_on_dropped);
  return kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
