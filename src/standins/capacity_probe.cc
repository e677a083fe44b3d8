// Measures the unit costs on which docs/CAPACITY.md is based: bytes on the
// wire, CPU time per event of each decision core with its codec, and memory per
// record. The decision cores are the real ones; this file simulates the other
// end of each link.
#include <malloc.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "egretrack/decision/agent_core.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/objects/check.h"
#include "egretrack/wire/codec.h"

namespace egretrack {
namespace {

using decision::agent_command;
using decision::entry_command;

constexpr std::uint32_t kSlots = 8;
constexpr std::size_t kPayloadBytes = 100;
constexpr std::size_t kResultBytes = 100;
constexpr std::size_t kJobTasks = 100;
constexpr connection_number kConnection{1};
constexpr microseconds kRunTime = milliseconds(100);

std::span<const std::byte> AsBytes(const std::string& text) {
  return std::as_bytes(std::span(text));
}

// CPU time of this thread.
microseconds ThreadCpuTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return microseconds(static_cast<std::int64_t>(now.tv_sec) * 1000000 +
                      now.tv_nsec / 1000);
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void Print(const char* label, double value, const char* unit) {
  std::printf("%-58s %12.2f %s\n", label, value, unit);
}

void Print(const std::string& label, double value, const char* unit) {
  Print(label.c_str(), value, unit);
}

double PerEvent(microseconds time, std::size_t events) {
  return static_cast<double>(time.count()) / static_cast<double>(events);
}

job_id ProbeJob(std::uint64_t number) {
  return {"entry-1", incarnation{1}, 1, number};
}

wire::dispatch ProbeDispatch(std::uint64_t job, task_index task) {
  wire::dispatch message;
  message.job = ProbeJob(job);
  message.task = task;
  message.task_count = kJobTasks;
  message.number = dispatch_number{1};
  message.kind = "find-engineer";
  message.start_by = monotonic_time(seconds(3600));
  message.payload = std::string(kPayloadBytes, 'p');
  return message;
}

// Returns a configuration with this many teams, one request kind and one limit
// per team, and one endpoint.
std::string ConfigurationText(std::size_t teams) {
  std::string text = "[desk.probe]\n";
  std::string kinds;
  for (std::size_t i = 0; i < teams; ++i) {
    const std::string number = std::to_string(i);
    text += "[request_kind.kind-" + number + "]\n";
    text += "desk = \"probe\"\nexpected_ms = 100\n";
    text += "max_deadline_ms = 60000\ndeadline_ms = 60000\n";
    text += "[limit.team-" + number + "]\n";
    text += "desk = \"probe\"\nteam = \"team-" + number + "\"\n";
    kinds += (i == 0 ? "\"kind-" : ", \"kind-") + number + "\"";
  }
  return text + "[endpoint.probe]\ndesk = \"probe\"\nkinds = [" + kinds +
         "]\nslots = 8\nconnections = 64\n";
}

objects::configuration_ptr Configuration(std::size_t teams) {
  auto loaded = objects::LoadConfiguration(1, ConfigurationText(teams));
  if (!loaded) {
    std::fprintf(stderr, "%s\n", loaded.error().ToString().c_str());
    std::exit(1);
  }
  return *loaded;
}

// ---- Entry ------------------------------------------------------------------

// An entry core and simulated agents that report each dispatched task as
// finished immediately.
class entry_bench {
 public:
  entry_bench(std::size_t agents, std::size_t teams)
      : granted_totals_(agents, 0) {
    decision::entry_options options;
    options.entry = "entry-1";
    options.entry_incarnation = incarnation{1};
    options.admission = false;
    options.max_job_records = 10000000;
    options.max_queued_tasks = 10000000;
    core_ = std::move(*decision::entry_core::Create(options));
    Handle(decision::configuration_received{Configuration(teams)});
    for (std::size_t i = 0; i < agents; ++i)
      ConnectAgent(i);
  }

  void Heartbeat(std::size_t agent) {
    wire::heartbeat heartbeat;
    heartbeat.sequence = ++sequence_;
    heartbeat.endpoint = "probe";
    heartbeat.slots = kSlots;
    heartbeat.config_version = 1;
    heartbeat.granted_total = granted_totals_[agent];
    FromAgent(agent, heartbeat);
  }

  // Runs one job from its submission to its answer.
  void RunJob(std::size_t teams) {
    decision::submit_request request;
    request.caller = decision::caller_token{++sequence_};
    const std::string team = std::to_string(sequence_ % teams);
    request.job.kind = "kind-" + team;
    request.job.team = "team-" + team;
    request.job.payloads.assign(kJobTasks, std::string(kPayloadBytes, 'p'));
    Handle(std::move(request));
    while (!dispatches_.empty()) {
      const auto sent = std::exchange(dispatches_, {});
      for (const auto& [agent, dispatch] : sent)
        Report(agent, dispatch);
    }
  }

  std::uint64_t answers() const { return answers_; }

 private:
  void ConnectAgent(std::size_t agent) {
    wire::hello hello;
    hello.agent = "agent-" + std::to_string(agent);
    hello.agent_incarnation = incarnation{agent + 1};
    hello.endpoint = "probe";
    hello.failure_domain = "domain-" + std::to_string(agent % 17);
    hello.slots = kSlots;
    hello.config_version = 1;
    granted_totals_[agent] = kSlots;
    FromAgent(agent, hello);
    Heartbeat(agent);
  }

  void Report(std::size_t agent, const wire::dispatch& dispatch) {
    wire::task_report report;
    report.job = dispatch.job;
    report.task = dispatch.task;
    report.dispatch = dispatch.number;
    report.state = wire::task_state::kFinished;
    report.run_time = kRunTime;
    report.granted_total = ++granted_totals_[agent];
    report.result = std::string(kResultBytes, 'r');
    FromAgent(agent, std::move(report));
  }

  void FromAgent(std::size_t agent, wire::agent_message message) {
    const std::array<wire::agent_message, 1> messages{std::move(message)};
    const std::string bytes = wire::EncodeAgentFrame(kConnection, messages);
    Handle(decision::agent_frame_received{
        decision::link_id{agent}, *wire::DecodeAgentFrame(AsBytes(bytes))});
  }

  void Handle(decision::entry_event event) {
    now_ += microseconds(10);
    commands_.clear();
    core_->Handle(std::move(event), now_, wall_time(), commands_);
    for (entry_command& command : commands_)
      Perform(command);
  }

  void Perform(entry_command& command) {
    if (std::holds_alternative<decision::answer_caller>(command))
      ++answers_;
    auto* send = std::get_if<decision::send_to_agent>(&command);
    if (send == nullptr)
      return;
    const auto agent = static_cast<std::size_t>(send->link);
    const std::array<wire::entry_message, 1> messages{std::move(send->message)};
    const std::string bytes = wire::EncodeEntryFrame(kConnection, messages);
    wire::entry_frame frame = *wire::DecodeEntryFrame(AsBytes(bytes));
    if (auto* dispatch = std::get_if<wire::dispatch>(&frame.messages[0]))
      dispatches_.emplace_back(agent, std::move(*dispatch));
  }

  std::unique_ptr<decision::entry_core> core_;
  monotonic_time now_{seconds(1)};
  std::uint64_t sequence_ = 0;
  std::uint64_t answers_ = 0;
  std::vector<std::uint64_t> granted_totals_;
  std::vector<entry_command> commands_;
  std::vector<std::pair<std::size_t, wire::dispatch>> dispatches_;
};

void ProbeEntry() {
  for (const std::size_t agents : {11UL, 110UL, 260UL, 1800UL}) {
    const std::string suffix = " with " + std::to_string(agents) + " agents";
    const std::size_t bytes_before = HeapBytes();
    microseconds start = ThreadCpuTime();
    entry_bench bench(agents, 48);
    Print("entry: time per hello" + suffix,
          PerEvent(ThreadCpuTime() - start, agents), "us");
    const std::size_t bytes_with_agents = HeapBytes();
    Print("entry: memory per agent" + suffix,
          static_cast<double>(bytes_with_agents - bytes_before) /
              static_cast<double>(agents),
          "bytes");
    constexpr std::size_t kHeartbeats = 20000;
    start = ThreadCpuTime();
    for (std::size_t i = 0; i < kHeartbeats; ++i)
      bench.Heartbeat(i % agents);
    Print("entry: time per heartbeat" + suffix,
          PerEvent(ThreadCpuTime() - start, kHeartbeats), "us");
    constexpr std::size_t kJobs = 400;
    const std::size_t bytes_before_jobs = HeapBytes();
    start = ThreadCpuTime();
    for (std::size_t i = 0; i < kJobs; ++i)
      bench.RunJob(48);
    Print("entry: time per task" + suffix,
          PerEvent(ThreadCpuTime() - start, kJobs * kJobTasks), "us");
    Print("entry: memory per finished task kept" + suffix,
          static_cast<double>(HeapBytes() - bytes_before_jobs) /
              (kJobs * kJobTasks),
          "bytes");
    if (bench.answers() != kJobs)
      std::printf("FAULT: %llu of %zu jobs answered\n",
                  static_cast<unsigned long long>(bench.answers()), kJobs);
  }
}

// ---- Agent ------------------------------------------------------------------

// An agent core whose tasks end immediately. The simulated entries reply to
// heartbeats but grant nothing.
class agent_bench {
 public:
  explicit agent_bench(std::uint32_t entries) {
    decision::agent_options options;
    options.agent = "agent-1";
    options.agent_incarnation = incarnation{2};
    options.entries = entries;
    options.slots = kSlots;
    options.push = true;
    options.max_records = 10000000;
    core_ = std::move(*decision::agent_core::Create(options));
    Advance();
    Handle(decision::endpoint_announced{"probe", "127.0.0.1", 9000});
  }

  // Runs one heartbeat interval: a heartbeat to each entry, and the replies.
  void RunHeartbeatInterval() {
    now_ += milliseconds(250);
    Handle(decision::endpoint_announced{"probe", "127.0.0.1", 9000});
    Advance();
  }

  void RunTask(std::uint64_t number) {
    FromEntry(0, ProbeDispatch(number / kJobTasks,
                               static_cast<task_index>(number % kJobTasks)));
  }

  std::uint64_t starts() const { return core_->counters().starts; }

 private:
  void Advance() {
    std::vector<agent_command> commands;
    core_->Advance(now_, commands);
    Perform(commands);
  }

  void FromEntry(decision::entry_index entry, wire::entry_message message) {
    const std::array<wire::entry_message, 1> messages{std::move(message)};
    const std::string bytes = wire::EncodeEntryFrame(kConnection, messages);
    Handle(decision::entry_frame_received{
        entry, *wire::DecodeEntryFrame(AsBytes(bytes))});
  }

  void Handle(decision::agent_event event) {
    std::vector<agent_command> commands;
    core_->Handle(std::move(event), now_, commands);
    Perform(commands);
  }

  void Perform(std::vector<agent_command>& commands) {
    for (agent_command& command : commands) {
      if (auto* start = std::get_if<decision::start_task>(&command))
        EndTask(*start);
      else if (auto* send = std::get_if<decision::send_to_entry>(&command))
        Reply(*send);
    }
  }

  void EndTask(const decision::start_task& start) {
    Handle(decision::task_ended{
        start.job, start.task, wire::task_state::kFinished,
        wire::task_reason::kNone, std::string(kResultBytes, 'r')});
  }

  void Reply(decision::send_to_entry& send) {
    const std::array<wire::agent_message, 1> messages{std::move(send.message)};
    const std::string bytes = wire::EncodeAgentFrame(send.connection, messages);
    const auto* heartbeat = std::get_if<wire::heartbeat>(messages.data());
    if (heartbeat == nullptr)
      return;
    wire::heartbeat_reply reply;
    reply.entry = "entry-" + std::to_string(send.entry + 1);
    reply.entry_incarnation = incarnation{1};
    reply.sequence = heartbeat->sequence;
    reply.entry_time = now_;
    FromEntry(send.entry, reply);
  }

  std::unique_ptr<decision::agent_core> core_;
  monotonic_time now_{seconds(1)};
};

void ProbeAgent() {
  for (const std::uint32_t entries : {1U, 3U, 12U, 48U}) {
    agent_bench bench(entries);
    constexpr std::size_t kHeartbeats = 4000;
    const microseconds start = ThreadCpuTime();
    for (std::size_t i = 0; i < kHeartbeats; ++i)
      bench.RunHeartbeatInterval();
    Print("agent: time per heartbeat interval with " + std::to_string(entries) +
              " entries",
          PerEvent(ThreadCpuTime() - start, kHeartbeats), "us");
  }
  agent_bench bench(3);
  constexpr std::size_t kTasks = 40000;
  const std::size_t bytes_before = HeapBytes();
  const microseconds start = ThreadCpuTime();
  for (std::size_t i = 0; i < kTasks; ++i)
    bench.RunTask(i);
  Print("agent: time per task", PerEvent(ThreadCpuTime() - start, kTasks),
        "us");
  Print("agent: memory per finished task kept",
        static_cast<double>(HeapBytes() - bytes_before) / kTasks, "bytes");
  if (bench.starts() != kTasks)
    std::printf("FAULT: %llu of %zu tasks started\n",
                static_cast<unsigned long long>(bench.starts()), kTasks);
}

// ---- Wire and configuration ------------------------------------------------

void PrintAgentBytes(const char* label, wire::agent_message message) {
  const std::array<wire::agent_message, 1> messages{std::move(message)};
  Print(
      label,
      static_cast<double>(wire::EncodeAgentFrame(kConnection, messages).size()),
      "bytes");
}

void PrintEntryBytes(const char* label, wire::entry_message message) {
  const std::array<wire::entry_message, 1> messages{std::move(message)};
  Print(
      label,
      static_cast<double>(wire::EncodeEntryFrame(kConnection, messages).size()),
      "bytes");
}

void ProbeWire() {
  wire::heartbeat heartbeat;
  heartbeat.sequence = 1000000;
  heartbeat.endpoint = "probe";
  heartbeat.slots = kSlots;
  heartbeat.slots_in_use = kSlots;
  heartbeat.config_version = 100000;
  heartbeat.granted_total = 100000000;
  PrintAgentBytes("wire: heartbeat", heartbeat);
  wire::heartbeat_reply reply;
  reply.entry = "entry-1";
  reply.entry_incarnation = incarnation{0xffffffffffffffffU};
  reply.sequence = 1000000;
  reply.entry_time = monotonic_time(seconds(1000000));
  reply.config_version = 100000;
  reply.queue_length = 10000;
  PrintEntryBytes("wire: heartbeat_reply", reply);
  PrintEntryBytes("wire: dispatch with 100 bytes of payload",
                  ProbeDispatch(0xffffffffffffffffU, 1000));
  wire::task_report report;
  report.job = ProbeJob(0xffffffffffffffffU);
  report.task = 1000;
  report.dispatch = dispatch_number{1};
  report.state = wire::task_state::kFinished;
  report.run_time = kRunTime;
  report.granted_total = 100000000;
  report.result = std::string(kResultBytes, 'r');
  PrintAgentBytes("wire: task_report with 100 bytes of result", report);
  PrintAgentBytes("wire: grant", wire::grant{100000000});
}

void ProbeConfiguration() {
  for (const std::size_t teams : {1UL, 12UL, 48UL, 192UL}) {
    const std::string suffix = " with " + std::to_string(teams) + " teams";
    const std::string document = ConfigurationText(teams);
    constexpr int kLoads = 20;
    const microseconds start = ThreadCpuTime();
    for (int i = 0; i < kLoads; ++i)
      Configuration(teams);
    Print("configuration: size" + suffix, static_cast<double>(document.size()),
          "bytes");
    Print("configuration: time to check" + suffix,
          PerEvent(ThreadCpuTime() - start, kLoads), "us");
  }
}

struct probe {
  const char* name;
  void (*run)();
};

constexpr probe kProbes[] = {{"wire", &ProbeWire},
                             {"configuration", &ProbeConfiguration},
                             {"entry", &ProbeEntry},
                             {"agent", &ProbeAgent}};

}  // namespace
}  // namespace egretrack

int main() {
  for (const egretrack::probe& probe : egretrack::kProbes) {
    std::printf("== %s\n", probe.name);
    probe.run();
  }
}
