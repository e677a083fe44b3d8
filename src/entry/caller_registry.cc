#include "entry/caller_registry.h"

#include <utility>

namespace egretrack::entry {

decision::caller_token caller_registry::Add(waiting_caller caller) {
  const std::lock_guard lock(mutex_);
  const decision::caller_token token{++last_token_};
  waiting_.emplace(token, std::move(caller));
  return token;
}

std::optional<waiting_caller> caller_registry::Find(
    decision::caller_token token) const {
  const std::lock_guard lock(mutex_);
  const auto found = waiting_.find(token);
  if (found == waiting_.end())
    return std::nullopt;
  return found->second;
}

std::optional<waiting_caller> caller_registry::Take(
    decision::caller_token token) {
  const std::lock_guard lock(mutex_);
  auto node = waiting_.extract(token);
  if (node.empty())
    return std::nullopt;
  return std::move(node.mapped());
}

void caller_registry::Respond(decision::caller_token token,
                              net::http_response response) {
  if (const auto caller = Take(token))
    caller->exchange->Respond(std::move(response));
}

}  // namespace egretrack::entry
