#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr microseconds kLookupTimeout = milliseconds(500);

}  // namespace

void entry_core_impl::On(home_unreachable& event) {
  StartLookup(event.caller, event.id);
}

void entry_core_impl::StartLookup(caller_token caller, const job_id& id) {
  lookup* active = lookups_.Find(id);
  if (active == nullptr) {
    std::vector<const entry_agent*> asked;
    std::vector<incarnation> incarnations;
    agents_.ForEach([&](const entry_agent& agent) {
      if (!agent.membership.reachable())
        return;
      asked.push_back(&agent);
      incarnations.push_back(agent.agent_incarnation);
    });
    active = &lookups_.Start(id, std::move(incarnations));
    for (const entry_agent* agent : asked)
      Send(*agent, wire::job_lookup{active->number(), id});
    timers_.Add(now_ + kLookupTimeout,
                {&entry_core_impl::OnLookupTimeout, active->number()});
  }
  const caller_wait wait{0, active->number()};
  if (waiting_callers_.try_emplace(caller, wait).second)
    active->callers().push_back(caller);
  if (active->complete())
    EndLookup(*active);
}

void entry_core_impl::OnLookupTimeout(std::uint64_t number) {
  if (lookup* active = lookups_.FindByNumber(number))
    EndLookup(*active);
}

void entry_core_impl::EndLookup(lookup& finished) {
  const job_answer_ptr answer = finished.TakeAnswer();
  const std::vector<caller_token> callers = std::move(finished.callers());
  lookups_.Remove(finished);
  for (const caller_token caller : callers)
    Answer(caller, answer);
}

}  // namespace egretrack::decision
