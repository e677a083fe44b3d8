#include "decision/entry_drain_lifecycle.h"

#include <array>
#include <cstddef>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace egretrack::decision {
namespace {

namespace front = boost::msm::front;

struct drain {};
struct grace_over {};
struct idle {};

struct definition : front::state_machine_def<definition> {
  struct serving : front::state<> {};
  struct grace : front::state<> {};
  struct finishing : front::state<> {};
  struct finished : front::state<> {};

  using initial_state = serving;
  using no_message_queue = int;
  using no_exception_thrown = int;

  // Boost.MSM numbers the states in the order of their first use in this table,
  // which must be the order of drain_phase.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      front::Row<serving,   drain,      grace>,
      front::Row<grace,     grace_over, finishing>,
      front::Row<finishing, idle,       finished>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/, int) {}
};

}  // namespace

struct entry_drain_lifecycle::machine {
  boost::msm::back::state_machine<definition> states;

  template <typename Event>
  bool Process() {
    return states.process_event(Event{}) == boost::msm::back::HANDLED_TRUE;
  }
  using handler = bool (machine::*)();
  // Indexed by drain_event.
  static constexpr std::array<handler, 3> kHandlers = {
      &machine::Process<drain>, &machine::Process<grace_over>,
      &machine::Process<idle>};
};

entry_drain_lifecycle::entry_drain_lifecycle()
    : machine_(std::make_unique<machine>()) {
  machine_->states.start();
}
entry_drain_lifecycle::~entry_drain_lifecycle() = default;

bool entry_drain_lifecycle::Apply(drain_event event) {
  const auto handler = machine::kHandlers[static_cast<std::size_t>(event)];
  return ((*machine_).*handler)();
}

drain_phase entry_drain_lifecycle::phase() const {
  return static_cast<drain_phase>(machine_->states.current_state()[0]);
}

}  // namespace egretrack::decision
