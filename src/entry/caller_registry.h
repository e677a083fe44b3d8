#ifndef EGRETRACK_ENTRY_CALLER_REGISTRY_H_
#define EGRETRACK_ENTRY_CALLER_REGISTRY_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "egretrack/decision/entry_core.h"
#include "egretrack/net/http.h"
#include "entry/answer_response.h"

namespace egretrack::entry {

// A request that waits for a command of the core.
struct waiting_caller {
  net::http_exchange_ptr exchange;
  job_question question = job_question::kSubmit;
  // How long a home entry may take if the request is forwarded.
  milliseconds forward_timeout{0};
};

// The open requests by token. Safe from any thread.
class caller_registry {
 public:
  decision::caller_token Add(waiting_caller caller);
  // Nothing when the caller was answered or has gone.
  std::optional<waiting_caller> Find(decision::caller_token token) const;
  std::optional<waiting_caller> Take(decision::caller_token token);
  // Answers the caller, if it still waits.
  void Respond(decision::caller_token token, net::http_response response);

 private:
  mutable std::mutex mutex_;
  std::uint64_t last_token_ = 0;
  std::unordered_map<decision::caller_token, waiting_caller> waiting_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CALLER_REGISTRY_H_
