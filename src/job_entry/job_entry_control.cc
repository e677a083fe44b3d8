#include "job_entry/job_entry_control.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/net/percent.h"
#include "egretrack/telemetry/process_usage.h"
#include "egretrack/wire/run_codec.h"
#include "job_entry/evacuation_listing.h"
#include "platform/configuration.h"
#include "platform/entry_rows.h"
#include "platform/evacuation_rows.h"
#include "platform/job_api.h"

namespace egretrack::job_entry {
namespace {

// A watch reports new entries well within a second; this timeout bounds the
// time until a broken watch is detected.
constexpr milliseconds kMembersWatchTimeout{5000};
constexpr milliseconds kRegistrationRetryInterval{300};
// A store whose calls fail for this time counts as unreachable; single calls
// may fail.
constexpr milliseconds kStoreUnreachableAfter{300};
// While the store is unreachable, the other entries are asked for their
// configuration in turn.
constexpr milliseconds kPeerRequestInterval{500};
constexpr milliseconds kPeerTimeout{400};
constexpr std::string_view kConfigurationPath = "/v1/configuration";
constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kGone = 410;

std::string HostOf(const std::string& address) {
  const auto parsed = net::tcp_address::Parse(address);
  return parsed ? parsed->host : std::string();
}

std::uint64_t ParseVersion(std::string_view text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

// Returns the newer configuration in the reply; std::nullopt if the peer has
// none.
result<std::optional<std::string>> ParsePeerReply(
    const net::http_reply& reply) {
  if (!reply.ok)
    return reply.failure.cause;
  if (reply.response.status == kOk)
    return std::optional(reply.response.body);
  if (reply.response.status == kNoContent)
    return std::optional<std::string>();
  return MakeError(errc::kUnavailable,
                   "peer entry responded with status " +
                       std::to_string(reply.response.status));
}

peer_cancel_answer ParseCancelReply(const net::http_reply& reply) {
  if (reply.ok && reply.response.status == kOk)
    return peer_cancel_answer::kCancelled;
  if (reply.ok && reply.response.status == kGone)
    return peer_cancel_answer::kUnknownJob;
  if (!reply.ok && reply.failure.cause.code == errc::kTimeout)
    return peer_cancel_answer::kTimedOut;
  return peer_cancel_answer::kNone;
}

}  // namespace

job_entry_control::job_entry_control(
    std::unique_ptr<scheduler::job_scheduler> core,
    control_dependencies dependencies)
    : core_(std::move(core)),
      dependencies_(std::move(dependencies)),
      metrics_(telemetry::metrics::Create()),
      log_("entry.jobs", {}),
      configuration_table_(
          dependencies_.store,
          std::string(platform::kOperatorTable),
          dependencies_.store_watch,
          [&events = dependencies_.events](table_read read) {
            events.PushRequired(configuration_read{std::move(read)});
          }),
      members_table_(dependencies_.store,
                     std::string(platform::kEntriesTable),
                     kMembersWatchTimeout,
                     [&events = dependencies_.events](table_read read) {
                       events.PushRequired(members_read{std::move(read)});
                     }) {
  members_[dependencies_.self.id] = dependencies_.self;
}

monotonic_time job_entry_control::OnBatch(std::span<control_event> batch,
                                          monotonic_time now) {
  using events = event_table<control_event, &job_entry_control::OnCallerRequest,
                             &job_entry_control::OnSchedulerEvent,
                             &job_entry_control::OnConfigurationRead,
                             &job_entry_control::OnMembersRead,
                             &job_entry_control::OnRegistrationResult,
                             &job_entry_control::OnPeerConfiguration,
                             &job_entry_control::OnSeedsChanged,
                             &job_entry_control::OnInternalRequest,
                             &job_entry_control::OnPeerCancelResult>;
  for (control_event& event : batch)
    events::Call(*this, event, now);
  monotonic_time wakeup = core_->Advance(now, commands_);
  PerformCommands(now);
  dependencies_.ready = core_->ready();
  OpenFront(now);
  TrackStoreAvailability(now);
  wakeup =
      std::min({wakeup, configuration_table_.Advance(now),
                members_table_.Advance(now), RequestPeerConfiguration(now)});
  Register(now);
  ReportLimits(now);
  log_.ReportSuppressed(now);
  return wakeup;
}

// ---- Events ---------------------------------------------------------------

void job_entry_control::OnCallerRequest(caller_request& event,
                                        monotonic_time& now) {
  // The event holds what was decoded from the body.
  event.exchange->DiscardBody();
  exchanges_.emplace(event.caller, std::move(event.exchange));
  core_->Handle(std::move(event.event), now, commands_);
}

void job_entry_control::OnSchedulerEvent(scheduler::scheduler_event& event,
                                         monotonic_time& now) {
  if (const auto* disconnected =
          std::get_if<scheduler::caller_disconnected>(&event))
    exchanges_.erase(disconnected->caller);
  core_->Handle(std::move(event), now, commands_);
}

void job_entry_control::OnConfigurationRead(configuration_read& event,
                                            monotonic_time& now) {
  const auto change =
      configuration_table_.HandleRead(std::move(event.read), now);
  if (!change)
    return;
  LogInvalidRows(platform::kOperatorTable, change->invalid_rows, now);
  for (const platform::store_row& row : change->rows) {
    if (row.key == platform::kConfigurationKey && !row.removed)
      AdoptConfiguration(row.value, "store", now);
  }
  PassEvacuations(*change, now);
}

void job_entry_control::PassEvacuations(const table_change& change,
                                        monotonic_time now) {
  scheduler::evacuations_received update;
  if (change.full_snapshot)
    update.snapshot_version = change.version;
  for (const platform::invalid_row& row : change.invalid_rows) {
    if (platform::IsEvacuationKey(row.key))
      update.unreadable.push_back(platform::EvacuationDomain(row.key));
  }
  for (const platform::store_row& row : change.rows) {
    if (!platform::IsEvacuationKey(row.key))
      continue;
    auto evacuation = platform::DecodeEvacuationRow(row);
    if (evacuation) {
      update.values.push_back(std::move(*evacuation));
      continue;
    }
    update.unreadable.push_back(platform::EvacuationDomain(row.key));
    const platform::invalid_row invalid{row.key, evacuation.error().ToString()};
    LogInvalidRows(platform::kOperatorTable, {&invalid, 1}, now);
  }
  if (change.full_snapshot || !update.values.empty())
    core_->Handle(std::move(update), now, commands_);
}

void job_entry_control::OnMembersRead(members_read& event,
                                      monotonic_time& now) {
  const auto change = members_table_.HandleRead(std::move(event.read), now);
  if (!change)
    return;
  LogInvalidRows(platform::kEntriesTable, change->invalid_rows, now);
  if (change->rows.empty() && !change->full_snapshot)
    return;
  if (change->full_snapshot)
    members_.clear();
  for (const platform::store_row& row : change->rows)
    ApplyMemberRow(row, now);
  members_[dependencies_.self.id] = dependencies_.self;
  scheduler::members_received update;
  for (const auto& [key, member] : members_)
    update.members.push_back(member);
  core_->Handle(std::move(update), now, commands_);
}

// An invalid row leaves the entry at its last valid address.
void job_entry_control::ApplyMemberRow(const platform::store_row& row,
                                       monotonic_time now) {
  if (row.removed) {
    members_.erase(row.key);
    return;
  }
  auto member = platform::DecodeEntryRow(row);
  if (member) {
    members_[row.key] = std::move(*member);
    return;
  }
  const platform::invalid_row invalid{row.key, member.error().ToString()};
  LogInvalidRows(platform::kEntriesTable, {&invalid, 1}, now);
}

void job_entry_control::LogInvalidRows(
    std::string_view table,
    std::span<const platform::invalid_row> rows,
    monotonic_time now) {
  invalid_rows_ += rows.size();
  for (const platform::invalid_row& row : rows) {
    LogEvent("store_row_invalid", true, platform::EventFields(table, row), now);
  }
}

void job_entry_control::OnSeedsChanged(seeds_changed& event,
                                       monotonic_time& now) {
  LogEvent("settings_reloaded", false,
           {{"seeds", static_cast<std::int64_t>(event.hosts.size())}}, now);
  dependencies_.seed_hosts = std::move(event.hosts);
}

void job_entry_control::OnInternalRequest(internal_request& event,
                                          monotonic_time& /*now*/) {
  switch (event.query) {
    case internal_query::kMetrics:
      return event.exchange->Respond(Metrics());
    case internal_query::kConfiguration:
      return event.exchange->Respond(Configuration(event.exchange->request()));
    case internal_query::kEvacuations:
      return event.exchange->Respond(EncodeEvacuations(core_->evacuations()));
  }
}

// Until the entry can serve callers, their connections are refused, so that
// they connect to another entry. They do not resubmit a job that is refused.
void job_entry_control::OpenFront(monotonic_time now) {
  if (front_open_ || !dependencies_.ready)
    return;
  front_open_ = true;
  const auto opened = dependencies_.open_front();
  if (opened)
    LogEvent("front_opened", false, {}, now);
  else
    LogEvent("front_not_opened", true, {{"reason", opened.error().ToString()}},
             now);
}

// ---- Store and peers ------------------------------------------------------

// Ignores a document that cannot be decoded. The store accepts only valid
// documents, so such a document has a format that this entry does not support.
void job_entry_control::AdoptConfiguration(std::string_view document,
                                           std::string_view source,
                                           monotonic_time now) {
  auto decoded = platform::DecodeConfiguration(document);
  if (!decoded) {
    LogEvent("configuration_not_understood", true,
             {{"source", std::string(source)},
              {"reason", decoded.error().ToString()}},
             now);
    return;
  }
  const std::uint64_t version = (*decoded)->version;
  if (!config_version_ || version > *config_version_) {
    config_version_ = version;
    config_document_ = std::string(document);
  }
  core_->Handle(scheduler::configuration_received{std::move(*decoded)}, now,
                commands_);
}

// The write is idempotent, so it is simply repeated after a failure, even if
// the failed call may have been carried out.
void job_entry_control::Register(monotonic_time now) {
  if (registered_ || registration_in_flight_ || now < next_registration_)
    return;
  registration_in_flight_ = true;
  dependencies_.store.Write(
      {std::string(platform::kEntriesTable), dependencies_.self.id,
       dependencies_.self.address, std::nullopt},
      [&events = dependencies_.events](result<std::uint64_t> version) {
        events.PushRequired(registration_result{std::move(version)});
      });
}

void job_entry_control::OnRegistrationResult(registration_result& event,
                                             monotonic_time& now) {
  registration_in_flight_ = false;
  if (event.version) {
    registered_ = true;
    LogEvent("entry_registered", false,
             {{"address", dependencies_.self.address},
              {"row_version", static_cast<std::int64_t>(*event.version)}},
             now);
    return;
  }
  next_registration_ = now + kRegistrationRetryInterval;
  LogEvent("registration_failed", true,
           {{"reason", event.version.error().ToString()}}, now);
}

void job_entry_control::TrackStoreAvailability(monotonic_time now) {
  const auto failing_since = configuration_table_.failing_since();
  const bool is_unreachable =
      failing_since && now - *failing_since >= kStoreUnreachableAfter;
  if (is_unreachable && !store_unreachable_) {
    store_unreachable_ = true;
    store_unreachable_since_ = *failing_since;
    LogEvent("store_lost", true,
             {{"reason", configuration_table_.last_failure()},
              {"config_version",
               static_cast<std::int64_t>(config_version_.value_or(0))}},
             now);
  } else if (!failing_since && store_unreachable_) {
    store_unreachable_ = false;
    LogEvent("store_regained", false,
             {{"away_us", (now - store_unreachable_since_).count()}}, now);
  }
}

std::vector<std::string> job_entry_control::PeerHosts() const {
  std::vector<std::string> hosts = dependencies_.seed_hosts;
  for (const auto& [key, member] : members_)
    hosts.push_back(HostOf(member.address));
  std::ranges::sort(hosts);
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  std::erase(hosts, HostOf(dependencies_.self.address));
  std::erase(hosts, std::string());
  return hosts;
}

// While this entry can't reach the store, other entries may.
monotonic_time job_entry_control::RequestPeerConfiguration(monotonic_time now) {
  if (!store_unreachable_ || peer_request_in_flight_)
    return monotonic_time::max();
  if (now < next_peer_request_)
    return next_peer_request_;
  next_peer_request_ = now + kPeerRequestInterval;
  const std::vector<std::string> hosts = PeerHosts();
  if (hosts.empty())
    return next_peer_request_;
  peer_request_in_flight_ = true;
  if (!peer_request_repeated_)
    ++peer_index_;
  const std::string& host = hosts[peer_index_ % hosts.size()];
  net::http_request request;
  request.method = "GET";
  request.target = std::string(kConfigurationPath) +
                   "?newer_than=" + std::to_string(config_version_.value_or(0));
  dependencies_.peers.Call(
      {host, dependencies_.internal_port}, std::move(request), kPeerTimeout,
      [&events = dependencies_.events](const net::http_reply& reply) {
        events.PushRequired(peer_configuration{ParsePeerReply(reply)});
      });
  return monotonic_time::max();
}

void job_entry_control::OnPeerConfiguration(peer_configuration& event,
                                            monotonic_time& now) {
  peer_request_in_flight_ = false;
  // A connection to the peer that was kept open may have gone silent, in which
  // case the repetition takes a new one.
  const bool timed_out =
      !event.document && event.document.error().code == errc::kTimeout;
  peer_request_repeated_ = timed_out && !peer_request_repeated_;
  if (peer_request_repeated_)
    next_peer_request_ = now;
  if (!event.document) {
    LogEvent("peer_failed", true,
             {{"reason", event.document.error().ToString()}}, now);
    return;
  }
  if (*event.document)
    AdoptConfiguration(**event.document, "peer", now);
}

// ---- Cancellations at other entries ----------------------------------------

void job_entry_control::CancelAtPeers(scheduler::cancel_at_peers& command,
                                      monotonic_time& now) {
  const std::vector<std::string> hosts = PeerHosts();
  LogEvent("cancel_forwarded", false,
           {{"path", command.path},
            {"peers", static_cast<std::int64_t>(hosts.size())}},
           now);
  if (hosts.empty()) {
    scheduler::answer_job answer{command.caller,
                                 scheduler::job_state::kUnknown,
                                 scheduler::job_errc::kUnknownJob,
                                 {}};
    return AnswerJob(answer, now);
  }
  peer_cancellations_.Start(command.caller, hosts.size());
  const std::string target = std::string(kCancelPath) +
                             "?host=" + net::PercentEncode(command.host) +
                             "&path=" + net::PercentEncode(command.path);
  for (const std::string& host : hosts)
    SendPeerCancellation({command.caller, host, target});
}

void job_entry_control::SendPeerCancellation(const peer_cancellation& call) {
  net::http_request request;
  request.method = "POST";
  request.target = call.target;
  dependencies_.peers.Call(
      {call.host, dependencies_.internal_port}, std::move(request),
      kPeerTimeout,
      [&events = dependencies_.events, call](const net::http_reply& reply) {
        events.PushRequired(peer_cancel_result{call, ParseCancelReply(reply)});
      });
}

void job_entry_control::OnPeerCancelResult(peer_cancel_result& event,
                                           monotonic_time& now) {
  if (peer_cancellations::ShouldRepeat(event.call, event.answer)) {
    event.call.repeated = true;
    return SendPeerCancellation(event.call);
  }
  const auto outcome =
      peer_cancellations_.Record(event.call.caller, event.answer);
  if (!outcome)
    return;
  if (!outcome->cancelled && outcome->unanswered > 0) {
    LogEvent("cancel_unconfirmed", true,
             {{"unanswered", static_cast<std::int64_t>(outcome->unanswered)}},
             now);
  }
  scheduler::answer_job answer{
      event.call.caller,
      outcome->cancelled ? scheduler::job_state::kCancelled
                         : scheduler::job_state::kUnknown,
      outcome->cancelled ? scheduler::job_errc::kCancelled
                         : scheduler::job_errc::kUnknownJob,
      {}};
  AnswerJob(answer, now);
}

// ---- Commands -------------------------------------------------------------

void job_entry_control::PerformCommands(monotonic_time now) {
  using handlers = event_table<
      scheduler::scheduler_command, &job_entry_control::AnswerJob,
      &job_entry_control::AnswerBacklog, &job_entry_control::CancelAtPeers,
      &job_entry_control::CheckCaller, &job_entry_control::SendToAgent,
      &job_entry_control::RecordJobMetrics, &job_entry_control::LogDecision,
      &job_entry_control::CloseFront, &job_entry_control::FinishDrain,
      &job_entry_control::RecordRefusal>;
  for (scheduler::scheduler_command& command : commands_)
    handlers::Call(*this, command, now);
  commands_.clear();
}

net::http_exchange_ptr job_entry_control::RemoveExchange(
    scheduler::caller_token caller) {
  const auto node = exchanges_.extract(caller);
  return node.empty() ? nullptr : node.mapped();
}

void job_entry_control::AnswerJob(scheduler::answer_job& command,
                                  monotonic_time& /*now*/) {
  const auto exchange = RemoveExchange(command.caller);
  if (!exchange)
    return;
  // A later connection gets the answer; the caller has abandoned this one, or
  // it is broken.
  if (command.state == scheduler::job_state::kSuperseded)
    exchange->Abort();
  else
    exchange->Respond(platform::EncodeAnswer(command));
}

void job_entry_control::AnswerBacklog(scheduler::answer_backlog& command,
                                      monotonic_time& /*now*/) {
  if (const auto exchange = RemoveExchange(command.caller))
    exchange->Respond(platform::EncodeBacklog(command));
}

void job_entry_control::CheckCaller(scheduler::check_caller& command,
                                    monotonic_time& /*now*/) {
  const auto found = exchanges_.find(command.caller);
  if (found == exchanges_.end())
    return;
  found->second->CheckConnection([&events = dependencies_.events,
                                  caller =
                                      command.caller](monotonic_time seen_at) {
    events.PushRequired(
        scheduler::scheduler_event(scheduler::caller_seen{caller, seen_at}));
  });
}

void job_entry_control::SendToAgent(scheduler::send_to_agent& command,
                                    monotonic_time& /*now*/) {
  dependencies_.agents.Send(
      net::peer_id{static_cast<std::uint64_t>(command.link)},
      wire::EncodeFrame(command.frame));
}

void job_entry_control::RecordJobMetrics(scheduler::job_metrics& command,
                                         monotonic_time& /*now*/) {
  const std::string kind = "kind=\"" + command.kind + "\"";
  metrics_->ObserveDuration("egretrack_job_response_seconds", kind,
                            command.response_time);
  metrics_->ObserveDuration("egretrack_job_first_dispatch_seconds", kind,
                            command.first_dispatch_delay);
  const bool completed = command.state == scheduler::job_state::kCompleted;
  const std::string outcome(completed ? (command.on_time ? "on_time" : "late")
                                      : decision::Name(command.code));
  ++job_outcome_counts_[kind + ",outcome=\"" + outcome + "\""];
}

void job_entry_control::RecordRefusal(scheduler::refusal_metrics& command,
                                      monotonic_time& /*now*/) {
  const std::string kind = "kind=\"" + command.kind + "\"";
  const std::string reason(decision::Name(command.code));
  ++refusal_counts_[kind + ",reason=\"" + reason + "\""];
  if (command.retry_after > milliseconds(0)) {
    metrics_->ObserveDuration("egretrack_retry_after_seconds", kind,
                              command.retry_after);
  }
}

void job_entry_control::LogDecision(scheduler::decision_record& command,
                                    monotonic_time& now) {
  log_.Write(scheduler::Name(command.kind),
             scheduler::ExplainsFailure(command.kind), command.job,
             command.fields, now);
}

void job_entry_control::CloseFront(scheduler::close_front& /*command*/,
                                   monotonic_time& now) {
  LogEvent("front_closed", false, {}, now);
  dependencies_.close_front();
}

void job_entry_control::FinishDrain(scheduler::drain_finished& /*command*/,
                                    monotonic_time& now) {
  LogEvent("drain_finished", false, {}, now);
  dependencies_.on_drained();
}

void job_entry_control::LogEvent(std::string_view event,
                                 bool explains_failure,
                                 std::vector<event_field> fields,
                                 monotonic_time now) {
  log_.Write(event, explains_failure, "", fields, now);
}

// ---- Metrics and configuration requests -----------------------------------

net::http_response job_entry_control::Configuration(
    const net::http_request& request) const {
  const std::uint64_t newer_than = ParseVersion(request.Query("newer_than"));
  if (config_version_.value_or(0) <= newer_than)
    return {kNoContent, {}, ""};
  return {kOk, {{"Content-Type", "application/json"}}, config_document_};
}

// The gains are gauges, because a wait that did not pay lowers them.
void job_entry_control::SetLocalityMetrics() {
  const auto seconds_of = [](microseconds time) {
    return std::chrono::duration<double>(time).count();
  };
  for (const auto& [name, counters] : core_->locality()) {
    const std::string kind = "kind=\"" + name + "\"";
    const auto count = [&](std::string_view metric, std::uint64_t value) {
      metrics_->SetCounter(metric, kind, value);
    };
    count("egretrack_near_dispatches_total", counters.near_dispatches);
    count("egretrack_near_waits_total", counters.near_waits);
    count("egretrack_near_returns_total", counters.near_returns);
    count("egretrack_near_runs_total", counters.near_runs);
    count("egretrack_far_dispatches_total", counters.far_dispatches);
    count("egretrack_far_runs_total", counters.far_runs);
    metrics_->SetGauge("egretrack_near_wait_predicted_gain_seconds", kind,
                       seconds_of(counters.predicted_gain));
    metrics_->SetGauge("egretrack_near_wait_measured_gain_seconds", kind,
                       seconds_of(counters.measured_gain));
  }
}

net::http_response job_entry_control::Metrics() {
  const scheduler::scheduler_counters& counters = core_->counters();
  const auto count = [this](std::string_view name, std::uint64_t value) {
    metrics_->SetCounter(name, "", value);
  };
  count("egretrack_jobs_accepted_total", counters.jobs_accepted);
  count("egretrack_jobs_completed_total", counters.jobs_completed);
  count("egretrack_jobs_failed_total", counters.jobs_failed);
  count("egretrack_jobs_refused_total", counters.jobs_refused);
  count("egretrack_jobs_unknown_total", counters.jobs_unknown);
  count("egretrack_jobs_cancelled_total", counters.jobs_cancelled);
  count("egretrack_dispatches_total", counters.dispatches);
  count("egretrack_tasks_returned_total", counters.tasks_returned);
  count("egretrack_tasks_evacuated_total", counters.tasks_evacuated);
  count("egretrack_tasks_lost_total", counters.tasks_lost);
  count("egretrack_tasks_failed_total", counters.tasks_failed);
  count("egretrack_late_reports_total", counters.late_reports);
  count("egretrack_agent_ejections_total", counters.ejections);
  count("egretrack_malformed_frames_total",
        dependencies_.traffic.malformed_frames);
  count("egretrack_bad_requests_total", dependencies_.traffic.bad_requests);
  count("egretrack_dropped_requests_total",
        dependencies_.traffic.dropped_requests);
  count("egretrack_abandoned_requests_total",
        dependencies_.traffic.abandoned_requests);
  count("egretrack_store_rows_invalid_total", invalid_rows_);
  count("egretrack_jobs_over_limit_total", counters.jobs_over_limit);
  count("egretrack_caller_checks_total", counters.caller_checks);
  count("egretrack_delayed_submissions_total", counters.delayed_submissions);
  count("egretrack_delayed_submissions_dropped_total",
        counters.delayed_submissions_dropped);
  AddLimitMetrics();
  count("egretrack_log_lines_left_out_total", log_.suppressed());
  for (const auto& [labels, value] : job_outcome_counts_)
    metrics_->SetCounter("egretrack_jobs_ended_total", labels, value);
  for (const auto& [labels, value] : refusal_counts_)
    metrics_->SetCounter("egretrack_job_refusals_total", labels, value);
  SetLocalityMetrics();
  const scheduler::scheduler_gauges gauges = core_->gauges();
  const auto gauge = [this](std::string_view name, double value) {
    metrics_->SetGauge(name, "", value);
  };
  gauge("egretrack_jobs", static_cast<double>(gauges.jobs));
  gauge("egretrack_job_bytes", static_cast<double>(gauges.job_bytes));
  gauge("egretrack_tasks_outstanding",
        static_cast<double>(gauges.tasks_outstanding));
  gauge("egretrack_tasks_waiting", static_cast<double>(gauges.tasks_waiting));
  gauge("egretrack_agents", static_cast<double>(gauges.agents));
  gauge("egretrack_agents_usable", static_cast<double>(gauges.agents_usable));
  gauge("egretrack_free_cpu_millicores",
        static_cast<double>(gauges.free_cpu_milli));
  gauge("egretrack_evacuated_domains",
        static_cast<double>(gauges.evacuated_domains));
  gauge("egretrack_config_version", static_cast<double>(gauges.config_version));
  gauge("egretrack_store_lost", store_unreachable_ ? 1 : 0);
  telemetry::SetProcessUsage(*metrics_);
  return {
      kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_->ToText()};
}

void job_entry_control::AddLimitMetrics() {
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

void job_entry_control::ReportLimits(monotonic_time now) {
  for (const auto& change : limit_report_.Take(dependencies_.guard, now)) {
    LogEvent("limit_exceeded", true,
             {{"limit", std::string(net::Name(change.limit))},
              {"count", static_cast<std::int64_t>(change.count)},
              {"total", static_cast<std::int64_t>(change.total)}},
             now);
  }
}

}  // namespace egretrack::job_entry
