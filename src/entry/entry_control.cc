#include "entry/entry_control.h"

#include <algorithm>
#include <array>
#include <utility>

#include "egretrack/telemetry/process_usage.h"

namespace egretrack::entry {
namespace {

// The core may return a time so far ahead that the wait until then exceeds the
// range of the clock.
constexpr seconds kMaxWait{60};

using counter_member = std::uint64_t decision::entry_counters::*;

struct counter_name {
  std::string_view name;
  counter_member member;
};

constexpr std::array kCounters = {
    counter_name{"egretrack_jobs_submitted_total",
                 &decision::entry_counters::jobs_submitted},
    counter_name{"egretrack_jobs_resubmitted_total",
                 &decision::entry_counters::jobs_resubmitted},
    counter_name{"egretrack_dispatches_total",
                 &decision::entry_counters::dispatches},
    counter_name{"egretrack_reports_total", &decision::entry_counters::reports},
    counter_name{"egretrack_redispatches_total",
                 &decision::entry_counters::redispatches},
    counter_name{"egretrack_late_reports_total",
                 &decision::entry_counters::late_reports},
    counter_name{"egretrack_stale_frames_total",
                 &decision::entry_counters::stale_frames},
    counter_name{"egretrack_queries_total", &decision::entry_counters::queries},
    counter_name{"egretrack_credit_messages_total",
                 &decision::entry_counters::credit_messages},
    counter_name{"egretrack_retries_total", &decision::entry_counters::retries},
    counter_name{"egretrack_ejections_total",
                 &decision::entry_counters::ejections},
};

std::string MakeEndLabels(const decision::job_ended& ended) {
  std::string labels = "outcome=\"";
  labels += decision::Name(ended.outcome);
  labels += "\",error=\"";
  labels += decision::Name(static_cast<decision::job_errc>(ended.code.value()));
  return labels + "\"";
}

}  // namespace

entry_control::entry_control(std::unique_ptr<decision::entry_core> core,
                             std::function<std::uint64_t()> malformed_frames,
                             std::atomic<bool>& ready,
                             on_output callback)
    : core_(std::move(core)),
      metrics_(telemetry::metrics::Create()),
      burn_(telemetry::burn_meter::Create()),
      malformed_frames_(std::move(malformed_frames)),
      ready_(ready),
      on_output_(std::move(callback)) {}

monotonic_time entry_control::HandleBatch(std::span<control_event> batch,
                                          monotonic_time now) {
  for (control_event& event : batch)
    std::visit([this, now](auto& alternative) { On(alternative, now); }, event);
  const monotonic_time next_call =
      core_->Advance(now, WallNow(), pending_.commands);
  ready_ = core_->ready();
  ExtractEndedJobs(now);
  if (!pending_.commands.empty() || !pending_.reports.empty())
    on_output_(std::exchange(pending_, {}));
  return std::min<monotonic_time>(next_call, now + kMaxWait);
}

void entry_control::On(decision::entry_event& event, monotonic_time now) {
  SetObjectives(event);
  core_->Handle(std::move(event), now, WallNow(), pending_.commands);
}

void entry_control::On(report_request& event, monotonic_time now) {
  struct report {
    std::string_view content_type;
    std::string (entry_control::*make)(monotonic_time now);
  };
  // In the order of report_kind.
  static constexpr std::array kReports = {
      report{"text/plain; version=0.0.4", &entry_control::MakeMetrics},
      report{"application/json", &entry_control::MakeBurnJson},
      report{"text/plain; charset=utf-8", &entry_control::MakeBurnText},
      report{"image/svg+xml", &entry_control::MakeBurnSvg},
  };
  const report& requested = kReports[static_cast<std::size_t>(event.kind)];
  pending_.reports.push_back({event.caller, std::string(requested.content_type),
                              (this->*requested.make)(now)});
}

void entry_control::SetObjectives(const decision::entry_event& event) {
  const auto* const received =
      std::get_if<decision::configuration_received>(&event);
  if (received == nullptr)
    return;
  for (const objects::desk& desk : received->configuration->objects.desks)
    burn_->SetObjective(desk.name, desk.objective);
}

// Records the ended jobs and removes them from the output, because only the
// telemetry uses them.
void entry_control::ExtractEndedJobs(monotonic_time now) {
  std::erase_if(pending_.commands, [this, now](const auto& command) {
    const auto* const ended = std::get_if<decision::job_ended>(&command);
    if (ended != nullptr)
      RecordEndedJob(*ended, now);
    return ended != nullptr;
  });
}

void entry_control::RecordEndedJob(const decision::job_ended& ended,
                                   monotonic_time now) {
  ++ended_job_counts_[MakeEndLabels(ended)];
  // A job that was refused for an unknown kind has no desk. The objective of a
  // desk excludes jobs that failed by a fault of their caller or were
  // cancelled.
  if (!ended.desk.empty() && !decision::IsCallerFault(ended.code))
    burn_->Record(ended.desk, ended.on_time, now);
  if (ended.outcome != decision::job_outcome::kAnswered)
    return;
  const std::chrono::duration<double> response_time = ended.response;
  metrics_->Observe("egretrack_response_seconds", "kind=\"" + ended.kind + "\"",
                    response_time.count());
}

std::string entry_control::MakeMetrics(monotonic_time /*now*/) {
  const decision::entry_counters& counters = core_->counters();
  for (const counter_name& counter : kCounters)
    metrics_->SetCounter(counter.name, "", counters.*counter.member);
  metrics_->SetCounter("egretrack_malformed_frames_total", "",
                       malformed_frames_());
  for (const auto& [labels, count] : ended_job_counts_)
    metrics_->SetCounter("egretrack_jobs_ended_total", labels, count);
  metrics_->SetGauge("egretrack_ready", "", core_->ready() ? 1 : 0);
  telemetry::SetProcessUsage(*metrics_);
  return metrics_->ToText();
}

std::string entry_control::MakeBurnJson(monotonic_time now) {
  return telemetry::ToJson(burn_->Report(now));
}

std::string entry_control::MakeBurnText(monotonic_time now) {
  return telemetry::ToText(burn_->Report(now));
}

std::string entry_control::MakeBurnSvg(monotonic_time now) {
  return telemetry::ToSvg(burn_->Report(now));
}

}  // namespace egretrack::entry
