#ifndef EGRETRACK_ENTRY_TESTS_ECHO_AGENT_H_
#define EGRETRACK_ENTRY_TESTS_ECHO_AGENT_H_

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "egretrack/net/frame_link.h"
#include "egretrack/wire/codec.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// Agent that finishes each task immediately with its payload as the result, or,
// between HoldTasks() and ReleaseTasks(), keeps tasks unfinished.
class echo_agent {
 public:
  explicit echo_agent(std::vector<net::tcp_address> entries)
      : links_(entries.size()) {
    dealer_ = *net::frame_dealer::Create(
        entries, [this](std::uint32_t link, std::span<const std::byte> bytes) {
          auto frame = wire::DecodeEntryFrame(bytes);
          if (frame)
            thread_.Post([this, link, messages = std::move(frame->messages)] {
              for (const wire::entry_message& message : messages)
                OnMessage(link, message);
            });
        });
    thread_.Post([this] { SendHello(); });
  }
  ~echo_agent() {
    thread_.Stop();
    dealer_.reset();
  }
  echo_agent(const echo_agent&) = delete;
  echo_agent& operator=(const echo_agent&) = delete;

  // Offers a configuration version to the entries with each further heartbeat.
  void OfferConfig(std::uint64_t version, std::string document) {
    thread_.Post([this, version, document = std::move(document)] {
      config_offer_ = {version, document};
    });
  }
  void HoldTasks() {
    thread_.Post([this] { holding_ = true; });
  }
  void ReleaseTasks() {
    thread_.Post([this] {
      holding_ = false;
      for (const auto& [link, task] : std::exchange(held_tasks_, {}))
        Finish(link, task);
    });
  }
  int dispatches() const { return dispatches_; }

 private:
  static constexpr std::uint32_t kSlots = 8;
  static constexpr milliseconds kHeartbeatInterval{50};

  struct link_state {
    std::uint64_t granted = kSlots;
    std::uint64_t sequence = 0;
  };

  void Send(std::uint32_t link, wire::agent_message message) {
    dealer_->Send(link,
                  wire::EncodeAgentFrame(connection_number{1}, {&message, 1}));
  }

  void SendHello() {
    wire::hello hello{.agent = "agent",
                      .agent_incarnation = incarnation{7},
                      .endpoint = "e",
                      .failure_domain = "f",
                      .slots = kSlots};
    for (std::uint32_t link = 0; link < links_.size(); ++link)
      Send(link, hello);
    SendHeartbeats();
  }

  void SendHeartbeats() {
    for (std::uint32_t link = 0; link < links_.size(); ++link) {
      wire::heartbeat heartbeat{.sequence = ++links_[link].sequence,
                                .endpoint = "e",
                                .slots = kSlots,
                                .config_version = config_offer_.version,
                                .granted_total = links_[link].granted};
      Send(link, heartbeat);
      if (config_offer_.version != 0)
        Send(link, config_offer_);
    }
    thread_.PostAfter(kHeartbeatInterval, [this] { SendHeartbeats(); });
  }

  void OnMessage(std::uint32_t link, const wire::entry_message& message) {
    if (const auto* const task = std::get_if<wire::dispatch>(&message))
      OnDispatch(link, *task);
    if (const auto* const lookup = std::get_if<wire::job_lookup>(&message))
      OnJobLookup(link, *lookup);
  }

  void OnDispatch(std::uint32_t link, const wire::dispatch& task) {
    ++dispatches_;
    if (holding_)
      held_tasks_.emplace_back(link, task);
    else
      Finish(link, task);
  }

  void Finish(std::uint32_t link, const wire::dispatch& task) {
    finished_tasks_.push_back(task);
    wire::task_report report{.job = task.job,
                             .task = task.task,
                             .dispatch = task.number,
                             .state = wire::task_state::kFinished,
                             .run_time = microseconds(1000),
                             .granted_total = ++links_[link].granted,
                             .result = task.payload};
    Send(link, std::move(report));
  }

  void OnJobLookup(std::uint32_t link, const wire::job_lookup& lookup) {
    wire::job_records records;
    records.lookup = lookup.lookup;
    records.job = lookup.job;
    for (const wire::dispatch& task : finished_tasks_) {
      if (task.job != lookup.job)
        continue;
      records.records.push_back({.task = task.task,
                                 .task_count = task.task_count,
                                 .state = wire::task_state::kFinished,
                                 .result = task.payload});
    }
    Send(link, std::move(records));
  }

  traffic_thread thread_;
  std::vector<link_state> links_;
  wire::config_offer config_offer_;
  bool holding_ = false;
  std::vector<std::pair<std::uint32_t, wire::dispatch>> held_tasks_;
  std::vector<wire::dispatch> finished_tasks_;
  std::atomic<int> dispatches_ = 0;
  std::unique_ptr<net::frame_dealer> dealer_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_TESTS_ECHO_AGENT_H_
