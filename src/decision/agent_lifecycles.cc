#include "decision/agent_lifecycles.h"

#include <array>
#include <cstddef>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace egretrack::decision {
namespace {

namespace msm = boost::msm;

// Event type of one step enumerator.
template <auto Step>
struct step_event {};

template <auto Phase>
struct phase_state : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event& /*event*/, Machine& machine) {
    machine.phase = Phase;
  }
};

template <auto From, auto Step, auto To>
using transition =
    msm::front::Row<phase_state<From>, step_event<Step>, phase_state<To>>;

// Base of all machine definitions. The event queues of MSM are disabled to keep
// the many task records small.
template <typename Definition, auto Initial>
struct definition_base : msm::front::state_machine_def<Definition> {
  using no_message_queue = int;
  using no_exception_thrown = int;
  using initial_state = phase_state<Initial>;

  decltype(Initial) phase = Initial;

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/, int) {}
};

struct task_definition : definition_base<task_definition, task_phase::kNew> {
  using from = task_phase;
  using by = task_step;
  struct transition_table
      : boost::mpl::vector<
            transition<from::kNew, by::kHold, from::kHeld>,
            transition<from::kNew, by::kStart, from::kStarted>,
            transition<from::kNew, by::kRefuse, from::kRefused>,
            transition<from::kHeld, by::kStart, from::kStarted>,
            transition<from::kHeld, by::kRefuse, from::kRefused>,
            // The endpoint was unreachable, or replied that it did
            // not run the task.
            transition<from::kStarted, by::kRefuse, from::kRefused>,
            transition<from::kStarted, by::kFinish, from::kFinished>,
            transition<from::kStarted, by::kFail, from::kFailed>,
            transition<from::kStarted, by::kCut, from::kCut>> {};
};

struct connection_definition
    : definition_base<connection_definition, connection_phase::kOpening> {
  using from = connection_phase;
  using by = connection_step;
  struct transition_table
      : boost::mpl::vector<
            transition<from::kOpening, by::kReply, from::kEstablished>,
            transition<from::kOpening, by::kOpen, from::kOpening>,
            transition<from::kEstablished, by::kOpen, from::kOpening>> {};
};

struct drain_definition
    : definition_base<drain_definition, drain_phase::kServing> {
  using from = drain_phase;
  using by = drain_step;
  struct transition_table
      : boost::mpl::vector<
            transition<from::kServing, by::kDrain, from::kDraining>,
            transition<from::kDraining, by::kIdle, from::kConfirming>,
            transition<from::kConfirming, by::kConfirmed, from::kFinished>> {};
};

template <auto Step, typename Machine>
bool Process(Machine& machine) {
  return machine.process_event(step_event<Step>()) == msm::back::HANDLED_TRUE;
}

// Indexed by the step enumerator.
template <typename Machine, auto... Steps>
constexpr std::array<bool (*)(Machine&), sizeof...(Steps)> kStepHandlers{
    &Process<Steps, Machine>...};

using task_machine = msm::back::state_machine<task_definition>;
using connection_machine = msm::back::state_machine<connection_definition>;
using drain_machine = msm::back::state_machine<drain_definition>;

}  // namespace

template <>
struct lifecycle<task_phase, task_step>::machine : task_machine {
  static constexpr auto& kSteps = kStepHandlers<task_machine,
                                                task_step::kHold,
                                                task_step::kStart,
                                                task_step::kRefuse,
                                                task_step::kFinish,
                                                task_step::kFail,
                                                task_step::kCut>;
};

template <>
struct lifecycle<connection_phase, connection_step>::machine
    : connection_machine {
  static constexpr auto& kSteps = kStepHandlers<connection_machine,
                                                connection_step::kOpen,
                                                connection_step::kReply>;
};

template <>
struct lifecycle<drain_phase, drain_step>::machine : drain_machine {
  static constexpr auto& kSteps = kStepHandlers<drain_machine,
                                                drain_step::kDrain,
                                                drain_step::kIdle,
                                                drain_step::kConfirmed>;
};

template <typename Phase, typename Step>
lifecycle<Phase, Step>::lifecycle() : machine_(std::make_unique<machine>()) {
  machine_->start();
}

template <typename Phase, typename Step>
lifecycle<Phase, Step>::~lifecycle() = default;

template <typename Phase, typename Step>
lifecycle<Phase, Step>::lifecycle(lifecycle&&) noexcept = default;

template <typename Phase, typename Step>
lifecycle<Phase, Step>& lifecycle<Phase, Step>::operator=(
    lifecycle&&) noexcept = default;

template <typename Phase, typename Step>
bool lifecycle<Phase, Step>::Apply(Step step) {
  return machine::kSteps[static_cast<std::size_t>(step)](*machine_);
}

template <typename Phase, typename Step>
Phase lifecycle<Phase, Step>::phase() const {
  return machine_->phase;
}

template class lifecycle<task_phase, task_step>;
template class lifecycle<connection_phase, connection_step>;
template class lifecycle<drain_phase, drain_step>;

}  // namespace egretrack::decision
