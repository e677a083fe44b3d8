#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr microseconds kLookupBound = milliseconds(500);

}  // namespace

void entry_core_impl::On(home_unreachable& event) {
  StartLookup(event.caller, event.id);
}

void entry_core_impl::StartLookup(caller_token caller, const job_id& id) {
  lookup* running = lookups_.Find(id);
  if (running == nullptr) {
    std::vector<const entry_agent*> asked;
    std::vector<incarnation> incarnations;
    agents_.ForEach([&](const entry_agent& agent) {
      if (!agent.life.reachable())
        return;
      asked.push_back(&agent);
      incarnations.push_back(agent.agent_incarnation);
    });
    running = &lookups_.Start(id, std::move(incarnations));
    for (const entry_agent* agent : asked)
      Send(*agent, wire::job_lookup{running->number(), id});
    timers_.Add(now_ + kLookupBound,
                {&entry_core_impl::OnLookupBound, running->number()});
  }
  const waiting_at place{0, running->number()};
  if (callers_.try_emplace(caller, place).second)
    running->callers().push_back(caller);
  if (running->complete())
    EndLookup(*running);
}

void entry_core_impl::OnLookupBound(std::uint64_t number) {
  if (lookup* running = lookups_.FindNumber(number))
    EndLookup(*running);
}

void entry_core_impl::EndLookup(lookup& ended) {
  const job_answer_ptr answer = ended.Conclude();
  const std::vector<caller_token> callers = std::move(ended.callers());
  lookups_.Remove(ended);
  for (const caller_token caller : callers)
    Answer(caller, answer);
}

}  // namespace egretrack::decision
