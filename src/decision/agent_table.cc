#include "decision/agent_table.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

constexpr std::size_t kMaxPreviousIncarnations = 8;

// True for a repeated hello of an incarnation that was replaced. Accepting it
// would reset the count of spent credits; only a new connection is accepted.
bool IsRepeatedPreviousHello(const entry_agent& agent,
                             connection_number connection,
                             incarnation sender) {
  return std::any_of(agent.previous_incarnations.begin(),
                     agent.previous_incarnations.end(),
                     [&](const previous_incarnation& previous) {
                       return previous.agent_incarnation == sender &&
                              connection <= previous.last_connection;
                     });
}

void RecordPreviousIncarnation(entry_agent& agent) {
  std::erase_if(agent.previous_incarnations,
                [&agent](const previous_incarnation& previous) {
                  return previous.agent_incarnation == agent.agent_incarnation;
                });
  agent.previous_incarnations.push_back(
      {agent.agent_incarnation, agent.connection});
  if (agent.previous_incarnations.size() > kMaxPreviousIncarnations)
    agent.previous_incarnations.erase(agent.previous_incarnations.begin());
}

hello_effect ClassifyHello(const entry_agent& agent,
                           link_id link,
                           connection_number connection,
                           const wire::hello& hello) {
  if (agent.membership.phase() == agent_phase::kAbsent)
    return hello_effect::kRestarted;
  if (agent.agent_incarnation != hello.agent_incarnation) {
    return IsRepeatedPreviousHello(agent, connection, hello.agent_incarnation)
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
  const hello_effect effect = ClassifyHello(*agent, link, connection, hello);
  if (effect == hello_effect::kStale)
    return {agent.get(), effect};
  const auto bound = links_.find(agent->link);
  if (bound != links_.end() && bound->second == agent.get())
    links_.erase(bound);
  links_[link] = agent.get();
  if (effect == hello_effect::kRestarted)
    RecordPreviousIncarnation(*agent);
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

bool agent_table::RemoveInactive(monotonic_time cutoff) {
  bool removed = false;
  for (auto current = agents_.begin(); current != agents_.end();) {
    entry_agent& agent = *current->second;
    if (agent.last_contact >= cutoff || !agent.outstanding.empty()) {
      ++current;
      continue;
    }
    const auto link = links_.find(agent.link);
    if (link != links_.end() && link->second == &agent)
      links_.erase(link);
    current = agents_.erase(current);
    removed = true;
  }
  return removed;
}

}  // namespace egretrack::decision
