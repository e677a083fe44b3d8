#ifndef REVIEW_SECOND_LAB_H_
#define REVIEW_SECOND_LAB_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/net/http.h"
#include "platform/standins/row_store.h"
#include "record.h"
#include "standins/child_process.h"
#include "worker.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Arguments of every case: DAEMON RECORD [--calm].
struct case_options {
  std::string daemon;  // target/bin/egretrackd
  std::string record;
  bool trouble = true;
};
// Runs the case and turns exceptions into kCouldNotRun.
int RunCase(int argc,
            char** argv,
            const std::function<int(const case_options&, recorder&)>& body);

struct answer {
  unsigned status = 0;  // 0: none.
  std::string body;
  std::int64_t sent = 0;  // By the recorder.
  std::int64_t received = 0;
};

// Ports that are the same on all machines.
struct ports {
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t entries = 0;   // First of `port_range`.
  std::uint16_t internal = 0;  // Last of `port_range`.
};

// A small deployment on addresses of the loopback network, one for each
// machine, with the settings of deploy/*.toml for turni-gas.
class lab {
 public:
  lab(case_options options, recorder& log);
  ~lab();
  lab(const lab&) = delete;
  lab& operator=(const lab&) = delete;

  // Seeds are hosts. The store is at `store`, which may be a proxy.
  void AddFront(const std::string& name,
                const std::string& host,
                const std::vector<std::string>& seeds,
                const std::string& extra = "");
  void AddSide(const std::string& name,
               const std::string& host,
               const std::vector<std::string>& seeds);
  // Starts or restarts a machine's process.
  void Start(const std::string& name);
  void Signal(const std::string& name, int signal);
  bool IsRunning(const std::string& name);
  // Peak of the resident memory, in kB; 0 if the process is gone.
  long PeakMemoryKb(const std::string& name);
  egretrack::standins::child_process& process(const std::string& name) {
    return *processes_.at(name);
  }

  void SetStore(const egretrack::net::tcp_address& store) { store_address_ = store; }
  egretrack::standins::row_store& store() { return *store_; }
  // Writes op/config. `routes` are names of routes with a prefix each.
  void Publish(int version,
               const std::vector<std::string>& routes,
               int timeout_ms = 1500);
  static std::string PathOf(const std::string& route, const std::string& id) {
    return "/" + route + "/" + id;
  }

  answer Call(const std::string& host,
              const std::string& method,
              const std::string& path,
              const std::string& body,
              int deadline_ms,
              int timeout_ms);
  // Waits until GET /readiness of the machine gives 200 and it has agents.
  void WaitReady(const std::string& host, int timeout_ms = 15000);
  // Waits until the entry's metrics tell of this many usable agents.
  void WaitAgents(const std::string& host, int agents, int timeout_ms = 15000);

  const ports& port() const { return ports_; }
  const std::string& folder() const { return folder_; }
  static void Sleep(int ms);

 private:
  answer CallAt(const egretrack::net::tcp_address& at,
                const egretrack::net::http_request& request,
                int timeout_ms);

  const case_options options_;
  recorder& log_;
  std::string folder_;
  ports ports_;
  egretrack::net::tcp_address store_address_;
  std::unique_ptr<egretrack::standins::row_store> store_;
  std::map<std::string, std::string> settings_;  // Path, by machine.
  std::map<std::string, std::optional<egretrack::standins::child_process>> processes_;
};

}  // namespace review

#endif  // REVIEW_SECOND_LAB_H_
