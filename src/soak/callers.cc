#include "soak/callers.h"

#include <array>
#include <cstdio>
#include <utility>

#include "platform/standins/job_caller.h"

namespace egretrack::soak {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
// As the platform's callers: after a broken connection, 502 or 504.
constexpr milliseconds kResend{1300};
constexpr milliseconds kPatience{2500};  // Deadline of a job.
constexpr milliseconds kPause{20};
constexpr int kMaxTries = 4;
constexpr std::size_t kMaxTasks = 6;
constexpr int kShortestMs = 20;
constexpr int kLongestMs = 400;

}  // namespace

callers::callers(deployment& system, std::uint64_t seed, int threads)
    : system_(system),
      client_(net::http_client::Create({.connections_per_address = 16})) {
  for (int index = 0; index < threads; ++index) {
    threads_.emplace_back([this, seed, index] {
      Run(seed * 100 + static_cast<unsigned>(index));
    });
  }
}

callers::~callers() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
}

void callers::Run(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopping_) {
    ++counts_.jobs;
    const outcome ended = HandIn(random);
    counts_.completed += ended == outcome::kCompleted ? 1 : 0;
    counts_.refused += ended == outcome::kRefused ? 1 : 0;
    counts_.given_up += ended == outcome::kGivenUp ? 1 : 0;
    std::this_thread::sleep_for(kPause);
  }
}

callers::outcome callers::HandIn(std::mt19937_64& random) {
  const auto pick = [&random](std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(low, high)(random);
  };
  std::array<char, 17> key{};
  std::snprintf(key.data(), key.size(), "%016llx",
                static_cast<unsigned long long>(++last_job_));
  const std::size_t tasks = pick(1, kMaxTasks);
  const std::size_t length = pick(kShortestMs, kLongestMs);
  scheduler::job_step step;
  step.count = static_cast<std::uint32_t>(tasks);
  step.need = {1600, 64, 0};
  step.estimate = milliseconds(length);
  scheduler::job_submission job;
  job.path = "/find/" + std::string(key.data());
  job.deadline = kPatience;
  job.spec = R"({"ms":)" + std::to_string(length) + R"(,"cpu":1600})";
  job.steps.push_back(step);
  const net::http_request request = standins::EncodeSubmission(job);
  bool rejected_only = true;
  for (int attempt = 0; attempt < kMaxTries && !stopping_; ++attempt) {
    const auto entry =
        system_.jobs_address(pick(0, system_.entries().size() - 1));
    if (!entry) {
      std::this_thread::sleep_for(kPause);
      continue;
    }
    const net::http_reply reply =
        client_->CallAndWait(*entry, request, kPatience);
    const bool again = !reply.ok || reply.response.status == kBadGateway ||
                       reply.response.status == kGatewayTimeout;
    if (!again) {
      if (reply.response.status == kOk || rejected_only)
        return Judge(key.data(), reply.response, tasks);
      return outcome::kRefused;
    }
    const bool not_sent =
        !reply.ok && reply.failure.stage == net::call_stage::kNotSent;
    rejected_only = rejected_only && not_sent;
    std::this_thread::sleep_for(kResend);
  }
  return outcome::kGivenUp;
}

// A refusal must be true, and a completed job complete.
callers::outcome callers::Judge(const std::string& key,
                                const net::http_response& response,
                                std::size_t tasks) {
  standins::run_history& history = system_.history();
  if (response.status != kOk) {
    if (history.CountStartedTasks(key) > 0) {
      history.AddViolation("job " + key + " was refused with " +
                           std::to_string(response.status) +
                           " although a task began");
    }
    return outcome::kRefused;
  }
  if (!standins::IsCompleted(response))
    return outcome::kFailed;
  if (history.CountCompletedTasks(key) != tasks) {
    history.AddViolation("job " + key + " was completed although only " +
                         std::to_string(history.CountCompletedTasks(key)) +
                         " of " + std::to_string(tasks) + " tasks are done");
  }
  return outcome::kCompleted;
}

int callers::Probe(int jobs) {
  std::mt19937_64 random(1);
  int completed = 0;
  for (int number = 0; number < jobs; ++number)
    completed += HandIn(random) == outcome::kCompleted ? 1 : 0;
  return completed;
}

}  // namespace egretrack::soak
