#include "egretrack/scheduler/decision_record.h"

#include <array>
#include <cstddef>

namespace egretrack::scheduler {
namespace {

struct kind_info {
  std::string_view name;
  bool explains_failure = false;
};

// Indexed by decision_kind.
constexpr std::array<kind_info, static_cast<std::size_t>(decision_kind::kCount)>
    kKindInfos{{{"job_accepted", false},
                {"job_attached", false},
                {"job_answered", false},
                {"job_refused", true},
                {"job_failed", true},
                {"job_cancelled", true},
                {"caller_checked", false},
                {"submission_delayed", false},
                {"delayed_submission_dropped", true},
                {"task_dispatched", false},
                {"task_returned", true},
                {"task_lost", true},
                {"task_failed", true},
                {"agent_found", false},
                {"agent_lost", true},
                {"agent_ejected", true},
                {"agent_readmitted", false},
                {"configuration_adopted", false},
                {"configuration_ignored", false},
                {"members_changed", false},
                {"run_started", false},
                {"run_refused", true},
                {"run_ended", false},
                {"run_stopped", true},
                {"run_unanswered", true},
                {"run_stalled", true},
                {"worker_appeared", false},
                {"worker_draining", false},
                {"worker_deregistered", true},
                {"worker_gone", true},
                {"worker_restarted", true},
                {"other_worker_reported", true},
                {"other_worker_dismissed", false},
                {"worker_silent", true},
                {"worker_answers", false},
                {"lease_lapsed", true},
                {"entry_found", false},
                {"entry_silent", true},
                {"entry_restarted", true},
                {"fence_raised", false},
                {"evacuation_changed", true},
                {"evacuation_of_unknown_domain", true},
                {"evacuations_left_out", true}}};

}  // namespace

std::string_view Name(decision_kind kind) {
  return kKindInfos[static_cast<std::size_t>(kind)].name;
}

bool ExplainsFailure(decision_kind kind) {
  return kKindInfos[static_cast<std::size_t>(kind)].explains_failure;
}

}  // namespace egretrack::scheduler
