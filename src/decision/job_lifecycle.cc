#include "decision/job_lifecycle.h"

#include <array>
#include <cstddef>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace egretrack::decision {
namespace {

namespace front = boost::msm::front;

struct bind {};
struct admit {};
struct dispatch {};
struct close {};
struct end {};

struct definition : front::state_machine_def<definition> {
  struct created : front::state<> {};
  struct binding : front::state<> {};
  struct queued : front::state<> {};
  struct running : front::state<> {};
  struct closing : front::state<> {};
  struct ended : front::state<> {};

  using initial_state = created;
  // Disabling the event queue and exception handling keeps a job small.
  using no_message_queue = int;
  using no_exception_thrown = int;

  // Boost.MSM numbers the states in the order of their first use in this table,
  // which must be the order of job_phase.
  // clang-format off
  struct transition_table : boost::mpl::vector<
      front::Row<created, bind,     binding>,
      front::Row<binding, admit,    queued>,
      front::Row<queued,  dispatch, running>,
      front::Row<running, close,    closing>,
      front::Row<closing, end,      ended>,
      front::Row<created, admit,    queued>,
      front::Row<created, end,      ended>,
      front::Row<binding, end,      ended>,
      front::Row<queued,  close,    closing>,
      front::Row<queued,  end,      ended>,
      front::Row<running, dispatch, front::none>,
      front::Row<running, end,      ended>> {};
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/, int) {}
};

}  // namespace

struct job_lifecycle::machine {
  using backend = boost::msm::back::state_machine<definition>;
  backend states;

  template <typename Event>
  bool Process() {
    return states.process_event(Event{}) == boost::msm::back::HANDLED_TRUE;
  }
  using handler = bool (machine::*)();
  // Indexed by job_event.
  static constexpr std::array<handler, 5> kHandlers = {
      &machine::Process<bind>, &machine::Process<admit>,
      &machine::Process<dispatch>, &machine::Process<close>,
      &machine::Process<end>};
};

job_lifecycle::job_lifecycle() : machine_(std::make_unique<machine>()) {
  machine_->states.start();
}
job_lifecycle::~job_lifecycle() = default;
job_lifecycle::job_lifecycle(job_lifecycle&&) noexcept = default;
job_lifecycle& job_lifecycle::operator=(job_lifecycle&&) noexcept = default;

bool job_lifecycle::Apply(job_event event) {
  const auto handler = machine::kHandlers[static_cast<std::size_t>(event)];
  return ((*machine_).*handler)();
}

job_phase job_lifecycle::phase() const {
  return static_cast<job_phase>(machine_->states.current_state()[0]);
}

}  // namespace egretrack::decision
