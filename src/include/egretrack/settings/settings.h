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

// What one process is told at its start, from a TOML file. Addresses are
// "ip:port" texts, checked for their form here.
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

// One fault: where it is, and why.
struct settings_fault {
  std::error_code code;
  std::string file;
  std::string key;  // "entry.table"
  std::string reason;

  std::string ToString() const;  // "file: key: reason"
};

struct log_settings {
  std::string level = "info";  // trace, debug, info, warn, error, off
  std::string file;            // Empty: standard output.
};

struct peer {
  std::string id;
  std::string http;
};

// Table [entry] of a file with role = "entry".
struct entry_settings {
  std::string id;
  std::string failure_domain;
  std::string http;    // Listens here for callers and operators.
  std::string agents;  // Listens here for agents.
  std::string table;   // The platform's table service.
  std::vector<peer> peers;
  std::string routing = "credits";   // credits, round-robin, least-outstanding
  std::string ordering = "classes";  // classes, fifo
  bool admission = true;
  bool ejection = true;
  double long_share = 0.5;
  double retry_budget = 0.1;
  std::uint64_t random_seed = 0;  // 0: random.
  unsigned http_threads = 2;
  std::size_t mailbox_capacity = 65536;
  std::size_t max_queued_tasks = 100000;
  std::size_t max_job_records = 100000;
  seconds retention{120};
  milliseconds start_by{2000};
  milliseconds drain_grace{2000};
  milliseconds config_poll{1000};
  milliseconds table_timeout{1000};
  // When not empty, the ports in use are written here as TOML once the
  // sockets listen; lets tests ask the system for free ports.
  std::string ports_file;
  log_settings log;
};

// Table [agent] of a file with role = "agent".
struct agent_settings {
  std::string id;
  std::string failure_domain;
  std::string http;  // Loopback; for the endpoint's announcements.
  std::vector<std::string> entries;  // Addresses for agents, one per entry.
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
  milliseconds task_timeout{60000};  // Of one call to the endpoint.
  std::string ports_file;
  log_settings log;
};

// Table [job_entry] of a file with role = "job_entry": an entry for jobs that
// are not kept, on a platform that finds processes through its store.
struct job_entry_settings {
  std::string id;
  std::string failure_domain;
  std::string jobs;       // Listens here for callers.
  std::string readiness;  // Listens here for the balancer's looks.
  std::string agents;     // Listens here for agents.
  // Written to the store as the address for agents. Empty: `agents`.
  std::string advertised;
  std::string internal;  // Listens here for metrics and other entries.
  std::string store;
  // Addresses of some processes, of which only the hosts are used.
  std::vector<std::string> seeds;
  std::size_t mailbox_capacity = 65536;
  std::uint32_t connections = 3000;
  std::size_t max_jobs = 4096;
  milliseconds store_timeout{500};
  milliseconds store_watch{2000};  // How long the store holds a watch.
  milliseconds drain_grace{2500};
  milliseconds drain_bound{3000};
  milliseconds drain_end{5300};
  // Demands of the deployment, which shorten the limits above. 0: none.
  double resubmit_after_ms = 0;  // Callers send a job again after this time.
  double stop_grace_s = 0;       // From the signal to stop until the kill.
  std::string ports_file;
  log_settings log;
};

// Table [job_agent] of a file with role = "job_agent", beside one worker.
struct job_agent_settings {
  std::string id;
  std::string failure_domain;
  std::string reports;   // Listens here for the worker.
  std::string internal;  // Listens here for metrics.
  std::string store;
  std::vector<std::string> seeds;  // As for an entry.
  std::uint16_t entry_port = 0;    // On which every entry listens for agents.
  std::size_t mailbox_capacity = 65536;
  milliseconds store_timeout{500};
  milliseconds entry_silence{600};
  milliseconds lease{700};
  milliseconds renew_interval{30};
  milliseconds drain_bound{5000};
  // Demands of the deployment, which shorten the limits above. 0: none.
  double longest_lease_ms = 0;  // That a worker grants.
  double resubmit_after_ms = 0;
  double stop_grace_s = 0;
  std::string ports_file;
  log_settings log;
};

using daemon_settings = std::variant<entry_settings,
                                     agent_settings,
                                     job_entry_settings,
                                     job_agent_settings>;

struct settings_outcome {
  daemon_settings settings;
  std::vector<settings_fault> faults;  // Empty exactly when valid.
};

// Reads and checks a whole file; reports every fault, not only the first.
settings_outcome LoadSettings(std::string_view path);
settings_outcome ParseSettings(std::string_view document,
                               std::string_view file);

}  // namespace egretrack::settings

template <>
struct std::is_error_code_enum<egretrack::settings::settings_errc>
    : std::true_type {};

#endif  // EGRETRACK_SETTINGS_SETTINGS_H_
