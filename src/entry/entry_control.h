#ifndef EGRETRACK_ENTRY_ENTRY_CONTROL_H_
#define EGRETRACK_ENTRY_ENTRY_CONTROL_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/decision/entry_core.h"
#include "egretrack/telemetry/burn.h"
#include "egretrack/telemetry/metrics.h"
#include "entry/control_event.h"

namespace egretrack::entry {

// A finished report for the caller that requested it.
struct report_reply {
  decision::caller_token caller{};
  std::string content_type;
  std::string body;
};

// Output of one batch of events, to be sent by traffic threads.
struct control_output {
  std::vector<decision::entry_command> commands;
  std::vector<report_reply> reports;
};

// Handles events on the control thread: passes them to the decision core,
// updates the metrics and the burn of the desks, and makes reports. All
// functions except the constructor run on the control thread.
class entry_control {
 public:
  using on_output = std::function<void(control_output)>;

  // Updates `ready` after each batch. `malformed_frames` returns the number of
  // malformed frames for the metrics.
  entry_control(std::unique_ptr<decision::entry_core> core,
                std::function<std::uint64_t()> malformed_frames,
                std::atomic<bool>& ready,
                on_output callback);

  // Handles one batch of the control loop; returns the latest time of the next
  // call.
  monotonic_time HandleBatch(std::span<control_event> batch,
                             monotonic_time now);

 private:
  void On(decision::entry_event& event, monotonic_time now);
  void On(report_request& event, monotonic_time now);
  void SetObjectives(const decision::entry_event& event);
  void ExtractEndedJobs(monotonic_time now);
  void RecordEndedJob(const decision::job_ended& ended, monotonic_time now);
  std::string MakeMetrics(monotonic_time now);
  std::string MakeBurnJson(monotonic_time now);
  std::string MakeBurnText(monotonic_time now);
  std::string MakeBurnSvg(monotonic_time now);

  const std::unique_ptr<decision::entry_core> core_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  const std::unique_ptr<telemetry::burn_meter> burn_;
  const std::function<std::uint64_t()> malformed_frames_;
  std::atomic<bool>& ready_;
  const on_output on_output_;
  control_output pending_;
  std::map<std::string, std::uint64_t> ended_job_counts_;  // By labels.
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ENTRY_CONTROL_H_
