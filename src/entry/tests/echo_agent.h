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

// An agent that finishes each task at once with its payload as the result, or
// holds it while told to.
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
    thread_.Post([this] { Greet(); });
  }
  ~echo_agent() {
    thread_.Stop();
    dealer_.reset();
  }
  echo_agent(const echo_agent&) = delete;
  echo_agent& operator=(const echo_agent&) = delete;

  // Sent with the next heartbeat, as a version that this agent holds.
  void OfferConfig(std::uint64_t version, std::string document) {
    thread_.Post([this, version, document = std::move(document)] {
      offer_ = {version, document};
    });
  }
  void Hold() {
    thread_.Post([this] { holding_ = true; });
  }
  void Release() {
    thread_.Post([this] {
      holding_ = false;
      for (const auto& [link, task] : std::exchange(held_, {}))
        Finish(link, task);
    });
  }
  int dispatches() const { return dispatches_; }

 private:
  static constexpr std::uint32_t kSlots = 8;
  static constexpr milliseconds kHeartbeat{50};

  struct link_state {
    std::uint64_t granted = kSlots;
    std::uint64_t sequence = 0;
  };

  void Send(std::uint32_t link, wire::agent_message message) {
    dealer_->Send(link,
                  wire::EncodeAgentFrame(connection_number{1}, {&message, 1}));
  }

  void Greet() {
    wire::hello hello{.agent = "agent",
                      .agent_incarnation = incarnation{7},
                      .endpoint = "e",
                      .failure_domain = "f",
                      .slots = kSlots};
    for (std::uint32_t link = 0; link < links_.size(); ++link)
      Send(link, hello);
    Beat();
  }

  void Beat() {
    for (std::uint32_t link = 0; link < links_.size(); ++link) {
      wire::heartbeat beat{.sequence = ++links_[link].sequence,
                           .endpoint = "e",
                           .slots = kSlots,
                           .config_version = offer_.version,
                           .granted_total = links_[link].granted};
      Send(link, beat);
      if (offer_.version != 0)
        Send(link, offer_);
    }
    thread_.PostAfter(kHeartbeat, [this] { Beat(); });
  }

  void OnMessage(std::uint32_t link, const wire::entry_message& message) {
    if (const auto* const task = std::get_if<wire::dispatch>(&message))
      OnDispatch(link, *task);
    if (const auto* const lookup = std::get_if<wire::job_lookup>(&message))
      OnLookup(link, *lookup);
  }

  void OnDispatch(std::uint32_t link, const wire::dispatch& task) {
    ++dispatches_;
    if (holding_)
      held_.emplace_back(link, task);
    else
      Finish(link, task);
  }

  void Finish(std::uint32_t link, const wire::dispatch& task) {
    finished_.push_back(task);
    wire::task_report report{.job = task.job,
                             .task = task.task,
                             .dispatch = task.number,
                             .state = wire::task_state::kFinished,
                             .run_time = microseconds(1000),
                             .granted_total = ++links_[link].granted,
                             .result = task.payload};
    Send(link, std::move(report));
  }

  void OnLookup(std::uint32_t link, const wire::job_lookup& lookup) {
    wire::job_records records;
    records.lookup = lookup.lookup;
    records.job = lookup.job;
    for (const wire::dispatch& task : finished_) {
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
  wire::config_offer offer_;
  bool holding_ = false;
  std::vector<std::pair<std::uint32_t, wire::dispatch>> held_;
  std::vector<wire::dispatch> finished_;
  std::atomic<int> dispatches_ = 0;
  std::unique_ptr<net::frame_dealer> dealer_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_TESTS_ECHO_AGENT_H_
