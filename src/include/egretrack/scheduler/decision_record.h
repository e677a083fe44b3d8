#ifndef EGRETRACK_SCHEDULER_DECISION_RECORD_H_
#define EGRETRACK_SCHEDULER_DECISION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/event_field.h"

// What the cores decided and from which inputs, for the structured log.
namespace egretrack::scheduler {

enum class decision_kind : std::uint8_t {
  // At an entry.
  kJobAccepted,
  kJobAttached,
  kJobAnswered,
  kJobRefused,
  kJobFailed,
  kJobCancelled,
  kTaskDispatched,
  kTaskReturned,
  kTaskLost,
  kTaskFailed,
  kAgentFound,
  kAgentLost,
  kAgentEjected,
  kAgentReadmitted,
  kConfigurationAdopted,
  kConfigurationIgnored,
  kMembersChanged,
  // At an agent.
  kRunStarted,
  kRunRefused,
  kRunEnded,
  kRunStopped,
  kRunUnanswered,
  kRunStalled,
  kWorkerAppeared,
  kWorkerDraining,
  kWorkerGone,
  kWorkerRestarted,
  kWorkerSilent,
  kWorkerAnswers,  // After it was silent.
  kLeaseLapsed,
  kEntryFound,
  kEntrySilent,
  kFenceRaised,
  kCount,
};

// Stable names for the log, for example "task_dispatched".
std::string_view Name(decision_kind kind);
// True for what explains a request that did not succeed; such records are the
// last to be left out when the log is limited.
bool ExplainsFailure(decision_kind kind);

struct decision_record {
  decision_kind kind = decision_kind::kJobAccepted;
  std::string job;  // Empty: concerns no single job.
  std::vector<event_field> fields;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_DECISION_RECORD_H_
