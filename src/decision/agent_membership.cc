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

struct alive {};
struct timeout {};
struct drain {};

struct definition : front::state_machine_def<definition> {
  struct absent : front::state<> {};
  struct serving : front::state<> {};
  struct silent : front::state<> {};
  struct draining : front::state<> {};

  using initial_state = absent;
  using no_message_queue = int;
  using no_exception_thrown = int;

  // MSM numbers the states in the order in which they first appear here, which
  // must match agent_phase. A draining agent that reports that it is no longer
  // draining serves again.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      front::Row<absent,   alive,   serving>,
      front::Row<serving,  timeout, silent>,
      front::Row<silent,   drain,   draining>,
      front::Row<absent,   drain,   draining>,
      front::Row<serving,  alive,   front::none>,
      front::Row<serving,  drain,   draining>,
      front::Row<silent,   alive,   serving>,
      front::Row<draining, alive,   serving>,
      front::Row<draining, drain,   front::none>,
      front::Row<draining, timeout, silent>> {};
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
  using handler = bool (machine::*)();
  // Indexed by membership_event.
  static constexpr std::array<handler, 3> kHandlers = {
      &machine::Process<alive>, &machine::Process<timeout>,
      &machine::Process<drain>};
};

agent_membership::agent_membership() : machine_(std::make_unique<machine>()) {
  machine_->states.start();
}
agent_membership::~agent_membership() = default;

bool agent_membership::Apply(membership_event event) {
  const auto handler = machine::kHandlers[static_cast<std::size_t>(event)];
  return ((*machine_).*handler)();
}

agent_phase agent_membership::phase() const {
  return static_cast<agent_phase>(machine_->states.current_state()[0]);
}

}  // namespace egretrack::decision
