#include "job_agent/job_agent_control.h"

#include <algorithm>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/telemetry/process_usage.h"
#include "egretrack/wire/run_codec.h"
#include "platform/entry_rows.h"
#include "platform/worker_api.h"

namespace egretrack::job_agent {
namespace {

constexpr unsigned kOk = 200;
constexpr milliseconds kEntriesRetryDelay{300};
// Used while no entry responds, as all entries may have new addresses.
constexpr milliseconds kEntriesRefreshInterval{2000};

}  // namespace

job_agent_control::job_agent_control(
    std::unique_ptr<scheduler::run_supervisor> core,
    control_dependencies dependencies)
    : core_(std::move(core)),
      dependencies_(std::move(dependencies)),
      metrics_(telemetry::metrics::Create()),
      log_("agent.jobs", {}) {}

monotonic_time job_agent_control::OnBatch(std::span<control_event> batch,
                                          monotonic_time now) {
  using events = event_table<
      control_event, &job_agent_control::OnSupervisorEvent,
      &job_agent_control::OnEntriesLoaded, &job_agent_control::OnWorkerLoaded,
      &job_agent_control::OnWorkerStored, &job_agent_control::OnSeedsChanged,
      &job_agent_control::OnMetricsRequest>;
  for (control_event& event : batch)
    events::Call(*this, event, now);
  const monotonic_time wakeup = core_->Advance(now, commands_);
  PerformCommands(now);
  ReportLimits(now);
  log_.ReportSuppressed(now);
  ReadWorker();
  return std::min(wakeup, ReadEntries(now));
}

// ---- Events ---------------------------------------------------------------

void job_agent_control::OnSupervisorEvent(scheduler::supervisor_event& event,
                                          monotonic_time& now) {
  core_->Handle(std::move(event), now, commands_);
}

void job_agent_control::OnSeedsChanged(seeds_changed& event,
                                       monotonic_time& now) {
  LogEvent("settings_reloaded", false,
           {{"seeds", static_cast<std::int64_t>(event.members.size())}}, now);
  core_->Handle(scheduler::entries_discovered{std::move(event.members)}, now,
                commands_);
}

void job_agent_control::OnEntriesLoaded(entries_loaded& event,
                                        monotonic_time& now) {
  entries_read_in_flight_ = false;
  if (!event.page) {
    next_entries_read_ = now + kEntriesRetryDelay;
    if (!std::exchange(store_unreachable_, true)) {
      LogEvent("store_lost", true, {{"reason", event.page.error().ToString()}},
               now);
    }
    return;
  }
  if (std::exchange(store_unreachable_, false))
    LogEvent("store_regained", false, {}, now);
  entries_loaded_ = true;
  next_entries_read_ = now + kEntriesRefreshInterval;
  scheduler::entries_discovered found;
  for (const platform::store_row& row : event.page->rows) {
    if (auto member = platform::DecodeEntryRow(row))
      found.members.push_back(std::move(*member));
    else
      event.page->invalid_rows.push_back({row.key, member.error().ToString()});
  }
  for (const platform::invalid_row& row : event.page->invalid_rows) {
    LogEvent("store_row_invalid", true,
             platform::EventFields(platform::kEntriesTable, row), now);
  }
  core_->Handle(std::move(found), now, commands_);
}

void job_agent_control::ReadWorker() {
  if (std::exchange(worker_read_started_, true))
    return;
  dependencies_.store.ReadFirst(
      platform::kWorkersTable, dependencies_.agent,
      [&events = dependencies_.events](result<platform::store_page> page) {
        events.PushRequired(worker_loaded{std::move(page)});
      });
}

void job_agent_control::OnWorkerLoaded(worker_loaded& event,
                                       monotonic_time& now) {
  if (!event.page) {
    LogEvent("worker_not_recalled", true,
             {{"reason", event.page.error().ToString()}}, now);
    return;
  }
  for (const platform::store_row& row : event.page->rows) {
    if (row.key != dependencies_.agent)
      continue;
    auto worker = platform::DecodeStoredWorker(row.value);
    if (!worker) {
      LogEvent("worker_not_recalled", true,
               {{"reason", worker.error().ToString()}}, now);
      return;
    }
    LogEvent("worker_recalled", false, {{"worker", worker->id}}, now);
    core_->Handle(scheduler::worker_restored{std::move(*worker)}, now,
                  commands_);
  }
}

// If the worker is not stored, the next incarnation has to wait for a report.
void job_agent_control::OnWorkerStored(worker_stored& event,
                                       monotonic_time& now) {
  if (!event.version) {
    LogEvent("worker_not_kept", true,
             {{"reason", event.version.error().ToString()}}, now);
  }
}

monotonic_time job_agent_control::ReadEntries(monotonic_time now) {
  const bool wanted = !entries_loaded_ || core_->gauges().entries == 0;
  if (!wanted || entries_read_in_flight_)
    return monotonic_time::max();
  if (now < next_entries_read_)
    return next_entries_read_;
  entries_read_in_flight_ = true;
  dependencies_.store.Read(
      platform::kEntriesTable, "",
      [&events = dependencies_.events](result<platform::store_page> page) {
        events.PushRequired(entries_loaded{std::move(page)});
      });
  return monotonic_time::max();
}

void job_agent_control::OnMetricsRequest(metrics_request& event,
                                         monotonic_time& /*now*/) {
  const scheduler::supervisor_counters& counters = core_->counters();
  const auto count = [this](std::string_view name, std::uint64_t value) {
    metrics_->SetCounter(name, "", value);
  };
  count("egretrack_run_dispatches_total", counters.dispatches);
  count("egretrack_run_starts_total", counters.starts);
  count("egretrack_run_ends_total", counters.ends);
  count("egretrack_run_refusals_total", counters.refusals);
  count("egretrack_run_evacuation_refusals_total",
        counters.evacuation_refusals);
  count("egretrack_run_stops_total", counters.stops);
  count("egretrack_run_losses_total", counters.losses);
  count("egretrack_run_unanswered_total", counters.unanswered);
  count("egretrack_run_stalls_total", counters.stalls);
  count("egretrack_entry_reconnects_total", counters.reconnects);
  count("egretrack_stale_frames_total", counters.stale_frames);
  count("egretrack_malformed_frames_total",
        dependencies_.traffic.malformed_frames);
  count("egretrack_bad_reports_total", dependencies_.traffic.bad_reports);
  AddLimitMetrics();
  count("egretrack_log_lines_left_out_total", log_.suppressed());
  const scheduler::supervisor_gauges gauges = core_->gauges();
  const auto gauge = [this](std::string_view name, double value) {
    metrics_->SetGauge(name, "", value);
  };
  gauge("egretrack_runs", static_cast<double>(gauges.running));
  gauge("egretrack_runs_queued", static_cast<double>(gauges.queued));
  gauge("egretrack_entries", static_cast<double>(gauges.entries));
  gauge("egretrack_free_cpu_millicores",
        static_cast<double>(gauges.free.cpu_milli));
  gauge("egretrack_evacuated_domains",
        static_cast<double>(gauges.evacuated_domains));
  gauge("egretrack_has_worker", gauges.has_worker ? 1 : 0);
  gauge("egretrack_worker_call_limit_seconds",
        std::chrono::duration<double>(gauges.call_limit).count());
  telemetry::SetProcessUsage(*metrics_);
  event.exchange->Respond({kOk,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           metrics_->ToText()});
}

// ---- Commands -------------------------------------------------------------

void job_agent_control::PerformCommands(monotonic_time now) {
  using table = event_table<
      scheduler::supervisor_command, &job_agent_control::OpenLink,
      &job_agent_control::CloseLink, &job_agent_control::SendToEntry,
      &job_agent_control::StartRun, &job_agent_control::StopRun,
      &job_agent_control::PollWorker, &job_agent_control::StoreWorker,
      &job_agent_control::LogDecision, &job_agent_control::FinishDrain,
      &job_agent_control::ObserveCall>;
  for (scheduler::supervisor_command& command : commands_)
    table::Call(*this, command, now);
  commands_.clear();
}

void job_agent_control::OpenLink(scheduler::open_link& command,
                                 monotonic_time& now) {
  const auto address = net::tcp_address::Parse(command.address);
  if (!address) {
    LogEvent(
        "entry_address_invalid", true,
        {{"address", command.address}, {"reason", address.error().ToString()}},
        now);
    return;
  }
  dependencies_.entries.Connect(command.entry, *address);
}

void job_agent_control::CloseLink(scheduler::close_link& command,
                                  monotonic_time& /*now*/) {
  dependencies_.entries.Close(command.entry);
}

void job_agent_control::SendToEntry(scheduler::send_to_entry& command,
                                    monotonic_time& /*now*/) {
  dependencies_.entries.Send(command.entry, wire::EncodeFrame(command.frame));
}

void job_agent_control::StartRun(scheduler::start_run& command,
                                 monotonic_time& /*now*/) {
  dependencies_.worker.Start(command);
}

void job_agent_control::StopRun(scheduler::stop_run& command,
                                monotonic_time& /*now*/) {
  dependencies_.worker.Stop(command);
}

void job_agent_control::PollWorker(scheduler::poll_worker& command,
                                   monotonic_time& /*now*/) {
  dependencies_.worker.Poll(command);
}

void job_agent_control::StoreWorker(scheduler::store_worker& command,
                                    monotonic_time& /*now*/) {
  dependencies_.store.Write(
      {std::string(platform::kWorkersTable), dependencies_.agent,
       platform::EncodeStoredWorker(command.report), std::nullopt},
      [&events = dependencies_.events](result<std::uint64_t> version) {
        events.PushRequired(worker_stored{std::move(version)});
      });
}

void job_agent_control::LogDecision(scheduler::decision_record& command,
                                    monotonic_time& now) {
  log_.Write(scheduler::Name(command.kind),
             scheduler::ExplainsFailure(command.kind), command.job,
             command.fields, now);
}

void job_agent_control::FinishDrain(
    scheduler::agent_drain_finished& /*command*/,
    monotonic_time& now) {
  LogEvent("drain_finished", false, {}, now);
  dependencies_.on_drained();
}

void job_agent_control::ObserveCall(scheduler::worker_call_measured& command,
                                    monotonic_time& /*now*/) {
  metrics_->ObserveDuration("egretrack_worker_call_seconds",
                            "call=\"" + std::string(command.call) + "\"",
                            command.time);
}

void job_agent_control::LogEvent(std::string_view event,
                                 bool explains_failure,
                                 std::vector<event_field> fields,
                                 monotonic_time now) {
  log_.Write(event, explains_failure, "", fields, now);
}

void job_agent_control::AddLimitMetrics() {
  const net::traffic_guard& guard = dependencies_.guard;
  for (std::size_t index = 0; index < net::kTrafficLimitCount; ++index) {
    const auto limit = static_cast<net::traffic_limit>(index);
    metrics_->SetCounter("egretrack_limit_exceeded_total",
                         "limit=\"" + std::string(net::Name(limit)) + "\"",
                         guard.count(limit));
  }
  metrics_->SetGauge("egretrack_connections", "",
                     static_cast<double>(guard.connections()));
  metrics_->SetGauge("egretrack_connection_bytes", "",
                     static_cast<double>(guard.held_bytes()));
}

void job_agent_control::ReportLimits(monotonic_time now) {
  for (const auto& change : limit_report_.Take(dependencies_.guard, now)) {
    LogEvent("limit_exceeded", true,
             {{"limit", std::string(net::Name(change.limit))},
              {"count", static_cast<std::int64_t>(change.count)},
              {"total", static_cast<std::int64_t>(change.total)}},
             now);
  }
}

}  // namespace egretrack::job_agent
