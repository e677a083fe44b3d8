#include "scheduler/run_lifecycle.h"

#include <array>
#include <cstddef>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace egretrack::scheduler {
namespace {

namespace front = boost::msm::front;

struct start {};
struct requeue {};
struct confirm {};
struct stop {};
struct end {};

struct definition : front::state_machine_def<definition> {
  struct queued : front::state<> {};
  struct starting : front::state<> {};
  struct running : front::state<> {};
  struct stopping : front::state<> {};
  struct ended : front::state<> {};

  using initial_state = queued;
  // Without an event queue and exception handling, each run takes less memory.
  using no_message_queue = int;
  using no_exception_thrown = int;

  // MSM numbers the states in the order of their first occurrence here, which
  // must match run_phase.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      front::Row<queued,   start,   starting>,
      front::Row<starting, confirm, running>,
      front::Row<running,  stop,    stopping>,
      front::Row<stopping, end,     ended>,
      front::Row<queued,   end,     ended>,
      front::Row<starting, requeue, queued>,
      front::Row<starting, stop,    stopping>,
      front::Row<starting, end,     ended>,
      front::Row<running,  end,     ended>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/, int) {}
};

}  // namespace

struct run_lifecycle::machine {
  boost::msm::back::state_machine<definition> states;

  template <typename Event>
  bool Process() {
    return states.process_event(Event{}) == boost::msm::back::HANDLED_TRUE;
  }
  using handler = bool (machine::*)();
  // Indexed by run_event.
  static constexpr std::array<handler, 5> kHandlers = {
      &machine::Process<start>, &machine::Process<requeue>,
      &machine::Process<confirm>, &machine::Process<stop>,
      &machine::Process<end>};
};

run_lifecycle::run_lifecycle() : machine_(std::make_unique<machine>()) {
  machine_->states.start();
}
run_lifecycle::~run_lifecycle() = default;
run_lifecycle::run_lifecycle(run_lifecycle&&) noexcept = default;
run_lifecycle& run_lifecycle::operator=(run_lifecycle&&) noexcept = default;

bool run_lifecycle::Apply(run_event event) {
  const auto handler = machine::kHandlers[static_cast<std::size_t>(event)];
  return ((*machine_).*handler)();
}

run_phase run_lifecycle::phase() const {
  return static_cast<run_phase>(machine_->states.current_state()[0]);
}

}  // namespace egretrack::scheduler
