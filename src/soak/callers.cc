#include "soak/callers.h"

#include <array>
#include <cstdio>
#include <utility>

#include "platform/standins/job_caller.h"

namespace egretrack::soak {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusGatewayTimeout = 504;
// Delay before a job is sent again after a broken connection, 502 or 504; the
// same as that of the platform's callers.
constexpr milliseconds kResendDelay{1300};
constexpr milliseconds kJobDeadline{2500};
constexpr milliseconds kCallerPause{20};
constexpr int kMaxAttempts = 4;
constexpr std::size_t kMaxTasksPerJob = 6;
constexpr int kMinTaskMs = 20;
constexpr int kMaxTaskMs = 400;
// With callers that leave.
constexpr milliseconds kLongJobDeadline{8000};
constexpr int kMinLongTaskMs = 800;
constexpr int kMaxLongTaskMs = 2500;
constexpr int kMinStayMs = 100;
// One job of so many requires kWorkerLabel.
constexpr std::uint64_t kJobsPerLabel = 3;

}  // namespace

caller_pool::caller_pool(deployment& system,
                         std::uint64_t seed,
                         int thread_count,
                         bool callers_leave)
    : system_(system),
      callers_leave_(callers_leave),
      client_(net::http_client::Create({.connections_per_address = 16})) {
  for (int index = 0; index < thread_count; ++index) {
    threads_.emplace_back([this, seed, index] {
      RunCaller(seed * 100 + static_cast<unsigned>(index));
    });
  }
}

caller_pool::~caller_pool() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
}

void caller_pool::RunCaller(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopping_) {
    ++counts_.jobs;
    const outcome job_outcome = SubmitJob(random, callers_leave_);
    counts_.completed += job_outcome == outcome::kCompleted ? 1 : 0;
    counts_.refused += job_outcome == outcome::kRefused ? 1 : 0;
    counts_.given_up += job_outcome == outcome::kGivenUp ? 1 : 0;
    std::this_thread::sleep_for(kCallerPause);
  }
}

caller_pool::outcome caller_pool::SubmitJob(std::mt19937_64& random,
                                            bool may_leave) {
  const auto random_size = [&random](std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(low, high)(random);
  };
  std::array<char, 17> key{};
  std::snprintf(key.data(), key.size(), "%016llx",
                static_cast<unsigned long long>(++last_job_number_));
  const std::size_t tasks = random_size(1, kMaxTasksPerJob);
  const std::size_t task_ms = may_leave
                                  ? random_size(kMinLongTaskMs, kMaxLongTaskMs)
                                  : random_size(kMinTaskMs, kMaxTaskMs);
  const milliseconds deadline = may_leave ? kLongJobDeadline : kJobDeadline;
  scheduler::job_step step;
  step.count = static_cast<std::uint32_t>(tasks);
  step.need = {1600, 64, 0};
  step.estimate = milliseconds(task_ms);
  scheduler::job_submission job;
  job.path = "/find/" + std::string(key.data());
  job.deadline = deadline;
  job.spec = R"({"ms":)" + std::to_string(task_ms) + R"(,"cpu":1600)";
  if (last_job_number_ % kJobsPerLabel == 0) {
    step.required_label = kWorkerLabel;
    job.spec += R"(,"label":")" + step.required_label + "\"";
  }
  job.spec += "}";
  job.steps.push_back(step);
  const net::http_request request = standins::EncodeSubmission(job);
  bool earlier_attempts_not_sent = true;
  for (int attempt = 0; attempt < kMaxAttempts && !stopping_; ++attempt) {
    const auto entry =
        system_.jobs_address(random_size(0, system_.entries().size() - 1));
    if (!entry) {
      std::this_thread::sleep_for(kCallerPause);
      continue;
    }
    const milliseconds stay =
        may_leave ? milliseconds(random_size(
                        kMinStayMs,
                        static_cast<std::size_t>(kLongJobDeadline.count())))
                  : deadline;
    const net::http_reply reply = client_->CallAndWait(*entry, request, stay);
    const bool retryable = !reply.ok ||
                           reply.response.status == kStatusBadGateway ||
                           reply.response.status == kStatusGatewayTimeout;
    if (!retryable) {
      // A refusal says nothing about runs that an earlier attempt started, so
      // it is checked only if no earlier attempt was sent.
      if (reply.response.status == kStatusOk || earlier_attempts_not_sent)
        return CheckAnswer(key.data(), reply.response, tasks);
      return outcome::kRefused;
    }
    const bool not_sent =
        !reply.ok && reply.failure.stage == net::call_stage::kNotSent;
    earlier_attempts_not_sent = earlier_attempts_not_sent && not_sent;
    std::this_thread::sleep_for(kResendDelay);
  }
  return outcome::kGivenUp;
}

// Records a violation if a refused job has begun a task, or if a job was
// reported as completed before all of its tasks were done.
caller_pool::outcome caller_pool::CheckAnswer(
    const std::string& key,
    const net::http_response& response,
    std::size_t tasks) {
  standins::run_history& history = system_.history();
  if (response.status != kStatusOk) {
    if (history.CountStartedTasks(key) > 0) {
      history.AddViolation("job " + key + " was refused with status " +
                           std::to_string(response.status) +
                           " although a task had begun");
    }
    return outcome::kRefused;
  }
  if (!standins::IsCompleted(response))
    return outcome::kFailed;
  if (history.CountCompletedTasks(key) != tasks) {
    history.AddViolation("job " + key +
                         " was reported as completed although only " +
                         std::to_string(history.CountCompletedTasks(key)) +
                         " of " + std::to_string(tasks) + " tasks are done");
  }
  return outcome::kCompleted;
}

int caller_pool::RunProbes(int jobs) {
  std::mt19937_64 random(1);
  int completed = 0;
  for (int job = 0; job < jobs; ++job)
    completed += SubmitJob(random, false) == outcome::kCompleted ? 1 : 0;
  return completed;
}

}  // namespace egretrack::soak
