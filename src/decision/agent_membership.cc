#include "decision/agent_membership.h"

#include <array>
#include <cstddef>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace egretrack::decision {
namespace {

namespace front = boost::msm::front;

struct heard {};
struct silence {};
struct drain {};

struct definition : front::state_machine_def<definition> {
  struct absent : front::state<> {};
  struct serving : front::state<> {};
  struct silent : front::state<> {};
  struct draining : front::state<> {};

  using initial_state = absent;
  using no_message_queue = int;
  using no_exception_thrown = int;

  // The order of first mention numbers the states as in agent_phase. A
  // draining agent that says it no longer drains serves again.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      front::Row<absent,   heard,   serving>,
      front::Row<serving,  silence, silent>,
      front::Row<silent,   drain,   draining>,
      front::Row<absent,   drain,   draining>,
      front::Row<serving,  heard,   front::none>,
      front::Row<serving,  drain,   draining>,
      front::Row<silent,   heard,   serving>,
      front::Row<draining, heard,   serving>,
      front::Row<draining, drain,   front::none>,
      front::Row<draining, silence, silent>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/, int) {}
};

}  // namespace

struct agent_membership::machine {
  boost::msm::back::state_machine<definition> states;

  template <typename Event>
  bool Process() {
    return states.process_event(Event{}) == boost::msm::back::HANDLED_TRUE;
  }
  using step = bool (machine::*)();
  // Indexed by membership_event.
  static constexpr std::array<step, 3> kSteps = {&machine::Process<heard>,
                                                 &machine::Process<silence>,
                                                 &machine::Process<drain>};
};

agent_membership::agent_membership() : machine_(std::make_unique<machine>()) {
  machine_->states.start();
}
agent_membership::~agent_membership() = default;

bool agent_membership::Apply(membership_event signal) {
  const auto step = machine::kSteps[static_cast<std::size_t>(signal)];
  return ((*machine_).*step)();
}

agent_phase agent_membership::phase() const {
  return static_cast<agent_phase>(machine_->states.current_state()[0]);
}

}  // namespace egretrack::decision
