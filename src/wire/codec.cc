#include "egretrack/wire/codec.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "wire/messages.pb.h"

namespace egretrack::wire {
namespace {

// About 36,000 years; the sum of several such times still fits into 64 bits.
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{1} << 60U;
constexpr std::uint64_t kMaxCreatedMs = (std::uint64_t{1} << 48U) - 1;

// The C++ and protobuf enumerators have the same values, and the parser drops
// unknown values, so that a cast converts between them.
static_assert(static_cast<int>(task_state::kRefused) == pb::TaskState_MIN);
static_assert(static_cast<int>(task_state::kCut) == pb::TaskState_MAX);
static_assert(static_cast<int>(task_reason::kNone) == pb::TaskReason_MIN);
static_assert(static_cast<int>(task_reason::kEndpointCut) ==
              pb::TaskReason_MAX);

// ---- Encoding -------------------------------------------------------------

std::uint64_t ToCount(microseconds time) {
  return static_cast<std::uint64_t>(time.count());
}

void Write(const job_id& id, pb::JobId& out) {
  out.set_entry(id.entry);
  out.set_home(static_cast<std::uint64_t>(id.home));
  out.set_created_ms(id.created_ms);
  out.set_random(id.random);
}

void Write(const hello& message, pb::AgentMessage& out) {
  pb::Hello& to = *out.mutable_hello();
  to.set_agent(message.agent);
  to.set_agent_incarnation(
      static_cast<std::uint64_t>(message.agent_incarnation));
  to.set_endpoint(message.endpoint);
  to.set_failure_domain(message.failure_domain);
  to.set_slots(message.slots);
  to.set_config_version(message.config_version);
  to.set_draining(message.draining);
}

void Write(const heartbeat& message, pb::AgentMessage& out) {
  pb::Heartbeat& to = *out.mutable_heartbeat();
  to.set_sequence(message.sequence);
  to.set_endpoint(message.endpoint);
  to.set_slots(message.slots);
  to.set_slots_in_use(message.slots_in_use);
  to.set_config_version(message.config_version);
  to.set_granted_total(message.granted_total);
  to.set_draining(message.draining);
}

void Write(const grant& message, pb::AgentMessage& out) {
  out.mutable_grant()->set_granted_total(message.granted_total);
}

void Write(const recall& message, pb::AgentMessage& out) {
  out.mutable_recall()->set_count(message.count);
}

void Write(const task_report& message, pb::AgentMessage& out) {
  pb::TaskReport& to = *out.mutable_task_report();
  Write(message.job, *to.mutable_job());
  to.set_task(message.task);
  to.set_dispatch(static_cast<std::uint32_t>(message.dispatch));
  to.set_state(static_cast<pb::TaskState>(message.state));
  to.set_reason(static_cast<pb::TaskReason>(message.reason));
  to.set_run_time_us(ToCount(message.run_time));
  to.set_wait_time_us(ToCount(message.wait_time));
  to.set_granted_total(message.granted_total);
  to.set_result(message.result);
}

void Write(const task_record& record, pb::TaskRecord& to) {
  to.set_task(record.task);
  to.set_task_count(record.task_count);
  to.set_state(static_cast<pb::TaskState>(record.state));
  to.set_reason(static_cast<pb::TaskReason>(record.reason));
  to.set_result(record.result);
}

void Write(const job_records& message, pb::AgentMessage& out) {
  pb::JobRecords& to = *out.mutable_job_records();
  to.set_lookup(message.lookup);
  Write(message.job, *to.mutable_job());
  for (const task_record& record : message.records)
    Write(record, *to.add_records());
}

void Write(const config_offer& message, pb::AgentMessage& out) {
  pb::ConfigOffer& to = *out.mutable_config_offer();
  to.set_version(message.version);
  to.set_document(message.document);
}

void Write(const heartbeat_reply& message, pb::EntryMessage& out) {
  pb::HeartbeatReply& to = *out.mutable_heartbeat_reply();
  to.set_entry(message.entry);
  to.set_entry_incarnation(
      static_cast<std::uint64_t>(message.entry_incarnation));
  to.set_sequence(message.sequence);
  to.set_entry_time_us(ToCount(message.entry_time.time_since_epoch()));
  to.set_config_version(message.config_version);
  to.set_config_document(message.config_document);
  to.set_queue_length(message.queue_length);
}

void Write(const release& message, pb::EntryMessage& out) {
  out.mutable_release()->set_released_total(message.released_total);
}

void Write(const dispatch& message, pb::EntryMessage& out) {
  pb::Dispatch& to = *out.mutable_dispatch();
  Write(message.job, *to.mutable_job());
  to.set_task(message.task);
  to.set_task_count(message.task_count);
  to.set_number(static_cast<std::uint32_t>(message.number));
  to.set_kind(message.kind);
  to.set_start_by_us(ToCount(message.start_by.time_since_epoch()));
  to.set_queue_length(message.queue_length);
  to.set_payload(message.payload);
}

void Write(const task_query& message, pb::EntryMessage& out) {
  pb::TaskQuery& to = *out.mutable_task_query();
  Write(message.job, *to.mutable_job());
  to.set_task(message.task);
  to.set_task_count(message.task_count);
  to.set_dispatch(static_cast<std::uint32_t>(message.dispatch));
}

void Write(const job_cancel& message, pb::EntryMessage& out) {
  Write(message.job, *out.mutable_job_cancel()->mutable_job());
}

void Write(const job_lookup& message, pb::EntryMessage& out) {
  pb::JobLookup& to = *out.mutable_job_lookup();
  to.set_lookup(message.lookup);
  Write(message.job, *to.mutable_job());
}

void Write(const drain_request& /*message*/, pb::EntryMessage& out) {
  out.mutable_drain_request();
}

template <typename Frame, typename Message>
std::string EncodeFrame(connection_number connection,
                        std::span<const Message> messages) {
  Frame frame;
  frame.set_connection(static_cast<std::uint64_t>(connection));
  for (const Message& message : messages) {
    auto& out = *frame.add_messages();
    std::visit([&out](const auto& value) { Write(value, out); }, message);
  }
  return frame.SerializeAsString();
}

// ---- Decoding -------------------------------------------------------------

// Validates fields and records whether any was out of range.
class field_reader {
 public:
  bool ok() const { return ok_; }

  std::string Name(std::string& field) {
    Require(IsValidName(field));
    return std::move(field);
  }

  std::string NameOrEmpty(std::string& field) {
    Require(field.empty() || IsValidName(field));
    return std::move(field);
  }

  template <typename T>
  T Between(T field,
            std::type_identity_t<T> low,
            std::type_identity_t<T> high) {
    Require(field >= low && field <= high);
    return field;
  }

  microseconds Duration(std::uint64_t field) {
    Require(field <= kMaxMicroseconds);
    return microseconds(field);
  }

  monotonic_time Time(std::uint64_t field) {
    return monotonic_time(Duration(field));
  }

  dispatch_number Dispatch(std::uint32_t field) {
    Require(field >= 1);
    return dispatch_number{field};
  }

  task_index Task(std::uint32_t field, std::uint32_t count) {
    Require(field < count);
    return field;
  }

  std::uint32_t TaskCount(std::uint32_t field) {
    return Between(field, 1, kMaxTaskCount);
  }

  std::uint32_t Slots(std::uint32_t field) {
    return Between(field, 0, kMaxSlots);
  }

  job_id Job(pb::JobId& from) {
    job_id id;
    id.entry = Name(*from.mutable_entry());
    id.home = incarnation{from.home()};
    id.created_ms = Between(from.created_ms(), 0, kMaxCreatedMs);
    id.random = from.random();
    return id;
  }

 private:
  void Require(bool condition) { ok_ = ok_ && condition; }

  bool ok_ = true;
};

hello ReadHello(pb::AgentMessage& in, field_reader& reader) {
  pb::Hello& from = *in.mutable_hello();
  hello message;
  message.agent = reader.Name(*from.mutable_agent());
  message.agent_incarnation = incarnation{from.agent_incarnation()};
  message.endpoint = reader.NameOrEmpty(*from.mutable_endpoint());
  message.failure_domain = reader.NameOrEmpty(*from.mutable_failure_domain());
  message.slots = reader.Slots(from.slots());
  message.config_version = from.config_version();
  message.draining = from.draining();
  return message;
}

heartbeat ReadHeartbeat(pb::AgentMessage& in, field_reader& reader) {
  pb::Heartbeat& from = *in.mutable_heartbeat();
  heartbeat message;
  message.sequence = from.sequence();
  message.endpoint = reader.NameOrEmpty(*from.mutable_endpoint());
  message.slots = reader.Slots(from.slots());
  message.slots_in_use = reader.Slots(from.slots_in_use());
  message.config_version = from.config_version();
  message.granted_total = from.granted_total();
  message.draining = from.draining();
  return message;
}

grant ReadGrant(pb::AgentMessage& in, field_reader& /*reader*/) {
  return grant{in.grant().granted_total()};
}

recall ReadRecall(pb::AgentMessage& in, field_reader& /*reader*/) {
  return recall{in.recall().count()};
}

task_report ReadTaskReport(pb::AgentMessage& in, field_reader& reader) {
  pb::TaskReport& from = *in.mutable_task_report();
  task_report message;
  message.job = reader.Job(*from.mutable_job());
  message.task = reader.Task(from.task(), kMaxTaskCount);
  message.dispatch = reader.Dispatch(from.dispatch());
  message.state = static_cast<task_state>(from.state());
  message.reason = static_cast<task_reason>(from.reason());
  message.run_time = reader.Duration(from.run_time_us());
  message.wait_time = reader.Duration(from.wait_time_us());
  message.granted_total = from.granted_total();
  message.result = std::move(*from.mutable_result());
  return message;
}

task_record ReadTaskRecord(pb::TaskRecord& from, field_reader& reader) {
  task_record record;
  record.task_count = reader.TaskCount(from.task_count());
  record.task = reader.Task(from.task(), record.task_count);
  record.state = static_cast<task_state>(from.state());
  record.reason = static_cast<task_reason>(from.reason());
  record.result = std::move(*from.mutable_result());
  return record;
}

job_records ReadJobRecords(pb::AgentMessage& in, field_reader& reader) {
  pb::JobRecords& from = *in.mutable_job_records();
  job_records message;
  message.lookup = from.lookup();
  message.job = reader.Job(*from.mutable_job());
  reader.Between(from.records_size(), 0, static_cast<int>(kMaxTaskCount));
  for (pb::TaskRecord& record : *from.mutable_records())
    message.records.push_back(ReadTaskRecord(record, reader));
  return message;
}

config_offer ReadConfigOffer(pb::AgentMessage& in, field_reader& reader) {
  pb::ConfigOffer& from = *in.mutable_config_offer();
  config_offer message;
  message.version = reader.Between(from.version(), 1, UINT64_MAX);
  message.document = std::move(*from.mutable_document());
  return message;
}

heartbeat_reply ReadHeartbeatReply(pb::EntryMessage& in, field_reader& reader) {
  pb::HeartbeatReply& from = *in.mutable_heartbeat_reply();
  heartbeat_reply message;
  message.entry = reader.Name(*from.mutable_entry());
  message.entry_incarnation = incarnation{from.entry_incarnation()};
  message.sequence = from.sequence();
  message.entry_time = reader.Time(from.entry_time_us());
  message.config_version = from.config_version();
  message.config_document = std::move(*from.mutable_config_document());
  message.queue_length = from.queue_length();
  return message;
}

release ReadRelease(pb::EntryMessage& in, field_reader& /*reader*/) {
  return release{in.release().released_total()};
}

dispatch ReadDispatch(pb::EntryMessage& in, field_reader& reader) {
  pb::Dispatch& from = *in.mutable_dispatch();
  dispatch message;
  message.job = reader.Job(*from.mutable_job());
  message.task_count = reader.TaskCount(from.task_count());
  message.task = reader.Task(from.task(), message.task_count);
  message.number = reader.Dispatch(from.number());
  message.kind = reader.Name(*from.mutable_kind());
  message.start_by = reader.Time(from.start_by_us());
  message.queue_length = from.queue_length();
  message.payload = std::move(*from.mutable_payload());
  return message;
}

task_query ReadTaskQuery(pb::EntryMessage& in, field_reader& reader) {
  pb::TaskQuery& from = *in.mutable_task_query();
  task_query message;
  message.job = reader.Job(*from.mutable_job());
  message.task_count = reader.TaskCount(from.task_count());
  message.task = reader.Task(from.task(), message.task_count);
  message.dispatch = reader.Dispatch(from.dispatch());
  return message;
}

job_cancel ReadJobCancel(pb::EntryMessage& in, field_reader& reader) {
  return job_cancel{reader.Job(*in.mutable_job_cancel()->mutable_job())};
}

job_lookup ReadJobLookup(pb::EntryMessage& in, field_reader& reader) {
  pb::JobLookup& from = *in.mutable_job_lookup();
  return job_lookup{from.lookup(), reader.Job(*from.mutable_job())};
}

drain_request ReadDrainRequest(pb::EntryMessage& /*in*/,
                               field_reader& /*reader*/) {
  return {};
}

// Adapts the reader function of one message type to the type of a table entry.
template <auto Read, typename Message, typename Encoded>
Message ReadAs(Encoded& in, field_reader& reader) {
  return Read(in, reader);
}

template <typename Message, typename Encoded>
using read_function = Message (*)(Encoded&, field_reader&);

// Indexed by the field number of the oneof, minus 1.
template <typename Message, typename Encoded, auto... Read>
constexpr std::array<read_function<Message, Encoded>, sizeof...(Read)>
    kReadTable{&ReadAs<Read, Message, Encoded>...};

constexpr auto& kReadAgentMessage = kReadTable<agent_message,
                                               pb::AgentMessage,
                                               ReadHello,
                                               ReadHeartbeat,
                                               ReadGrant,
                                               ReadRecall,
                                               ReadTaskReport,
                                               ReadJobRecords,
                                               ReadConfigOffer>;
constexpr auto& kReadEntryMessage = kReadTable<entry_message,
                                               pb::EntryMessage,
                                               ReadHeartbeatReply,
                                               ReadRelease,
                                               ReadDispatch,
                                               ReadTaskQuery,
                                               ReadJobCancel,
                                               ReadJobLookup,
                                               ReadDrainRequest>;
static_assert(kReadAgentMessage.size() == std::variant_size_v<agent_message>);
static_assert(kReadEntryMessage.size() == std::variant_size_v<entry_message>);

template <typename Decoded, typename Encoded, typename Table>
result<Decoded> DecodeFrame(std::span<const std::byte> bytes,
                            const Table& table) {
  const error malformed = MakeError(errc::kParseFailed, "frame");
  Encoded encoded;
  if (bytes.size() > kMaxFrameBytes)
    return malformed;
  // ParseFromArray() would log each frame with a missing field to standard
  // error, so that any peer could flood the log.
  if (!encoded.ParsePartialFromArray(bytes.data(),
                                     static_cast<int>(bytes.size())) ||
      !encoded.IsInitialized()) {
    return malformed;
  }
  field_reader reader;
  Decoded frame;
  frame.connection =
      connection_number{reader.Between(encoded.connection(), 1, UINT64_MAX)};
  for (auto& message : *encoded.mutable_messages()) {
    const auto field = static_cast<std::size_t>(message.kind_case());
    if (field == 0)
      return malformed;
    frame.messages.push_back(table[field - 1](message, reader));
  }
  if (!reader.ok())
    return malformed;
  return frame;
}

}  // namespace

std::string EncodeAgentFrame(connection_number connection,
                             std::span<const agent_message> messages) {
  return EncodeFrame<pb::AgentFrame>(connection, messages);
}

std::string EncodeEntryFrame(connection_number connection,
                             std::span<const entry_message> messages) {
  return EncodeFrame<pb::EntryFrame>(connection, messages);
}

result<agent_frame> DecodeAgentFrame(std::span<const std::byte> bytes) {
  return DecodeFrame<agent_frame, pb::AgentFrame>(bytes, kReadAgentMessage);
}

result<entry_frame> DecodeEntryFrame(std::span<const std::byte> bytes) {
  return DecodeFrame<entry_frame, pb::EntryFrame>(bytes, kReadEntryMessage);
}

}  // namespace egretrack::wire
