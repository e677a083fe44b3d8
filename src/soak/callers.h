#ifndef EGRETRACK_SOAK_CALLERS_H_
#define EGRETRACK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "egretrack/net/http.h"
#include "soak/deployment.h"

namespace egretrack::soak {

// Totals over all callers of a pool.
struct caller_counts {
  std::atomic<std::uint64_t> jobs{0};
  std::atomic<std::uint64_t> completed{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> given_up{0};  // No attempt got a final answer.
};

// Threads that submit random jobs, resubmit them after the same failures as the
// platform's callers, and check each answer against the runs that the workers
// recorded.
class caller_pool {
 public:
  // With `callers_leave`, jobs take longer than most callers wait: they close
  // their connections and submit their jobs to another entry.
  caller_pool(deployment& system,
              std::uint64_t seed,
              int thread_count,
              bool callers_leave);
  ~caller_pool();
  caller_pool(const caller_pool&) = delete;
  caller_pool& operator=(const caller_pool&) = delete;

  const caller_counts& counts() const { return counts_; }
  // Submits jobs one after another on the calling thread and returns how many
  // of them completed.
  int RunProbes(int jobs);

 private:
  enum class outcome : std::uint8_t { kCompleted, kFailed, kRefused, kGivenUp };

  void RunCaller(std::uint64_t seed);
  outcome SubmitJob(std::mt19937_64& random, bool may_leave);
  outcome CheckAnswer(const std::string& key,
                      const net::http_response& response,
                      std::size_t tasks);

  deployment& system_;
  const bool callers_leave_;
  caller_counts counts_;
  std::atomic<std::uint64_t> last_job_number_{0};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<net::http_client> client_;
  std::vector<std::thread> threads_;
};

}  // namespace egretrack::soak

#endif  // EGRETRACK_SOAK_CALLERS_H_
