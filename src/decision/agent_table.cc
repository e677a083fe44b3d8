#include "decision/agent_table.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

constexpr std::size_t kMaxFormer = 8;

// A repeated hello of a replaced incarnation would bring back credits that
// were spent; only a new connection of it counts.
bool IsRepeatedFormer(const entry_agent& agent,
                      connection_number connection,
                      incarnation from) {
  return std::any_of(agent.former.begin(), agent.former.end(),
                     [&](const former_incarnation& former) {
                       return former.agent_incarnation == from &&
                              connection <= former.last;
                     });
}

void Replace(entry_agent& agent) {
  std::erase_if(agent.former, [&agent](const former_incarnation& former) {
    return former.agent_incarnation == agent.agent_incarnation;
  });
  agent.former.push_back({agent.agent_incarnation, agent.connection});
  if (agent.former.size() > kMaxFormer)
    agent.former.erase(agent.former.begin());
}

hello_effect EffectOf(const entry_agent& agent,
                      link_id link,
                      connection_number connection,
                      const wire::hello& hello) {
  if (agent.life.phase() == agent_phase::kAbsent)
    return hello_effect::kRestarted;
  if (agent.agent_incarnation != hello.agent_incarnation) {
    return IsRepeatedFormer(agent, connection, hello.agent_incarnation)
               ? hello_effect::kStale
               : hello_effect::kRestarted;
  }
  if (connection > agent.connection)
    return hello_effect::kReconnected;
  if (connection == agent.connection && link == agent.link)
    return hello_effect::kRepeated;
  return hello_effect::kStale;
}

}  // namespace

hello_binding agent_table::Bind(link_id link,
                                connection_number connection,
                                const wire::hello& hello) {
  auto& agent = agents_[hello.agent];
  if (agent == nullptr) {
    agent = std::make_unique<entry_agent>();
    agent->name = hello.agent;
  }
  const hello_effect effect = EffectOf(*agent, link, connection, hello);
  if (effect == hello_effect::kStale)
    return {agent.get(), effect};
  const auto bound = links_.find(agent->link);
  if (bound != links_.end() && bound->second == agent.get())
    links_.erase(bound);
  links_[link] = agent.get();
  if (effect == hello_effect::kRestarted)
    Replace(*agent);
  agent->link = link;
  agent->connection = connection;
  agent->agent_incarnation = hello.agent_incarnation;
  return {agent.get(), effect};
}

entry_agent* agent_table::Resolve(link_id link,
                                  connection_number connection) const {
  const auto bound = links_.find(link);
  if (bound == links_.end() || bound->second->link != link ||
      bound->second->connection != connection) {
    return nullptr;
  }
  return bound->second;
}

entry_agent* agent_table::Find(std::string_view name) const {
  const auto found = agents_.find(name);
  return found == agents_.end() ? nullptr : found->second.get();
}

bool agent_table::Forget(monotonic_time bound) {
  bool forgot = false;
  for (auto next = agents_.begin(); next != agents_.end();) {
    entry_agent& agent = *next->second;
    if (agent.heard >= bound || !agent.outstanding.empty()) {
      ++next;
      continue;
    }
    const auto link = links_.find(agent.link);
    if (link != links_.end() && link->second == &agent)
      links_.erase(link);
    next = agents_.erase(next);
    forgot = true;
  }
  return forgot;
}

}  // namespace egretrack::decision
