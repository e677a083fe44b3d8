#ifndef EGRETRACK_ENTRY_COMMAND_EXECUTOR_H_
#define EGRETRACK_ENTRY_COMMAND_EXECUTOR_H_

#include <functional>
#include <span>
#include <vector>

#include "entry/agent_transport.h"
#include "entry/caller_registry.h"
#include "entry/config_watcher.h"
#include "entry/entry_control.h"
#include "entry/forwarder.h"
#include "entry/key_binder.h"

namespace egretrack::entry {

// Carries out the commands of the core: encodes and sends. Runs on one traffic
// thread, so that messages keep their order; answers, which may be large, are
// encoded on another, so that no dispatch waits behind them.
class command_executor {
 public:
  struct parts {
    traffic_thread& answer_thread;
    caller_registry& waiting;
    agent_transport& agents;
    forwarder& homes;
    key_binder& keys;
    config_watcher& configuration;
    std::function<void()> drain_finished;
  };

  explicit command_executor(parts targets) : parts_(std::move(targets)) {}

  void Execute(control_output output);

 private:
  void On(decision::send_to_agent& command);
  void On(decision::job_id_assigned& command);
  void On(decision::answer_caller& command);
  void On(decision::reserve_answer& command);
  void On(decision::forward_to_home& command);
  void On(decision::bind_key& command);
  void On(decision::drain_answer& command);
  void On(decision::status_answer& command);
  void On(decision::job_ended& command);
  void On(decision::configuration_offered& command);
  void On(decision::drain_finished& command);
  void Respond(decision::caller_token caller, std::string body);

  static void RespondAll(caller_registry& waiting,
                         std::span<const decision::answer_caller> answers,
                         std::span<report_reply> reports);

  const parts parts_;
  // Of the current batch.
  std::vector<decision::send_to_agent> frames_;
  std::vector<decision::answer_caller> answers_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_COMMAND_EXECUTOR_H_
