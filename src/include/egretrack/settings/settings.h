#ifndef EGRETRACK_SETTINGS_SETTINGS_H_
#define EGRETRACK_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

// Settings of one process, read from a TOML file. Addresses are strings of the
// form "ip:port"; only their syntax is checked here.
namespace egretrack::settings {

enum class settings_errc {
  kSyntax = 1,
  kUnreadable,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kInvalidName,
  kInvalidAddress,
  kDuplicate,
};

std::error_code make_error_code(settings_errc code);

// One fault of a settings file.
struct settings_fault {
  std::error_code code;
  std::string file;
  std::string key;  // As in "entry.table"; empty for the whole file.
  std::string reason;

  // Formats the fault as "file: key: reason".
  std::string ToString() const;
};

struct log_settings {
  std::string level = "info";  // trace, debug, info, warn, error, off
  std::string file;            // Empty for standard output.
};

struct peer {
  std::string id;
  std::string http;
};

// Table [entry] of a file with role = "entry".
struct entry_settings {
  std::string id;
  std::string failure_domain;
  std::string http;    // Listen address for callers and operators.
  std::string agents;  // Listen address for agents.
  std::string table;   // Address of the platform's table service.
  std::vector<peer> peers;
  std::string routing = "credits";   // credits, round-robin, least-outstanding
  std::string ordering = "classes";  // classes, fifo
  bool admission = true;
  bool ejection = true;
  double long_share = 0.5;
  double retry_budget = 0.1;
  std::uint64_t random_seed = 0;  // 0 selects a random seed.
  unsigned http_threads = 2;
  std::size_t mailbox_capacity = 65536;
  std::size_t max_queued_tasks = 100000;
  std::size_t max_job_records = 100000;
  seconds retention{120};
  milliseconds start_by{2000};
  milliseconds drain_grace{2000};
  milliseconds config_poll{1000};
  milliseconds table_timeout{1000};
  // If not empty, the process writes its actual ports to this file as TOML once
  // the sockets listen. Tests that let the system choose free ports need it.
  std::string ports_file;
  log_settings log;
};

// Table [agent] of a file with role = "agent".
struct agent_settings {
  std::string id;
  std::string failure_domain;
  std::string http;  // Loopback listen address for endpoint announcements.
  std::vector<std::string> entries;  // Agent address of each entry.
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint32_t overcommit = 1;
  std::uint32_t credit_floor = 1;
  bool push = false;
  std::size_t mailbox_capacity = 65536;
  std::size_t max_records = 200000;
  seconds retention{120};
  milliseconds heartbeat_interval{250};
  milliseconds reconnect_after{1000};
  milliseconds credit_lease{3000};
  milliseconds announcement_lease{3000};
  milliseconds task_timeout{60000};  // Applies to one call to the endpoint.
  std::string ports_file;
  log_settings log;
};

// Table [job_entry] of a file with role = "job_entry": an entry that does not
// persist its jobs, on a platform where processes discover each other through a
// store.
struct job_entry_settings {
  std::string id;
  std::string failure_domain;
  std::string jobs;       // Listen address for callers.
  std::string readiness;  // Listen address for the load balancer's probes.
  std::string agents;     // Listen address for agents.
  // Address for agents that is written to the store; if empty, `agents` is.
  std::string advertised;
  std::string internal;  // Listen address for metrics and other entries.
  std::string store;     // Address of the platform's store.
  // Addresses of some processes; only their hosts are used.
  std::vector<std::string> seeds;
  std::size_t mailbox_capacity = 65536;
  std::uint32_t connections = 3000;
  std::size_t max_jobs = 4096;
  milliseconds store_timeout{500};
  milliseconds store_watch{2000};  // Maximum time that a store watch waits.
  milliseconds drain_grace{2500};
  milliseconds drain_bound{3000};
  milliseconds drain_end{5300};
  // Limits set by the deployment, which shorten the times above. 0: no limit.
  double resubmit_after_ms = 0;  // Time until callers resubmit a job.
  double stop_grace_s = 0;       // Time from the stop signal to the kill.
  // First guess of the run time factor on a worker without the task's affinity
  // label.
  double far_run_time_factor = 1.5;
  std::string ports_file;
  log_settings log;
  // Of the machine; the smallest one has 120 MB.
  std::size_t memory_mb = 120;
  std::size_t max_fds = 4096;
};

// Table [job_agent] of a file with role = "job_agent", beside one worker.
struct job_agent_settings {
  std::string id;
  std::string failure_domain;
  std::string reports;             // Listen address for the worker.
  std::string internal;            // Listen address for metrics.
  std::string store;               // Address of the platform's store.
  std::vector<std::string> seeds;  // As in job_entry_settings.
  std::uint16_t entry_port = 0;    // Agent port, the same at every entry.
  std::size_t mailbox_capacity = 65536;
  milliseconds store_timeout{500};
  milliseconds entry_silence{600};
  milliseconds lease{500};
  milliseconds renew_interval{30};
  milliseconds drain_bound{5000};
  // Limits set by the deployment, which shorten the times above. 0: no limit.
  double longest_lease_ms = 0;   // Longest lease that a worker grants.
  double resubmit_after_ms = 0;  // Time until callers resubmit a job.
  double stop_grace_s = 0;       // Time from the stop signal to the kill.
  std::string ports_file;
  log_settings log;
  // Of the machine.
  std::size_t memory_mb = 128;
  std::size_t max_fds = 4096;
};

using daemon_settings = std::variant<entry_settings,
                                     agent_settings,
                                     job_entry_settings,
                                     job_agent_settings>;

struct settings_outcome {
  daemon_settings settings;
  std::vector<settings_fault> faults;  // Empty if the settings are valid.
};

// Parse and check the settings of a file or document. Report every fault, not
// only the first. ParseSettings() uses `file` only in the faults.
settings_outcome LoadSettings(std::string_view path);
settings_outcome ParseSettings(std::string_view document,
                               std::string_view file);

}  // namespace egretrack::settings

template <>
struct std::is_error_code_enum<egretrack::settings::settings_errc>
    : std::true_type {};

#endif  // EGRETRACK_SETTINGS_SETTINGS_H_
