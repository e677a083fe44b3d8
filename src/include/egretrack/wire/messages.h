#ifndef EGRETRACK_WIRE_MESSAGES_H_
#define EGRETRACK_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"

// Messages between entries and agents, as plain values. The codec is in
// codec.h; nothing here depends on the encoding.
namespace egretrack::wire {

// Limits that decoding enforces.
inline constexpr std::uint32_t kMaxTaskCount = 1200;  // Tasks per job.
inline constexpr std::uint32_t kMaxSlots = 65536;

// State of a task as recorded by an agent.
enum class task_state : std::uint8_t {
  kRefused = 1,   // The agent has not started the task and never will.
  kStarted = 2,   // Sent to the endpoint; no answer so far.
  kFinished = 3,  // The endpoint returned a result.
  kFailed = 4,    // The endpoint returned a failure.
  kCut = 5,       // The endpoint connection broke; the task may have run.
};

// Reason why a task was refused or failed.
enum class task_reason : std::uint8_t {
  kNone = 0,
  kNoSlot,
  kStartByPassed,
  kNoEndpoint,
  kDraining,
  kCancelled,
  kFenced,
  kRecordsFull,
  kEndpointRefused,
  kEndpointFailed,
  kEndpointCut,
};

// ---- Agent to entry -------------------------------------------------------

// First message of a connection. `endpoint` is empty while no endpoint is
// announced to the agent.
struct hello {
  std::string agent;
  incarnation agent_incarnation{};
  std::string endpoint;
  std::string failure_domain;
  std::uint32_t slots = 0;
  std::uint64_t config_version = 0;
  bool draining = false;

  bool operator==(const hello&) const = default;
};

struct heartbeat {
  std::uint64_t sequence = 0;
  std::string endpoint;  // As in hello; a change takes effect at once.
  std::uint32_t slots = 0;
  std::uint32_t slots_in_use = 0;
  std::uint64_t config_version = 0;
  std::uint64_t granted_total = 0;
  bool draining = false;

  bool operator==(const heartbeat&) const = default;
};

// Total of the credits granted since the connection was opened.
struct grant {
  std::uint64_t granted_total = 0;

  bool operator==(const grant&) const = default;
};

// Asks the entry to release up to `count` unused credits.
struct recall {
  std::uint32_t count = 0;

  bool operator==(const recall&) const = default;
};

// Sent when a dispatched task ended or was refused, and in answer to
// task_query.
struct task_report {
  job_id job;
  task_index task = 0;
  dispatch_number dispatch{};
  task_state state = task_state::kRefused;
  task_reason reason = task_reason::kNone;
  // From sending the task to the endpoint until the endpoint's answer.
  microseconds run_time{0};
  // From the arrival of the dispatch until sending the task to the endpoint.
  microseconds wait_time{0};
  std::uint64_t granted_total = 0;
  std::string result;

  bool operator==(const task_report&) const = default;
};

struct task_record {
  task_index task = 0;
  std::uint32_t task_count = 0;
  task_state state = task_state::kRefused;
  task_reason reason = task_reason::kNone;
  std::string result;

  bool operator==(const task_record&) const = default;
};

// Answer to job_lookup with all records of one job; may be empty.
struct job_records {
  std::uint64_t lookup = 0;
  job_id job;
  std::vector<task_record> records;

  bool operator==(const job_records&) const = default;
};

// Sent in answer to a heartbeat_reply with a lower configuration version or
// none, so that an entry that starts while the table service is down gets a
// configuration.
struct config_offer {
  std::uint64_t version = 0;
  std::string document;

  bool operator==(const config_offer&) const = default;
};

using agent_message = std::variant<hello,
                                   heartbeat,
                                   grant,
                                   recall,
                                   task_report,
                                   job_records,
                                   config_offer>;

// ---- Entry to agent -------------------------------------------------------

struct heartbeat_reply {
  std::string entry;
  incarnation entry_incarnation{};
  std::uint64_t sequence = 0;   // Of the heartbeat that is answered.
  monotonic_time entry_time{};  // The entry's monotonic clock.
  std::uint64_t config_version = 0;
  std::string config_document;     // Only when the agent's version is lower.
  std::uint32_t queue_length = 0;  // This agent's share of the queued tasks.

  bool operator==(const heartbeat_reply&) const = default;
};

struct release {
  std::uint64_t released_total = 0;  // Since the connection was opened.

  bool operator==(const release&) const = default;
};

struct dispatch {
  job_id job;
  task_index task = 0;
  std::uint32_t task_count = 0;
  dispatch_number number{};
  std::string kind;
  monotonic_time start_by{};       // On the home entry's monotonic clock.
  std::uint32_t queue_length = 0;  // This agent's share of the queued tasks.
  std::string payload;

  bool operator==(const dispatch&) const = default;
};

// Asks for the state of a task. An agent without a record of the task refuses
// it permanently.
struct task_query {
  job_id job;
  task_index task = 0;
  std::uint32_t task_count = 0;
  dispatch_number dispatch{};

  bool operator==(const task_query&) const = default;
};

// Refuses all tasks of a job that have not started.
struct job_cancel {
  job_id job;

  bool operator==(const job_cancel&) const = default;
};

// Asks for records only; starts and refuses nothing.
struct job_lookup {
  std::uint64_t lookup = 0;
  job_id job;

  bool operator==(const job_lookup&) const = default;
};

struct drain_request {
  bool operator==(const drain_request&) const = default;
};

using entry_message = std::variant<heartbeat_reply,
                                   release,
                                   dispatch,
                                   task_query,
                                   job_cancel,
                                   job_lookup,
                                   drain_request>;

// Messages that are sent together in one frame of one connection.
struct agent_frame {
  connection_number connection{};
  std::vector<agent_message> messages;

  bool operator==(const agent_frame&) const = default;
};
struct entry_frame {
  connection_number connection{};
  std::vector<entry_message> messages;

  bool operator==(const entry_frame&) const = default;
};

}  // namespace egretrack::wire

#endif  // EGRETRACK_WIRE_MESSAGES_H_
