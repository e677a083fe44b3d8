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

// Executes the commands of the decision core by encoding and sending messages.
// Runs on one traffic thread, so that messages keep their order. Answers may be
// large; they are encoded on another thread, so that they delay no dispatch.
class command_executor {
 public:
  struct dependencies {
    traffic_thread& answer_thread;
    caller_registry& callers;
    agent_transport& agents;
    forwarder& home_forwarder;
    key_binder& keys;
    config_watcher& configuration;
    std::function<void()> drain_finished;
  };

  explicit command_executor(dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

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
  void RespondJson(decision::caller_token caller, std::string body);

  static void SendResponses(caller_registry& callers,
                            std::span<const decision::answer_caller> answers,
                            std::span<report_reply> reports);

  const dependencies dependencies_;
  // Messages and answers of the current batch.
  std::vector<decision::send_to_agent> messages_;
  std::vector<decision::answer_caller> answers_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_COMMAND_EXECUTOR_H_
