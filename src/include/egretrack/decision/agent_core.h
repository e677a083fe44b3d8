#ifndef EGRETRACK_DECISION_AGENT_CORE_H_
#define EGRETRACK_DECISION_AGENT_CORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/objects/configuration.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Index of an entry in the agent's settings. The agent has one link to each
// entry.
using entry_index = std::uint32_t;

// ---- Events ---------------------------------------------------------------

struct entry_frame_received {
  entry_index entry = 0;
  wire::entry_frame frame;
};

// The endpoint registered itself or renewed its registration.
struct endpoint_announced {
  std::string endpoint;  // Name of the endpoint object.
  std::string address;
  std::uint16_t port = 0;
};
struct endpoint_withdrawn {};

// The call that start_task requested has ended.
struct task_ended {
  job_id job;
  task_index task = 0;
  wire::task_state state = wire::task_state::kCut;
  wire::task_reason reason = wire::task_reason::kNone;
  std::string result;
};

struct agent_drain {};
struct agent_status_request {
  std::uint64_t token = 0;
};

using agent_event = std::variant<entry_frame_received,
                                 endpoint_announced,
                                 endpoint_withdrawn,
                                 task_ended,
                                 agent_drain,
                                 agent_status_request>;

// ---- Commands -------------------------------------------------------------

struct send_to_entry {
  entry_index entry = 0;
  connection_number connection{};
  wire::agent_message message;
};

// Closes the current connection to an entry, if any, and opens a new one.
struct open_connection {
  entry_index entry = 0;
  connection_number connection{};
};

// Calls the endpoint. The task is already recorded as started.
struct start_task {
  job_id job;
  task_index task = 0;
  std::string kind;
  std::string payload;
  std::string address;
  std::uint16_t port = 0;
  // Time on the agent's clock from which the call must not be made any more;
  // the task then ends as refused with kStartByPassed.
  monotonic_time start_before{};
};

struct agent_report {
  std::string agent;
  incarnation agent_incarnation{};
  std::string endpoint;
  std::uint64_t config_version = 0;
  std::uint32_t slots = 0;
  std::uint32_t slots_in_use = 0;
  std::uint32_t tasks_held = 0;  // Accepted and waiting for a slot.
  std::uint32_t credits_granted = 0;
  std::size_t records = 0;
  bool draining = false;
};
struct deliver_agent_report {
  std::uint64_t token = 0;
  agent_report report;
};

// The draining agent has reported its last task; its process may exit.
struct agent_drain_finished {};

using agent_command = std::variant<send_to_entry,
                                   open_connection,
                                   start_task,
                                   deliver_agent_report,
                                   agent_drain_finished>;

// ---- The core -------------------------------------------------------------

struct agent_options {
  std::string agent;  // This agent's id.
  incarnation agent_incarnation{};
  std::string failure_domain;
  std::uint32_t entries = 1;  // Number of entries in the settings.
  std::uint32_t slots = 8;
  std::uint32_t overcommit = 1;    // Maximum of held tasks beyond the slots.
  std::uint32_t credit_floor = 1;  // Credits granted to every reachable entry.
  bool push = false;  // For baselines: accepts dispatches without credits.
  seconds retention{120};
  std::size_t max_records = 200000;
  milliseconds heartbeat_interval{250};
  // Time without a reply after which the agent reconnects to an entry.
  milliseconds reconnect_after{1000};
  // Time without a reply after which the credits of an entry become void.
  milliseconds credit_lease{3000};
  milliseconds announcement_lease{3000};
  double clock_drift = 0.001;  // Maximum relative rate error between clocks.
};

struct agent_counters {
  std::uint64_t dispatches = 0;
  std::uint64_t duplicates = 0;  // Dispatches answered from an existing record.
  std::uint64_t starts = 0;
  std::uint64_t refusals = 0;
  std::uint64_t unrecorded = 0;    // Refusals not sent for lack of a record.
  std::uint64_t stale_frames = 0;  // Dropped frames of an older connection.
  std::uint64_t reconnects = 0;
  std::uint64_t credit_messages = 0;
};

// Decides whether tasks start on one worker. The control thread owns the core,
// which performs no I/O, reads no clock and starts no thread.
class agent_core {
 public:
  // Returns errc::kInvalidArgument when an option is out of range.
  static result<std::unique_ptr<agent_core>> Create(agent_options options);
  virtual ~agent_core() = default;

  virtual void Handle(agent_event event,
                      monotonic_time now,
                      std::vector<agent_command>& commands) = 0;

  // Runs the timers that are due at `now` and returns the time of the next one.
  virtual monotonic_time Advance(monotonic_time now,
                                 std::vector<agent_command>& commands) = 0;

  virtual const agent_counters& counters() const = 0;
  virtual bool ready() const = 0;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_CORE_H_
