#ifndef EGRETRACK_SCHEDULER_DECISION_RECORD_H_
#define EGRETRACK_SCHEDULER_DECISION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/event_field.h"

// Records of the decisions of the cores and their inputs, for the event log.
namespace egretrack::scheduler {

enum class decision_kind : std::uint8_t {
  // At an entry.
  kJobAccepted,
  kJobAttached,
  kJobAnswered,
  kJobRefused,
  kJobFailed,
  kJobCancelled,
  kCallerChecked,             // Before a dispatch; the answer is not known yet.
  kSubmissionDelayed,         // It may have been under way for long.
  kDelayedSubmissionDropped,  // Its caller had left.
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
  kWorkerDeregistered,
  kWorkerGone,
  kWorkerRestarted,
  kOtherWorkerReported,   // Not adopted while the current worker answers.
  kOtherWorkerDismissed,  // The current worker has answered.
  kWorkerSilent,
  kWorkerAnswers,  // A silent worker responds again.
  kLeaseLapsed,
  kEntryFound,
  kEntrySilent,
  kEntryRestarted,
  kFenceRaised,
  // At both.
  kEvacuationChanged,
  kEvacuationOfUnknownDomain,  // At an entry: no agent has the domain.
  kEvacuationsLeftOut,         // More domains than kMaxEvacuationDomains.
  kCount,
};

// Name in the event log, for example "task_dispatched".
std::string_view Name(decision_kind kind);
// True for records that explain why a request did not succeed; the log's rate
// limit drops them last.
bool ExplainsFailure(decision_kind kind);

struct decision_record {
  decision_kind kind = decision_kind::kJobAccepted;
  std::string job;  // Job key; empty if the record is not about one job.
  std::vector<event_field> fields;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_DECISION_RECORD_H_
