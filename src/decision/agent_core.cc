#include "egretrack/decision/agent_core.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "decision/agent_configuration.h"
#include "decision/agent_credit_granter.h"
#include "decision/agent_endpoint.h"
#include "decision/agent_life_cycles.h"
#include "decision/agent_links.h"
#include "decision/agent_tasks.h"
#include "egretrack/base/event_table.h"

namespace egretrack::decision {
namespace {

// Bound on waiting for the entries to confirm the last reports of a drain.
constexpr seconds kConfirmBound{2};
constexpr double kMaxClockDrift = 0.1;

class core final : public agent_core {
 public:
  explicit core(agent_options options)
      : options_(std::move(options)),
        endpoint_(options_.announcement_lease),
        links_(options_.entries, options_.clock_drift),
        granter_(options_.slots + options_.overcommit,
                 options_.credit_floor,
                 options_.entries),
        tasks_(options_, endpoint_, links_, granter_, counters_) {}

  void Handle(agent_event event,
              monotonic_time now,
              std::vector<agent_command>& commands) override;
  monotonic_time Advance(monotonic_time now,
                         std::vector<agent_command>& commands) override;
  const agent_counters& counters() const override { return counters_; }
  bool ready() const override {
    return endpoint_.present() && !draining() && links_.AnyEstablished();
  }

 private:
  // ---- Events ----
  void OnFrame(entry_frame_received& event, agent_turn& turn);
  void OnAnnounced(endpoint_announced& event, agent_turn& turn);
  void OnWithdrawn(endpoint_withdrawn& event, agent_turn& turn);
  void OnTaskEnded(task_ended& event, agent_turn& turn);
  void OnDrain(agent_drain& event, agent_turn& turn);
  void OnStatusRequest(agent_status_request& event, agent_turn& turn);

  // ---- Messages ----
  void OnHeartbeatReply(wire::heartbeat_reply& message,
                        entry_index& entry,
                        agent_turn& turn);
  void OnRelease(wire::release& message, entry_index& entry, agent_turn& turn);
  void OnDispatch(wire::dispatch& message,
                  entry_index& entry,
                  agent_turn& turn);
  void OnTaskQuery(wire::task_query& message,
                   entry_index& entry,
                   agent_turn& turn);
  void OnJobCancel(wire::job_cancel& message,
                   entry_index& entry,
                   agent_turn& turn);
  void OnJobLookup(wire::job_lookup& message,
                   entry_index& entry,
                   agent_turn& turn);
  void OnDrainRequest(wire::drain_request& message,
                      entry_index& entry,
                      agent_turn& turn);

  using events = event_table<agent_event,
                             &core::OnFrame,
                             &core::OnAnnounced,
                             &core::OnWithdrawn,
                             &core::OnTaskEnded,
                             &core::OnDrain,
                             &core::OnStatusRequest>;
  using messages = event_table<wire::entry_message,
                               &core::OnHeartbeatReply,
                               &core::OnRelease,
                               &core::OnDispatch,
                               &core::OnTaskQuery,
                               &core::OnJobCancel,
                               &core::OnJobLookup,
                               &core::OnDrainRequest>;

  // ---- Links ----
  void OpenDue(agent_turn& turn);
  void Open(agent_turn& turn, entry_index entry);
  void SendHeartbeat(agent_turn& turn, entry_index entry);
  void SendHeartbeats(agent_turn& turn);
  monotonic_time NextOpening() const;
  void ExchangeConfiguration(agent_turn& turn,
                             entry_index entry,
                             const wire::heartbeat_reply& reply);

  // ---- State ----
  void ApplyEndpointChange(agent_turn& turn, bool changed);
  void UpdateAdmission();
  void Settle(agent_turn& turn);
  void SendCreditMessages(agent_turn& turn, entry_index entry);
  void AdvanceDrain(agent_turn& turn);
  bool draining() const { return drain_.phase() != drain_phase::kServing; }

  const agent_options options_;
  agent_counters counters_;
  agent_endpoint endpoint_;
  agent_links links_;
  credit_granter granter_;
  agent_tasks tasks_;
  drain_life_cycle drain_;
  agent_configuration configuration_;
  std::optional<monotonic_time> next_heartbeats_;  // Empty before the first.
  monotonic_time confirm_deadline_ = monotonic_time::max();
};

void core::Handle(agent_event event,
                  monotonic_time now,
                  std::vector<agent_command>& commands) {
  agent_turn turn{now, commands};
  events::Call(*this, event, turn);
  Settle(turn);
}

monotonic_time core::Advance(monotonic_time now,
                             std::vector<agent_command>& commands) {
  agent_turn turn{now, commands};
  tasks_.Expire(now);
  ApplyEndpointChange(turn, endpoint_.Expire(now));
  OpenDue(turn);
  if (!next_heartbeats_ || now >= *next_heartbeats_)
    SendHeartbeats(turn);
  Settle(turn);
  return std::min({*next_heartbeats_, endpoint_.expiry(), NextOpening(),
                   confirm_deadline_});
}

// ---- Events ---------------------------------------------------------------

void core::OnFrame(entry_frame_received& event, agent_turn& turn) {
  entry_index entry = event.entry;
  if (entry >= links_.size() ||
      event.frame.connection != links_[entry].number()) {
    ++counters_.stale_frames;
    return;
  }
  for (wire::entry_message& message : event.frame.messages)
    messages::Call(*this, message, entry, turn);
}

void core::OnAnnounced(endpoint_announced& event, agent_turn& turn) {
  ApplyEndpointChange(turn, endpoint_.Announce(std::move(event), turn.now));
}

void core::OnWithdrawn(endpoint_withdrawn& /*event*/, agent_turn& turn) {
  ApplyEndpointChange(turn, endpoint_.Withdraw());
}

void core::OnTaskEnded(task_ended& event, agent_turn& turn) {
  tasks_.End(turn, event);
}

void core::OnDrain(agent_drain& /*event*/, agent_turn& turn) {
  if (!drain_.Apply(drain_step::kDrain))
    return;
  UpdateAdmission();
  SendHeartbeats(turn);
}

void core::OnStatusRequest(agent_status_request& event, agent_turn& turn) {
  agent_report report;
  report.agent = options_.agent;
  report.agent_incarnation = options_.agent_incarnation;
  report.endpoint = endpoint_.name();
  report.config_version = configuration_.version();
  report.slots = options_.slots;
  report.slots_in_use = tasks_.running();
  report.tasks_held = static_cast<std::uint32_t>(tasks_.held());
  report.credits_granted = granter_.outstanding();
  report.records = tasks_.records();
  report.draining = draining();
  turn.commands.push_back(deliver_agent_report{event.token, std::move(report)});
}

// ---- Messages -------------------------------------------------------------

void core::OnHeartbeatReply(wire::heartbeat_reply& message,
                            entry_index& entry,
                            agent_turn& turn) {
  if (!links_[entry].TakeReply(message, turn.now))
    return;
  granter_.Reach(entry);
  granter_.SetDemand(entry, message.queue_length);
  ExchangeConfiguration(turn, entry, message);
}

void core::OnRelease(wire::release& message,
                     entry_index& entry,
                     agent_turn& /*turn*/) {
  granter_.Release(entry, message.released_total);
}

void core::OnDispatch(wire::dispatch& message,
                      entry_index& entry,
                      agent_turn& turn) {
  tasks_.Dispatch(turn, entry, message);
}

void core::OnTaskQuery(wire::task_query& message,
                       entry_index& entry,
                       agent_turn& turn) {
  tasks_.Query(turn, entry, message);
}

void core::OnJobCancel(wire::job_cancel& message,
                       entry_index& /*entry*/,
                       agent_turn& turn) {
  tasks_.Cancel(turn, message);
}

void core::OnJobLookup(wire::job_lookup& message,
                       entry_index& entry,
                       agent_turn& turn) {
  tasks_.Lookup(turn, entry, message);
}

void core::OnDrainRequest(wire::drain_request& /*message*/,
                          entry_index& /*entry*/,
                          agent_turn& turn) {
  agent_drain drain;
  OnDrain(drain, turn);
}

// ---- Links ----------------------------------------------------------------

void core::OpenDue(agent_turn& turn) {
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    const bool first = !next_heartbeats_;
    const auto silence = turn.now - links_[entry].last_heard();
    if (first || silence >= options_.reconnect_after ||
        silence >= options_.credit_lease) {
      Open(turn, entry);
      counters_.reconnects += first ? 0 : 1;
    }
  }
}

void core::Open(agent_turn& turn, entry_index entry) {
  links_[entry].Open(turn.now);
  granter_.Open(entry);
  turn.commands.push_back(open_connection{entry, links_[entry].number()});
  wire::hello hello;
  hello.agent = options_.agent;
  hello.agent_incarnation = options_.agent_incarnation;
  hello.endpoint = endpoint_.name();
  hello.failure_domain = options_.failure_domain;
  hello.slots = options_.slots;
  hello.config_version = configuration_.version();
  hello.draining = draining();
  links_.Send(turn, entry, std::move(hello));
  SendHeartbeat(turn, entry);
}

void core::SendHeartbeat(agent_turn& turn, entry_index entry) {
  wire::heartbeat heartbeat;
  heartbeat.sequence = links_[entry].NextHeartbeat(turn.now);
  heartbeat.endpoint = endpoint_.name();
  heartbeat.slots = options_.slots;
  heartbeat.slots_in_use = tasks_.running();
  heartbeat.config_version = configuration_.version();
  heartbeat.granted_total = granter_.Tell(entry);
  heartbeat.draining = draining();
  links_.Send(turn, entry, std::move(heartbeat));
}

void core::SendHeartbeats(agent_turn& turn) {
  next_heartbeats_ = turn.now + options_.heartbeat_interval;
  for (entry_index entry = 0; entry < links_.size(); ++entry)
    SendHeartbeat(turn, entry);
}

monotonic_time core::NextOpening() const {
  monotonic_time next = monotonic_time::max();
  const auto bound = std::min(options_.reconnect_after, options_.credit_lease);
  for (entry_index entry = 0; entry < links_.size(); ++entry)
    next = std::min(next, links_[entry].last_heard() + bound);
  return next;
}

void core::ExchangeConfiguration(agent_turn& turn,
                                 entry_index entry,
                                 const wire::heartbeat_reply& reply) {
  configuration_.Adopt(reply.config_version, reply.config_document);
  if (reply.config_version < configuration_.version() &&
      links_[entry].MayOfferConfiguration(turn.now)) {
    links_.Send(turn, entry, configuration_.Offer());
  }
}

// ---- State ----------------------------------------------------------------

void core::ApplyEndpointChange(agent_turn& turn, bool changed) {
  if (!changed)
    return;
  UpdateAdmission();
  // The held tasks were sent for the endpoint before.
  tasks_.RefuseHeld(turn, wire::task_reason::kNoEndpoint);
  if (next_heartbeats_)
    SendHeartbeats(turn);
}

void core::UpdateAdmission() {
  wire::task_reason reason = wire::task_reason::kNone;
  if (!endpoint_.present())
    reason = wire::task_reason::kNoEndpoint;
  if (draining())
    reason = wire::task_reason::kDraining;
  tasks_.Close(reason);
  granter_.SetGranting(reason == wire::task_reason::kNone && !options_.push);
}

// Does what may follow from any event.
void core::Settle(agent_turn& turn) {
  granter_.Grant(std::nullopt);
  for (entry_index entry = 0; entry < links_.size(); ++entry)
    SendCreditMessages(turn, entry);
  AdvanceDrain(turn);
}

void core::SendCreditMessages(agent_turn& turn, entry_index entry) {
  if (granter_.NeedsGrant(entry)) {
    ++counters_.credit_messages;
    links_.Send(turn, entry, wire::grant{granter_.Tell(entry)});
  }
  const std::uint32_t idle = granter_.Recallable(entry);
  if (idle > 0 && links_[entry].MayRecall(turn.now)) {
    ++counters_.credit_messages;
    links_.Send(turn, entry, wire::recall{idle});
  }
}

void core::AdvanceDrain(agent_turn& turn) {
  if (drain_.phase() == drain_phase::kDraining && tasks_.idle()) {
    drain_.Apply(drain_step::kIdle);
    confirm_deadline_ = turn.now + kConfirmBound;
    for (entry_index entry = 0; entry < links_.size(); ++entry) {
      if (links_[entry].established())
        links_[entry].ExpectConfirmation();
    }
    SendHeartbeats(turn);
  }
  if (drain_.phase() == drain_phase::kConfirming &&
      (links_.AllConfirmed() || turn.now >= confirm_deadline_)) {
    drain_.Apply(drain_step::kConfirmed);
    confirm_deadline_ = monotonic_time::max();
    turn.commands.push_back(agent_drain_finished{});
  }
}

bool IsValid(const agent_options& options) {
  const bool times = options.retention > seconds(0) &&
                     options.heartbeat_interval > milliseconds(0) &&
                     options.reconnect_after > milliseconds(0) &&
                     options.credit_lease > milliseconds(0) &&
                     options.announcement_lease > milliseconds(0);
  const bool counts = options.entries > 0 && options.slots > 0 &&
                      options.slots <= wire::kMaxSlots &&
                      options.overcommit <= wire::kMaxSlots &&
                      options.max_records > 0;
  return IsValidName(options.agent) && times && counts &&
         options.clock_drift >= 0 && options.clock_drift <= kMaxClockDrift;
}

}  // namespace

result<std::unique_ptr<agent_core>> agent_core::Create(agent_options options) {
  if (!IsValid(options))
    return MakeError(errc::kInvalidArgument,
                     "options of agent " + options.agent);
  return std::make_unique<core>(std::move(options));
}

}  // namespace egretrack::decision
