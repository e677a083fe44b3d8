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

// MSM event type of one enumerator.
template <auto Event>
struct event_type {};

template <auto Phase>
struct phase_state : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event& /*event*/, Machine& machine) {
    machine.phase = Phase;
  }
};

template <auto From, auto Event, auto To>
using transition =
    msm::front::Row<phase_state<From>, event_type<Event>, phase_state<To>>;

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

struct task_definition
    : definition_base<task_definition, agent_task_phase::kNew> {
  using phases = agent_task_phase;
  using events = agent_task_event;
  struct transition_table
      : boost::mpl::vector<
            transition<phases::kNew, events::kHold, phases::kHeld>,
            transition<phases::kNew, events::kStart, phases::kStarted>,
            transition<phases::kNew, events::kRefuse, phases::kRefused>,
            transition<phases::kHeld, events::kStart, phases::kStarted>,
            transition<phases::kHeld, events::kRefuse, phases::kRefused>,
            // The endpoint was unreachable, or replied that it did not run the
            // task.
            transition<phases::kStarted, events::kRefuse, phases::kRefused>,
            transition<phases::kStarted, events::kFinish, phases::kFinished>,
            transition<phases::kStarted, events::kFail, phases::kFailed>,
            transition<phases::kStarted, events::kCut, phases::kCut>> {};
};

struct connection_definition
    : definition_base<connection_definition, connection_phase::kOpening> {
  using phases = connection_phase;
  using events = connection_event;
  struct transition_table
      : boost::mpl::vector<
            transition<phases::kOpening, events::kReply, phases::kEstablished>,
            transition<phases::kOpening, events::kOpen, phases::kOpening>,
            transition<phases::kEstablished, events::kOpen, phases::kOpening>> {
  };
};

struct drain_definition
    : definition_base<drain_definition, agent_drain_phase::kServing> {
  using phases = agent_drain_phase;
  using events = agent_drain_event;
  struct transition_table
      : boost::mpl::vector<
            transition<phases::kServing, events::kDrain, phases::kDraining>,
            transition<phases::kDraining, events::kIdle, phases::kConfirming>,
            transition<phases::kConfirming,
                       events::kConfirmed,
                       phases::kFinished>> {};
};

template <auto Event, typename Machine>
bool Process(Machine& machine) {
  return machine.process_event(event_type<Event>()) == msm::back::HANDLED_TRUE;
}

// Indexed by the event enumerator.
template <typename Machine, auto... Events>
constexpr std::array<bool (*)(Machine&), sizeof...(Events)> kEventHandlers{
    &Process<Events, Machine>...};

using task_machine = msm::back::state_machine<task_definition>;
using connection_machine = msm::back::state_machine<connection_definition>;
using drain_machine = msm::back::state_machine<drain_definition>;

}  // namespace

template <>
struct lifecycle<agent_task_phase, agent_task_event>::machine : task_machine {
  static constexpr auto& kHandlers = kEventHandlers<task_machine,
                                                    agent_task_event::kHold,
                                                    agent_task_event::kStart,
                                                    agent_task_event::kRefuse,
                                                    agent_task_event::kFinish,
                                                    agent_task_event::kFail,
                                                    agent_task_event::kCut>;
};

template <>
struct lifecycle<connection_phase, connection_event>::machine
    : connection_machine {
  static constexpr auto& kHandlers = kEventHandlers<connection_machine,
                                                    connection_event::kOpen,
                                                    connection_event::kReply>;
};

template <>
struct lifecycle<agent_drain_phase, agent_drain_event>::machine
    : drain_machine {
  static constexpr auto& kHandlers =
      kEventHandlers<drain_machine,
                     agent_drain_event::kDrain,
                     agent_drain_event::kIdle,
                     agent_drain_event::kConfirmed>;
};

template <typename Phase, typename Event>
lifecycle<Phase, Event>::lifecycle() : machine_(std::make_unique<machine>()) {
  machine_->start();
}

template <typename Phase, typename Event>
lifecycle<Phase, Event>::~lifecycle() = default;

template <typename Phase, typename Event>
lifecycle<Phase, Event>::lifecycle(lifecycle&&) noexcept = default;

template <typename Phase, typename Event>
lifecycle<Phase, Event>& lifecycle<Phase, Event>::operator=(
    lifecycle&&) noexcept = default;

template <typename Phase, typename Event>
bool lifecycle<Phase, Event>::Apply(Event event) {
  return machine::kHandlers[static_cast<std::size_t>(event)](*machine_);
}

template <typename Phase, typename Event>
Phase lifecycle<Phase, Event>::phase() const {
  return machine_->phase;
}

template class lifecycle<agent_task_phase, agent_task_event>;
template class lifecycle<connection_phase, connection_event>;
template class lifecycle<agent_drain_phase, agent_drain_event>;

}  // namespace egretrack::decision
