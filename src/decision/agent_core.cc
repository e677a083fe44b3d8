#include "egretrack/decision/agent_core.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "decision/agent_configuration.h"
#include "decision/agent_credit_granter.h"
#include "decision/agent_endpoint.h"
#include "decision/agent_lifecycles.h"
#include "decision/agent_links.h"
#include "decision/agent_tasks.h"
#include "egretrack/base/event_table.h"

namespace egretrack::decision {
namespace {

// Maximum wait for the entries to confirm the last reports of a drain.
constexpr seconds kConfirmTimeout{2};
constexpr double kMaxClockDrift = 0.1;

class agent_core_impl final : public agent_core {
 public:
  explicit agent_core_impl(agent_options options)
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
  void OnFrame(entry_frame_received& event, call_context& context);
  void OnAnnounced(endpoint_announced& event, call_context& context);
  void OnWithdrawn(endpoint_withdrawn& event, call_context& context);
  void OnTaskEnded(task_ended& event, call_context& context);
  void OnDrain(agent_drain& event, call_context& context);
  void OnStatusRequest(agent_status_request& event, call_context& context);

  // ---- Messages ----
  void OnHeartbeatReply(wire::heartbeat_reply& message,
                        entry_index& entry,
                        call_context& context);
  void OnRelease(wire::release& message,
                 entry_index& entry,
                 call_context& context);
  void OnDispatch(wire::dispatch& message,
                  entry_index& entry,
                  call_context& context);
  void OnTaskQuery(wire::task_query& message,
                   entry_index& entry,
                   call_context& context);
  void OnJobCancel(wire::job_cancel& message,
                   entry_index& entry,
                   call_context& context);
  void OnJobLookup(wire::job_lookup& message,
                   entry_index& entry,
                   call_context& context);
  void OnDrainRequest(wire::drain_request& message,
                      entry_index& entry,
                      call_context& context);

  using event_handlers = event_table<agent_event,
                                     &agent_core_impl::OnFrame,
                                     &agent_core_impl::OnAnnounced,
                                     &agent_core_impl::OnWithdrawn,
                                     &agent_core_impl::OnTaskEnded,
                                     &agent_core_impl::OnDrain,
                                     &agent_core_impl::OnStatusRequest>;
  using message_handlers = event_table<wire::entry_message,
                                       &agent_core_impl::OnHeartbeatReply,
                                       &agent_core_impl::OnRelease,
                                       &agent_core_impl::OnDispatch,
                                       &agent_core_impl::OnTaskQuery,
                                       &agent_core_impl::OnJobCancel,
                                       &agent_core_impl::OnJobLookup,
                                       &agent_core_impl::OnDrainRequest>;

  // ---- Links ----
  void OpenDueConnections(call_context& context);
  void OpenConnection(call_context& context, entry_index entry);
  void SendHeartbeat(call_context& context, entry_index entry);
  void SendHeartbeats(call_context& context);
  monotonic_time NextReconnect() const;
  void ExchangeConfiguration(call_context& context,
                             entry_index entry,
                             const wire::heartbeat_reply& reply);

  // ---- State ----
  void ApplyEndpointChange(call_context& context, bool changed);
  void UpdateAdmission();
  void ProcessFollowUps(call_context& context);
  void SendCreditMessages(call_context& context, entry_index entry);
  void AdvanceDrain(call_context& context);
  bool draining() const {
    return drain_.phase() != agent_drain_phase::kServing;
  }

  const agent_options options_;
  agent_counters counters_;
  agent_endpoint endpoint_;
  agent_links links_;
  credit_granter granter_;
  agent_tasks tasks_;
  drain_lifecycle drain_;
  agent_configuration configuration_;
  std::optional<monotonic_time> next_heartbeats_;  // Empty before the first.
  monotonic_time confirm_deadline_ = monotonic_time::max();
};

void agent_core_impl::Handle(agent_event event,
                             monotonic_time now,
                             std::vector<agent_command>& commands) {
  call_context context{now, commands};
  event_handlers::Call(*this, event, context);
  ProcessFollowUps(context);
}

monotonic_time agent_core_impl::Advance(monotonic_time now,
                                        std::vector<agent_command>& commands) {
  call_context context{now, commands};
  tasks_.Expire(now);
  ApplyEndpointChange(context, endpoint_.Expire(now));
  OpenDueConnections(context);
  if (!next_heartbeats_ || now >= *next_heartbeats_)
    SendHeartbeats(context);
  ProcessFollowUps(context);
  return std::min({*next_heartbeats_, endpoint_.expiry(), NextReconnect(),
                   confirm_deadline_});
}

// ---- Events ---------------------------------------------------------------

void agent_core_impl::OnFrame(entry_frame_received& event,
                              call_context& context) {
  entry_index entry = event.entry;
  if (entry >= links_.size() ||
      event.frame.connection != links_[entry].connection()) {
    ++counters_.stale_frames;
    return;
  }
  for (wire::entry_message& message : event.frame.messages)
    message_handlers::Call(*this, message, entry, context);
}

void agent_core_impl::OnAnnounced(endpoint_announced& event,
                                  call_context& context) {
  ApplyEndpointChange(context,
                      endpoint_.Announce(std::move(event), context.now));
}

void agent_core_impl::OnWithdrawn(endpoint_withdrawn& /*event*/,
                                  call_context& context) {
  ApplyEndpointChange(context, endpoint_.Withdraw());
}

void agent_core_impl::OnTaskEnded(task_ended& event, call_context& context) {
  tasks_.End(context, event);
}

void agent_core_impl::OnDrain(agent_drain& /*event*/, call_context& context) {
  if (!drain_.Apply(agent_drain_event::kDrain))
    return;
  UpdateAdmission();
  SendHeartbeats(context);
}

void agent_core_impl::OnStatusRequest(agent_status_request& event,
                                      call_context& context) {
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
  context.commands.push_back(
      deliver_agent_report{event.token, std::move(report)});
}

// ---- Messages -------------------------------------------------------------

void agent_core_impl::OnHeartbeatReply(wire::heartbeat_reply& message,
                                       entry_index& entry,
                                       call_context& context) {
  if (!links_[entry].AcceptReply(message, context.now))
    return;
  granter_.MarkReachable(entry);
  granter_.SetDemand(entry, message.queue_length);
  ExchangeConfiguration(context, entry, message);
}

void agent_core_impl::OnRelease(wire::release& message,
                                entry_index& entry,
                                call_context& /*context*/) {
  granter_.Release(entry, message.released_total);
}

void agent_core_impl::OnDispatch(wire::dispatch& message,
                                 entry_index& entry,
                                 call_context& context) {
  tasks_.Dispatch(context, entry, message);
}

void agent_core_impl::OnTaskQuery(wire::task_query& message,
                                  entry_index& entry,
                                  call_context& context) {
  tasks_.Query(context, entry, message);
}

void agent_core_impl::OnJobCancel(wire::job_cancel& message,
                                  entry_index& /*entry*/,
                                  call_context& context) {
  tasks_.Cancel(context, message);
}

void agent_core_impl::OnJobLookup(wire::job_lookup& message,
                                  entry_index& entry,
                                  call_context& context) {
  tasks_.Lookup(context, entry, message);
}

void agent_core_impl::OnDrainRequest(wire::drain_request& /*message*/,
                                     entry_index& /*entry*/,
                                     call_context& context) {
  agent_drain drain;
  OnDrain(drain, context);
}

// ---- Links ----------------------------------------------------------------

void agent_core_impl::OpenDueConnections(call_context& context) {
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    const bool first = !next_heartbeats_;
    const auto silence = context.now - links_[entry].last_reply_time();
    if (first || silence >= options_.reconnect_after ||
        silence >= options_.credit_lease) {
      OpenConnection(context, entry);
      counters_.reconnects += first ? 0 : 1;
    }
  }
}

void agent_core_impl::OpenConnection(call_context& context, entry_index entry) {
  links_[entry].StartConnection(context.now);
  granter_.ResetConnection(entry);
  context.commands.push_back(
      open_connection{entry, links_[entry].connection()});
  wire::hello hello;
  hello.agent = options_.agent;
  hello.agent_incarnation = options_.agent_incarnation;
  hello.endpoint = endpoint_.name();
  hello.failure_domain = options_.failure_domain;
  hello.slots = options_.slots;
  hello.config_version = configuration_.version();
  hello.draining = draining();
  links_.Send(context, entry, std::move(hello));
  SendHeartbeat(context, entry);
}

void agent_core_impl::SendHeartbeat(call_context& context, entry_index entry) {
  wire::heartbeat heartbeat;
  heartbeat.sequence = links_[entry].NextHeartbeat(context.now);
  heartbeat.endpoint = endpoint_.name();
  heartbeat.slots = options_.slots;
  heartbeat.slots_in_use = tasks_.running();
  heartbeat.config_version = configuration_.version();
  heartbeat.granted_total = granter_.AdvertiseTotal(entry);
  heartbeat.draining = draining();
  links_.Send(context, entry, std::move(heartbeat));
}

void agent_core_impl::SendHeartbeats(call_context& context) {
  next_heartbeats_ = context.now + options_.heartbeat_interval;
  for (entry_index entry = 0; entry < links_.size(); ++entry)
    SendHeartbeat(context, entry);
}

monotonic_time agent_core_impl::NextReconnect() const {
  monotonic_time next = monotonic_time::max();
  const auto timeout =
      std::min(options_.reconnect_after, options_.credit_lease);
  for (entry_index entry = 0; entry < links_.size(); ++entry)
    next = std::min(next, links_[entry].last_reply_time() + timeout);
  return next;
}

void agent_core_impl::ExchangeConfiguration(
    call_context& context,
    entry_index entry,
    const wire::heartbeat_reply& reply) {
  configuration_.Adopt(reply.config_version, reply.config_document);
  if (reply.config_version < configuration_.version() &&
      links_[entry].AllowConfigurationOffer(context.now)) {
    links_.Send(context, entry, configuration_.Offer());
  }
}

// ---- State ----------------------------------------------------------------

void agent_core_impl::ApplyEndpointChange(call_context& context, bool changed) {
  if (!changed)
    return;
  UpdateAdmission();
  // The held tasks were dispatched for the previous endpoint.
  tasks_.RefuseHeldTasks(context, wire::task_reason::kNoEndpoint);
  if (next_heartbeats_)
    SendHeartbeats(context);
}

void agent_core_impl::UpdateAdmission() {
  wire::task_reason reason = wire::task_reason::kNone;
  if (!endpoint_.present())
    reason = wire::task_reason::kNoEndpoint;
  if (draining())
    reason = wire::task_reason::kDraining;
  tasks_.SetRefusalReason(reason);
  granter_.SetGranting(reason == wire::task_reason::kNone && !options_.push);
}

// Runs after every event: grants credits, sends grants and recalls, and
// advances the drain.
void agent_core_impl::ProcessFollowUps(call_context& context) {
  granter_.Grant(std::nullopt);
  for (entry_index entry = 0; entry < links_.size(); ++entry)
    SendCreditMessages(context, entry);
  AdvanceDrain(context);
}

void agent_core_impl::SendCreditMessages(call_context& context,
                                         entry_index entry) {
  if (granter_.NeedsGrantMessage(entry)) {
    ++counters_.credit_messages;
    links_.Send(context, entry, wire::grant{granter_.AdvertiseTotal(entry)});
  }
  const std::uint32_t excess = granter_.RecallableCredits(entry);
  if (excess > 0 && links_[entry].AllowRecall(context.now)) {
    ++counters_.credit_messages;
    links_.Send(context, entry, wire::recall{excess});
  }
}

void agent_core_impl::AdvanceDrain(call_context& context) {
  if (drain_.phase() == agent_drain_phase::kDraining && tasks_.idle()) {
    drain_.Apply(agent_drain_event::kIdle);
    confirm_deadline_ = context.now + kConfirmTimeout;
    for (entry_index entry = 0; entry < links_.size(); ++entry) {
      if (links_[entry].established())
        links_[entry].ExpectConfirmation();
    }
    SendHeartbeats(context);
  }
  if (drain_.phase() == agent_drain_phase::kConfirming &&
      (links_.AllConfirmed() || context.now >= confirm_deadline_)) {
    drain_.Apply(agent_drain_event::kConfirmed);
    confirm_deadline_ = monotonic_time::max();
    context.commands.push_back(agent_drain_finished{});
  }
}

bool IsValid(const agent_options& options) {
  const bool valid_times = options.retention > seconds(0) &&
                           options.heartbeat_interval > milliseconds(0) &&
                           options.reconnect_after > milliseconds(0) &&
                           options.credit_lease > milliseconds(0) &&
                           options.announcement_lease > milliseconds(0);
  const bool valid_counts = options.entries > 0 && options.slots > 0 &&
                            options.slots <= wire::kMaxSlots &&
                            options.overcommit <= wire::kMaxSlots &&
                            options.max_records > 0;
  return IsValidName(options.agent) && valid_times && valid_counts &&
         options.clock_drift >= 0 && options.clock_drift <= kMaxClockDrift;
}

}  // namespace

result<std::unique_ptr<agent_core>> agent_core::Create(agent_options options) {
  if (!IsValid(options))
    return MakeError(errc::kInvalidArgument,
                     "options out of range for agent " + options.agent);
  return std::make_unique<agent_core_impl>(std::move(options));
}

}  // namespace egretrack::decision
