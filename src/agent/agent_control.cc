#include "agent/agent_control.h"

#include <cstddef>
#include <string>
#include <utility>

#include "agent/agent_http.h"
#include "egretrack/base/event_table.h"
#include "egretrack/telemetry/process_usage.h"

namespace egretrack::agent {

agent_control::agent_control(std::unique_ptr<decision::agent_core> core,
                             net::frame_dealer& dealer,
                             std::size_t entry_count,
                             endpoint_client& client,
                             const traffic_counters& traffic,
                             std::function<void()> on_drained)
    : core_(std::move(core)),
      frames_(dealer, entry_count),
      endpoint_client_(client),
      traffic_(traffic),
      on_drained_(std::move(on_drained)),
      metrics_(telemetry::metrics::Create()),
      log_("agent.control") {}

monotonic_time agent_control::OnBatch(std::span<control_event> batch,
                                      monotonic_time now) {
  using event_handlers = event_table<control_event, &agent_control::OnCoreEvent,
                                     &agent_control::OnOperatorQuery>;
  for (control_event& event : batch)
    event_handlers::Call(*this, event, now);
  const monotonic_time next_call = core_->Advance(now, commands_);
  PerformCommands();
  frames_.SendAll();
  return next_call;
}

// ---- Events ---------------------------------------------------------------

void agent_control::OnCoreEvent(decision::agent_event& event,
                                monotonic_time& now) {
  core_->Handle(std::move(event), now, commands_);
}

void agent_control::OnOperatorQuery(operator_query& query,
                                    monotonic_time& now) {
  using query_handler =
      void (agent_control::*)(const net::http_exchange_ptr&, monotonic_time);
  static constexpr query_handler kQueryHandlers[] = {
      &agent_control::HandleStatusQuery, &agent_control::HandleReadyQuery,
      &agent_control::HandleMetricsQuery};
  const auto index = static_cast<std::size_t>(query.kind);
  (this->*kQueryHandlers[index])(query.exchange, now);
}

// ---- Operator queries -----------------------------------------------------

void agent_control::HandleStatusQuery(const net::http_exchange_ptr& exchange,
                                      monotonic_time now) {
  pending_status_queries_.emplace(++last_status_token_, exchange);
  core_->Handle(decision::agent_status_request{last_status_token_}, now,
                commands_);
}

void agent_control::HandleReadyQuery(const net::http_exchange_ptr& exchange,
                                     monotonic_time /*now*/) {
  exchange->Respond(ReadyResponse(core_->ready()));
}

void agent_control::HandleMetricsQuery(const net::http_exchange_ptr& exchange,
                                       monotonic_time /*now*/) {
  const decision::agent_counters& counters = core_->counters();
  const auto set = [this](std::string_view name, std::uint64_t value) {
    metrics_->SetCounter(name, "", value);
  };
  set("egretrack_agent_dispatches_total", counters.dispatches);
  set("egretrack_agent_duplicates_total", counters.duplicates);
  set("egretrack_agent_starts_total", counters.starts);
  set("egretrack_agent_refusals_total", counters.refusals);
  set("egretrack_agent_unrecorded_total", counters.unrecorded);
  set("egretrack_agent_stale_frames_total", counters.stale_frames);
  set("egretrack_agent_reconnects_total", counters.reconnects);
  set("egretrack_agent_credit_messages_total", counters.credit_messages);
  set("egretrack_agent_malformed_frames_total", traffic_.malformed_frames);
  set("egretrack_agent_dropped_frames_total", traffic_.dropped_frames);
  telemetry::SetProcessUsage(*metrics_);
  exchange->Respond({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metrics_->ToText()});
}

// ---- Commands -------------------------------------------------------------

void agent_control::PerformCommands() {
  using command_handlers =
      event_table<decision::agent_command, &agent_control::SendToEntry,
                  &agent_control::OpenConnection, &agent_control::StartTask,
                  &agent_control::DeliverReport, &agent_control::FinishDrain>;
  for (decision::agent_command& command : commands_)
    command_handlers::Call(*this, command);
  commands_.clear();
}

void agent_control::SendToEntry(decision::send_to_entry& command) {
  frames_.Add(std::move(command));
}

void agent_control::OpenConnection(decision::open_connection& command) {
  frames_.Reconnect(command);
}

void agent_control::StartTask(decision::start_task& command) {
  endpoint_client_.Start(std::move(command));
}

void agent_control::DeliverReport(decision::deliver_agent_report& command) {
  const auto pending = pending_status_queries_.extract(command.token);
  if (!pending.empty())
    pending.mapped()->Respond(StatusResponse(command.report));
}

void agent_control::FinishDrain(decision::agent_drain_finished& /*command*/) {
  log_.Info("Drain finished.");
  on_drained_();
}

}  // namespace egretrack::agent
