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

struct caller_counts {
  std::atomic<std::uint64_t> jobs{0};
  std::atomic<std::uint64_t> completed{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> given_up{0};
};

// Callers that hand in random jobs, send them again as the platform's callers
// do, and check what they are told against what the workers ran.
class callers {
 public:
  callers(deployment& system, std::uint64_t seed, int threads);
  ~callers();
  callers(const callers&) = delete;
  callers& operator=(const callers&) = delete;

  const caller_counts& counts() const { return counts_; }
  // Hands in jobs one after the other and returns how many were completed.
  int Probe(int jobs);

 private:
  enum class outcome : std::uint8_t { kCompleted, kFailed, kRefused, kGivenUp };

  void Run(std::uint64_t seed);
  outcome HandIn(std::mt19937_64& random);
  outcome Judge(const std::string& key,
                const net::http_response& response,
                std::size_t tasks);

  deployment& system_;
  caller_counts counts_;
  std::atomic<std::uint64_t> last_job_{0};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<net::http_client> client_;
  std::vector<std::thread> threads_;
};

}  // namespace egretrack::soak

#endif  // EGRETRACK_SOAK_CALLERS_H_
