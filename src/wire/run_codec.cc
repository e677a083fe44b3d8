#include "egretrack/wire/run_codec.h"

#include <optional>
#include <utility>

#include "wire/run_messages.pb.h"

namespace egretrack::wire {
namespace {

static_assert(static_cast<int>(run_end::kDone) == pb::RunEnd_MIN);
static_assert(static_cast<int>(run_end::kLost) == pb::RunEnd_MAX);
static_assert(static_cast<int>(run_reason::kNone) == pb::RunReason_MIN);
static_assert(static_cast<int>(run_reason::kEntrySilent) == pb::RunReason_MAX);
static_assert(run_reason::kEvacuated > run_reason::kEntrySilent);

// About 36,000 years; the sum of several such times still fits into 64 bits.
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{1} << 60U;

// ---- Encoding -------------------------------------------------------------

std::uint64_t ToCount(microseconds time) {
  return static_cast<std::uint64_t>(time.count());
}

void Write(const resources& from, pb::Room& to) {
  to.set_cpu_milli(from.cpu_milli);
  to.set_memory_mb(from.memory_mb);
  to.set_gpus(from.gpus);
}

void Write(const worker_facts& from, pb::WorkerFacts& to) {
  to.set_id(from.id);
  to.set_desk(from.desk);
  for (const std::string& label : from.labels)
    to.add_labels(label);
  Write(from.capacity, *to.mutable_capacity());
  if (from.revision)
    to.set_revision(*from.revision);
}

void Write(const domain_evacuation& from, pb::DomainEvacuation& to) {
  to.set_domain(from.domain);
  to.set_version(from.version);
  to.set_evacuated(from.evacuated);
}

void Write(const agent_beat& from, pb::AgentRunMessage& out) {
  pb::AgentBeat& to = *out.mutable_agent_beat();
  to.set_sequence(from.sequence);
  to.set_failure_domain(from.failure_domain);
  to.set_members_hash(from.members_hash);
  for (const worker_facts& worker : from.worker)
    Write(worker, *to.add_worker());
  to.set_draining(from.draining);
  to.set_settled(from.settled);
  to.set_evacuations_hash(from.evacuations_hash);
  for (const domain_evacuation& evacuation : from.evacuations)
    Write(evacuation, *to.add_evacuations());
}

void Write(const run_report& from, pb::AgentRunMessage& out) {
  pb::RunReport& to = *out.mutable_run_report();
  to.set_job(from.job);
  to.set_task(from.task);
  to.set_attempt(from.attempt);
  to.set_end(static_cast<pb::RunEnd>(from.end));
  switch (from.reason) {
    case run_reason::kEvacuated:
      to.set_reason(pb::RUN_REASON_DRAINING);
      to.set_evacuated(true);
      break;
    case run_reason::kWorkerChanged:
      to.set_reason(pb::RUN_REASON_NO_WORKER);
      to.set_worker_changed(true);
      break;
    default:
      to.set_reason(static_cast<pb::RunReason>(from.reason));
  }
  to.set_queued_us(ToCount(from.queued));
  to.set_ran_us(ToCount(from.ran));
}

void Write(const beat_reply& from, pb::EntryRunMessage& out) {
  pb::BeatReply& to = *out.mutable_beat_reply();
  to.set_sequence(from.sequence);
  to.set_members_hash(from.members_hash);
  for (const entry_member& member : from.members) {
    pb::EntryMember& added = *to.add_members();
    added.set_id(member.id);
    added.set_address(member.address);
  }
  to.set_reconnect(from.reconnect);
  to.set_evacuations_hash(from.evacuations_hash);
  for (const domain_evacuation& evacuation : from.evacuations)
    Write(evacuation, *to.add_evacuations());
}

void Write(const run_dispatch& from, pb::EntryRunMessage& out) {
  pb::RunDispatch& to = *out.mutable_run_dispatch();
  to.set_job(from.job);
  to.set_task(from.task);
  to.set_attempt(from.attempt);
  to.set_job_key(from.job_key);
  to.set_step(from.step);
  to.set_index(from.index);
  Write(from.need, *to.mutable_need());
  to.set_spec(from.spec);
  to.set_predicted_us(ToCount(from.predicted));
  to.set_start_by_us(ToCount(from.start_by.time_since_epoch()));
  to.set_target_us(from.target.count());
  to.set_queue_bound_us(ToCount(from.queue_bound));
  to.set_virtual_deadline_us(from.virtual_deadline.count());
  if (from.worker_revision)
    to.set_worker_revision(*from.worker_revision);
}

void Write(const run_cancel& from, pb::EntryRunMessage& out) {
  pb::RunCancel& to = *out.mutable_run_cancel();
  to.set_job(from.job);
  for (const std::uint32_t task : from.tasks)
    to.add_tasks(task);
}

template <typename Message>
std::string Serialize(const Message& message) {
  std::string bytes;
  message.SerializeToString(&bytes);
  return bytes;
}

// ---- Decoding -------------------------------------------------------------

// Returns false for a time above the bound, which no egretrack process sends.
bool Read(std::uint64_t from, microseconds& to) {
  to = microseconds(static_cast<microseconds::rep>(from));
  return from <= kMaxMicroseconds;
}

void Read(const pb::Room& from, resources& to) {
  to = {from.cpu_milli(), from.memory_mb(), from.gpus()};
}

worker_facts ReadFacts(const pb::WorkerFacts& from) {
  worker_facts to{from.id(), from.desk(), {}, {}};
  to.labels.assign(from.labels().begin(), from.labels().end());
  Read(from.capacity(), to.capacity);
  if (from.has_revision())
    to.revision = from.revision();
  return to;
}

run_reason ReadReason(const pb::RunReport& from) {
  if (from.evacuated())
    return run_reason::kEvacuated;
  if (from.worker_changed())
    return run_reason::kWorkerChanged;
  return static_cast<run_reason>(from.reason());
}

template <typename Evacuations>
std::vector<domain_evacuation> ReadEvacuations(const Evacuations& from) {
  std::vector<domain_evacuation> to;
  for (const pb::DomainEvacuation& evacuation : from) {
    to.push_back(
        {evacuation.domain(), evacuation.version(), evacuation.evacuated()});
  }
  return to;
}

bool Read(const pb::WorkerLoad& from, worker_load& to) {
  to.dispatches_seen = from.dispatches_seen();
  Read(from.free(), to.free);
  to.queued = from.queued();
  return Read(from.wait_us(), to.wait);
}

std::optional<agent_run_message> ReadMessage(const pb::AgentBeat& from) {
  agent_beat to;
  to.sequence = from.sequence();
  to.failure_domain = from.failure_domain();
  to.members_hash = from.members_hash();
  for (const pb::WorkerFacts& worker : from.worker())
    to.worker.push_back(ReadFacts(worker));
  to.draining = from.draining();
  to.settled = from.settled();
  to.evacuations_hash = from.evacuations_hash();
  to.evacuations = ReadEvacuations(from.evacuations());
  return to;
}

std::optional<agent_run_message> ReadMessage(const pb::RunReport& from) {
  run_report to;
  to.job = from.job();
  to.task = from.task();
  to.attempt = from.attempt();
  to.end = static_cast<run_end>(from.end());
  to.reason = ReadReason(from);
  if (!Read(from.queued_us(), to.queued) || !Read(from.ran_us(), to.ran))
    return std::nullopt;
  return to;
}

std::optional<agent_run_message> ReadMessage(const pb::AgentRunMessage& from) {
  if (from.has_agent_beat())
    return ReadMessage(from.agent_beat());
  if (from.has_run_report())
    return ReadMessage(from.run_report());
  return std::nullopt;
}

std::optional<entry_run_message> ReadMessage(const pb::BeatReply& from) {
  beat_reply to;
  to.sequence = from.sequence();
  to.members_hash = from.members_hash();
  for (const pb::EntryMember& member : from.members())
    to.members.push_back({member.id(), member.address()});
  to.reconnect = from.reconnect();
  to.evacuations_hash = from.evacuations_hash();
  to.evacuations = ReadEvacuations(from.evacuations());
  return to;
}

std::optional<entry_run_message> ReadMessage(const pb::RunDispatch& from) {
  run_dispatch to;
  to.job = from.job();
  to.task = from.task();
  to.attempt = from.attempt();
  to.job_key = from.job_key();
  to.step = from.step();
  to.index = from.index();
  Read(from.need(), to.need);
  to.spec = from.spec();
  to.target = microseconds(from.target_us());
  to.virtual_deadline =
      microseconds(from.has_virtual_deadline_us() ? from.virtual_deadline_us()
                                                  : from.target_us());
  if (from.has_worker_revision())
    to.worker_revision = from.worker_revision();
  microseconds start_by{0};
  if (!Read(from.predicted_us(), to.predicted) ||
      !Read(from.start_by_us(), start_by) ||
      !Read(from.queue_bound_us(), to.queue_bound)) {
    return std::nullopt;
  }
  to.start_by = monotonic_time(start_by);
  return to;
}

std::optional<entry_run_message> ReadMessage(const pb::RunCancel& from) {
  return run_cancel{from.job(), {from.tasks().begin(), from.tasks().end()}};
}

std::optional<entry_run_message> ReadMessage(const pb::EntryRunMessage& from) {
  if (from.has_beat_reply())
    return ReadMessage(from.beat_reply());
  if (from.has_run_dispatch())
    return ReadMessage(from.run_dispatch());
  if (from.has_run_cancel())
    return ReadMessage(from.run_cancel());
  return std::nullopt;
}

error Malformed(std::string_view detail) {
  return MakeError(errc::kParseFailed, detail);
}

template <typename Message>
bool Parse(std::span<const std::byte> bytes, Message& message) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

std::string EncodeFrame(const agent_run_frame& frame) {
  pb::AgentRunFrame out;
  out.set_agent(frame.agent);
  out.set_agent_incarnation(
      static_cast<std::uint64_t>(frame.agent_incarnation));
  out.set_connection(static_cast<std::uint64_t>(frame.connection));
  if (frame.entry_incarnation) {
    out.set_entry_incarnation(
        static_cast<std::uint64_t>(*frame.entry_incarnation));
  }
  pb::WorkerLoad& load = *out.mutable_load();
  load.set_dispatches_seen(frame.load.dispatches_seen);
  Write(frame.load.free, *load.mutable_free());
  load.set_queued(frame.load.queued);
  load.set_wait_us(ToCount(frame.load.wait));
  for (const agent_run_message& message : frame.messages) {
    std::visit([&](const auto& value) { Write(value, *out.add_messages()); },
               message);
  }
  return Serialize(out);
}

std::string EncodeFrame(const entry_run_frame& frame) {
  pb::EntryRunFrame out;
  out.set_connection(static_cast<std::uint64_t>(frame.connection));
  out.set_entry(frame.entry);
  out.set_entry_incarnation(
      static_cast<std::uint64_t>(frame.entry_incarnation));
  out.set_entry_time_us(ToCount(frame.entry_time.time_since_epoch()));
  for (const entry_run_message& message : frame.messages) {
    std::visit([&](const auto& value) { Write(value, *out.add_messages()); },
               message);
  }
  return Serialize(out);
}

result<agent_run_frame> DecodeAgentRunFrame(std::span<const std::byte> bytes) {
  pb::AgentRunFrame in;
  if (!Parse(bytes, in))
    return Malformed("run frame of an agent");
  agent_run_frame frame;
  frame.agent = in.agent();
  frame.agent_incarnation = incarnation{in.agent_incarnation()};
  frame.connection = connection_number{in.connection()};
  if (in.has_entry_incarnation())
    frame.entry_incarnation = incarnation{in.entry_incarnation()};
  if (!Read(in.load(), frame.load))
    return Malformed("load in a run frame of an agent");
  for (const pb::AgentRunMessage& message : in.messages()) {
    auto decoded = ReadMessage(message);
    if (!decoded)
      return Malformed("message in a run frame of an agent");
    frame.messages.push_back(std::move(*decoded));
  }
  return frame;
}

result<entry_run_frame> DecodeEntryRunFrame(std::span<const std::byte> bytes) {
  pb::EntryRunFrame in;
  microseconds entry_time{0};
  if (!Parse(bytes, in) || !Read(in.entry_time_us(), entry_time))
    return Malformed("run frame of an entry");
  entry_run_frame frame;
  frame.connection = connection_number{in.connection()};
  frame.entry = in.entry();
  frame.entry_incarnation = incarnation{in.entry_incarnation()};
  frame.entry_time = monotonic_time(entry_time);
  for (const pb::EntryRunMessage& message : in.messages()) {
    auto decoded = ReadMessage(message);
    if (!decoded)
      return Malformed("message in a run frame of an entry");
    frame.messages.push_back(std::move(*decoded));
  }
  return frame;
}

}  // namespace egretrack::wire
