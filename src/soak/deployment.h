#ifndef EGRETRACK_SOAK_DEPLOYMENT_H_
#define EGRETRACK_SOAK_DEPLOYMENT_H_

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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

// Agent n is in the failure domain n modulo this number.
inline constexpr int kDomainCount = 3;
// Label of the workers until one is replaced, which some jobs require.
inline constexpr std::string_view kWorkerLabel = "a";

struct deployment_options {
  std::string program_folder;  // Contains egretrackd.
  std::string work_folder;     // For settings, logs and port files.
  int entry_count = 3;
  int agent_count = 4;
  std::uint64_t seed = 1;
  bool workers_keep_ids = false;
  // A run that begins in an evacuated domain after the bound is a violation.
  // For runs without faults that cut agents off or delay calls to workers.
  bool check_evacuations = false;
  // An entry without the last configuration after the bound is a violation. For
  // runs without faults that stop processes or disturb the store.
  bool check_configurations = false;
  // Lines of TOML that are added to the settings of each entry and agent.
  std::string entry_settings;
  std::string agent_settings;
};

// An entry or agent process, and the relay that disturbs its connections.
struct daemon {
  std::string name;
  std::string settings_path;
  std::string ports_path;  // File to which the process writes its ports.
  // Of an entry: from the agents to the entry. Of an agent: to its worker.
  std::unique_ptr<standins::relay> fault_relay;
  // Of an entry: from its callers to the entry.
  std::unique_ptr<standins::relay> caller_relay;
  std::optional<standins::child_process> process;
  bool paused = false;
  monotonic_time paused_until{};
  std::optional<monotonic_time> restart_at;  // Set after a kill or SIGTERM.
  std::optional<monotonic_time> kill_at;     // End of the grace period.
};

// Entry and agent processes on one machine, with stand-ins for the store and
// the workers of the platform. Belongs to the main thread; other threads may
// only call jobs_address() and history() and read the number of entries.
class deployment {
 public:
  static result<std::unique_ptr<deployment>> Start(deployment_options options);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Starts processes whose restart is due, resumes those whose pause is over,
  // and kills those that outlive the grace period after SIGTERM.
  void Advance(monotonic_time now);

  // Sends SIGKILL and restarts the process after `down_time`.
  void Kill(daemon& target, monotonic_time now, milliseconds down_time);
  // Stops the process with SIGSTOP for `duration`.
  void Pause(daemon& target, monotonic_time now, milliseconds duration);
  // Sends SIGTERM. The process restarts once it exits, or `down_time` after the
  // grace period if it had to be killed.
  void Terminate(daemon& target, monotonic_time now, milliseconds down_time);
  // Ends the worker, cuts its connections and refuses new ones.
  void CrashWorker(int number);
  // Replaces the worker with a new incarnation, which gives a time of birth
  // that is off by `birth_offset`. It has the label that was set last.
  void StartWorker(int number, milliseconds birth_offset = milliseconds(0));
  void SetWorkerLabel(int number, std::string label) {
    worker_labels_[static_cast<std::size_t>(number)] = std::move(label);
  }
  // Sends the agent a report of a worker that does not exist.
  void SendOddReport(int number, bool worker_id);
  // Publishes a new configuration version with another deadline.
  void PublishConfiguration();
  // All open connections to the store, between processes and to workers go
  // silent for good; new ones work.
  void SilenceConnections();
  // Records a violation for each entry that does not have the last
  // configuration.
  void CheckConfigurations();
  // Writes or removes the row that evacuates a failure domain.
  void Evacuate(int domain);
  void EndEvacuation(int domain);
  // Ends all injected faults, and resumes or restarts everything that is down.
  void EndFaults(monotonic_time now);

  // Address at which callers reach an entry, or nullopt while its port is not
  // known.
  std::optional<net::tcp_address> jobs_address(std::size_t entry) const;

  std::vector<daemon>& entries() { return entries_; }
  std::vector<daemon>& agents() { return agents_; }
  standins::relay& store_relay() { return *store_relay_; }
  standins::row_store& store() { return *store_; }
  // Null while the worker is down.
  standins::lease_worker* worker(int number) {
    return workers_[static_cast<std::size_t>(number)].get();
  }
  standins::run_history& history() { return history_; }
  const deployment_options& options() const { return options_; }

 private:
  explicit deployment(deployment_options options);
  result<void> StartComponents();
  result<void> WriteSettings();
  void PutInvalidRows();
  result<void> Launch(daemon& target);
  void ReadPortFiles();

  const deployment_options options_;
  standins::run_history history_;
  std::unique_ptr<standins::relay_hub> relays_;
  std::unique_ptr<standins::row_store> store_;
  std::unique_ptr<standins::relay> store_relay_;
  std::vector<daemon> entries_;
  std::vector<daemon> agents_;
  std::vector<std::unique_ptr<standins::lease_worker>> workers_;
  std::vector<std::string> worker_labels_;  // By agent.
  std::unique_ptr<net::http_client> client_;
  std::vector<std::uint16_t> report_ports_;    // By agent; 0 if not known.
  std::vector<std::uint16_t> internal_ports_;  // By entry; 0 if not known.
  mutable std::mutex mutex_;
  std::vector<std::uint16_t> jobs_ports_;  // By entry; guarded by mutex_.
  std::uint64_t config_version_ = 0;
  std::set<int> evacuated_domains_;
};

}  // namespace egretrack::soak

#endif  // EGRETRACK_SOAK_DEPLOYMENT_H_
