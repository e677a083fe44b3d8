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

// An open request, to be answered by a command of the decision core.
struct waiting_caller {
  net::http_exchange_ptr exchange;
  job_operation operation = job_operation::kSubmit;
  // Timeout of the call to the home entry if the request is forwarded.
  milliseconds forward_timeout{0};
};

// The open requests by token. Thread-safe.
class caller_registry {
 public:
  decision::caller_token Add(waiting_caller caller);
  // Empty if the request was answered or the caller has disconnected.
  std::optional<waiting_caller> Find(decision::caller_token token) const;
  // Removes the request and returns it; empty as for Find().
  std::optional<waiting_caller> Take(decision::caller_token token);
  // Removes the request and sends its response, if the request is still open.
  void Respond(decision::caller_token token, net::http_response response);

 private:
  mutable std::mutex mutex_;
  std::uint64_t last_token_ = 0;
  std::unordered_map<decision::caller_token, waiting_caller> waiting_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CALLER_REGISTRY_H_
