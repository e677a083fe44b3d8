#ifndef EGRETRACK_SOAK_DEPLOYMENT_H_
#define EGRETRACK_SOAK_DEPLOYMENT_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/net/http.h"
#include "platform/standins/lease_worker.h"
#include "platform/standins/row_store.h"
#include "standins/child_process.h"
#include "standins/relay.h"
#include "standins/run_history.h"

namespace egretrack::soak {

struct deployment_options {
  std::string programs;  // Folder with egretrackd.
  std::string folder;    // For settings, logs and files of ports.
  int entries = 3;
  int agents = 4;
  std::uint64_t seed = 1;
};

// An entry or an agent: a real process, and the relays through which others
// reach it.
struct daemon {
  std::string name;
  std::string settings;                 // Path.
  std::string ports;                    // Path of the file it writes.
  std::unique_ptr<standins::relay> in;  // For agents, or to the worker.
  std::optional<standins::child_process> process;
  bool paused = false;
  monotonic_time paused_until{};
  std::optional<monotonic_time> start_at;  // While it is down.
  std::optional<monotonic_time> kill_at;   // After SIGTERM.
};

// Real programs on one machine, with stand-ins for the platform around them.
// All but jobs_address() is used by the main thread alone.
class deployment {
 public:
  static result<std::unique_ptr<deployment>> Start(deployment_options options);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Starts what is due, resumes what was paused for long enough, ends what did
  // not end in time after SIGTERM.
  void Advance(monotonic_time now);

  void Kill(daemon& target, monotonic_time now, milliseconds down);
  void Pause(daemon& target, monotonic_time now, milliseconds length);
  void Terminate(daemon& target, monotonic_time now, milliseconds down);
  void CrashWorker(int number);
  void StartWorker(int number);
  // Publishes a version with other time-outs.
  void Publish();
  // Ends every disturbance and brings everything back.
  void Heal(monotonic_time now);

  // Where callers reach an entry; nothing while its port is not known.
  std::optional<net::tcp_address> jobs_address(std::size_t entry) const;

  std::vector<daemon>& entries() { return entries_; }
  std::vector<daemon>& agents() { return agents_; }
  standins::relay& store_relay() { return *store_relay_; }
  standins::row_store& store() { return *store_; }
  standins::lease_worker* worker(int number) {
    return workers_[static_cast<std::size_t>(number)].get();
  }
  standins::run_history& history() { return history_; }

 private:
  explicit deployment(deployment_options options);
  result<void> Begin();
  result<void> WriteSettings();
  result<void> Launch(daemon& target);
  void ReadPorts();

  const deployment_options options_;
  standins::run_history history_;
  std::unique_ptr<standins::relay_hub> relays_;
  std::unique_ptr<standins::row_store> store_;
  std::unique_ptr<standins::relay> store_relay_;
  std::vector<daemon> entries_;
  std::vector<daemon> agents_;
  std::vector<std::unique_ptr<standins::lease_worker>> workers_;
  std::vector<std::uint16_t> agent_ports_;  // For reports; 0: not known.
  mutable std::mutex mutex_;
  std::vector<std::uint16_t> jobs_ports_;  // Guarded by mutex_.
  std::uint64_t version_ = 0;
};

}  // namespace egretrack::soak

#endif  // EGRETRACK_SOAK_DEPLOYMENT_H_
