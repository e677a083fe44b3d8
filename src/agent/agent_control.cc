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
                             std::size_t entries,
                             endpoint_caller& caller,
                             const traffic_counters& traffic,
                             std::function<void()> drained)
    : core_(std::move(core)),
      frames_(dealer, entries),
      caller_(caller),
      traffic_(traffic),
      drained_(std::move(drained)),
      metrics_(telemetry::metrics::Create()),
      log_("agent.control") {}

monotonic_time agent_control::OnBatch(std::span<control_event> batch,
                                      monotonic_time now) {
  using events = event_table<control_event, &agent_control::OnCoreEvent,
                             &agent_control::OnQuestion>;
  for (control_event& event : batch)
    events::Call(*this, event, now);
  const monotonic_time wake = core_->Advance(now, commands_);
  PerformCommands();
  frames_.SendAll();
  return wake;
}

// ---- Events ---------------------------------------------------------------

void agent_control::OnCoreEvent(decision::agent_event& event,
                                monotonic_time& now) {
  core_->Handle(std::move(event), now, commands_);
}

void agent_control::OnQuestion(operator_question& question,
                               monotonic_time& now) {
  using answer =
      void (agent_control::*)(const net::http_exchange_ptr&, monotonic_time);
  static constexpr answer kAnswers[] = {&agent_control::AnswerStatus,
                                        &agent_control::AnswerReady,
                                        &agent_control::AnswerMetrics};
  const auto index = static_cast<std::size_t>(question.asked);
  (this->*kAnswers[index])(question.exchange, now);
}

// ---- Questions ------------------------------------------------------------

void agent_control::AnswerStatus(const net::http_exchange_ptr& exchange,
                                 monotonic_time now) {
  status_waiting_.emplace(++last_token_, exchange);
  core_->Handle(decision::agent_status_request{last_token_}, now, commands_);
}

void agent_control::AnswerReady(const net::http_exchange_ptr& exchange,
                                monotonic_time /*now*/) {
  exchange->Respond(ReadyResponse(core_->ready()));
}

void agent_control::AnswerMetrics(const net::http_exchange_ptr& exchange,
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
  using table =
      event_table<decision::agent_command, &agent_control::Send,
                  &agent_control::Open, &agent_control::Start,
                  &agent_control::GiveReport, &agent_control::FinishDrain>;
  for (decision::agent_command& command : commands_)
    table::Call(*this, command);
  commands_.clear();
}

void agent_control::Send(decision::send_to_entry& command) {
  frames_.Add(std::move(command));
}

void agent_control::Open(decision::open_connection& command) {
  frames_.Reconnect(command);
}

void agent_control::Start(decision::start_task& command) {
  caller_.Start(std::move(command));
}

void agent_control::GiveReport(decision::deliver_agent_report& command) {
  const auto waiting = status_waiting_.extract(command.token);
  if (!waiting.empty())
    waiting.mapped()->Respond(StatusResponse(command.report));
}

void agent_control::FinishDrain(decision::agent_drain_finished& /*command*/) {
  log_.Info("Drain finished.");
  drained_();
}

}  // namespace egretrack::agent
