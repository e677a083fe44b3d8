#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "egretrack/scheduler/deployment_limits.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

using wire::run_end;

constexpr milliseconds kStep{1};
constexpr milliseconds kStopTime{30};

// A worker whose calls take effect at once, also on the lease under which all
// of its runs execute, and are answered after a time that
// `answer_time` gives; nullopt for never. The supervisor learns of an answer
// only if it arrives within the time limit of the call.
class simulated_worker {
 public:
  using answer_time = std::function<std::optional<milliseconds>()>;

  explicit simulated_worker(
      const supervisor_options& options = supervisor_driver::Options())
      : driver(options) {
    driver.ConnectIdleWorker();
    scanned_ = driver.commands.size();
  }

  // Advances the clock while `entries` answer heartbeats.
  void Run(microseconds time,
           const std::vector<entry_index>& entries = {0, 1}) {
    for (microseconds passed{0}; passed < time; passed += kStep) {
      driver.AdvanceTime(kStep);
      driver.AnswerHeartbeats(entries);
      EndRuns();
      Deliver();
      HandleCalls();
    }
  }

  // Number of decisions of the kind.
  std::size_t Count(decision_kind kind) const {
    std::size_t count = 0;
    for (const auto& decision : driver.Commands<decision_record>())
      count += decision.kind == kind ? 1 : 0;
    return count;
  }

  void AnswerWithin(milliseconds longest) {
    answer_after = [this, longest] {
      return milliseconds(std::uniform_int_distribution<std::int64_t>(
          0, longest.count())(random));
    };
  }

  supervisor_driver driver;
  std::mt19937_64 random;
  answer_time answer_after = [] { return milliseconds(1); };
  bool stops_arrive = true;
  milliseconds run_time{300};
  std::uint32_t last_task = 0;
  std::vector<milliseconds> limits;  // Of all calls.

  // The polls without an answer after which the worker was silent.
  struct silence {
    std::size_t polls;
    microseconds time;  // Since the first one was sent.
  };
  std::vector<silence> silences;

 private:
  struct outcome {
    microseconds call_time;
    bool answered;
  };

  // Calls `deliver` when the answer arrives or the limit is over.
  void Await(microseconds wait,
             milliseconds limit,
             bool answers,
             std::function<void(outcome)> deliver) {
    limits.push_back(limit);
    const auto after = answer_after();
    const bool answered = answers && after && *after <= limit;
    const microseconds time = wait + (answered ? *after : limit);
    due_.emplace(driver.now + time,
                 [deliver = std::move(deliver), time, answered] {
                   deliver({time, answered});
                 });
  }

  void HandleCalls() {
    for (; scanned_ < driver.commands.size(); ++scanned_) {
      const supervisor_command command = driver.commands[scanned_];
      if (const auto* start = std::get_if<start_run>(&command))
        OnStart(*start);
      else if (const auto* stop = std::get_if<stop_run>(&command))
        OnStop(*stop);
      else if (const auto* poll = std::get_if<poll_worker>(&command))
        OnPoll(*poll);
      else if (const auto* decision = std::get_if<decision_record>(&command))
        OnDecision(*decision);
    }
  }

  void OnDecision(const decision_record& decision) {
    if (decision.kind == decision_kind::kWorkerSilent)
      silences.push_back({unanswered_polls_, driver.now - first_unanswered_});
  }

  void OnStart(const start_run& start) {
    lease_end_ = std::max(lease_end_, start.lease_until);
    ends_.try_emplace(start.id, driver.now + run_time);
    Await({}, start.time_limit, true,
          [this, id = start.id, clock = driver.WorkerNow()](outcome made) {
            start_answered answer{id, worker_call_result::kUnanswered, {}, {}};
            answer.call_time = made.call_time;
            if (made.answered) {
              answer.result = worker_call_result::kAccepted;
              answer.worker_clock = clock;
            }
            driver.Handle(answer);
          });
  }

  void OnStop(const stop_run& stop) {
    const auto found = ends_.find(stop.id);
    if (stops_arrive && found != ends_.end())
      found->second = std::min(found->second, driver.now + kStopTime);
    Await({}, stop.time_limit, stops_arrive,
          [this, id = stop.id](outcome made) {
            stop_answered answer{id, worker_call_result::kUnanswered, {}};
            answer.call_time = made.call_time;
            if (made.answered)
              answer.result = worker_call_result::kAccepted;
            driver.Handle(answer);
          });
  }

  // Ends are listed with the answer to a poll whose wait is over.
  void OnPoll(const poll_worker& poll) {
    lease_end_ = std::max(lease_end_, poll.lease_until);
    std::erase_if(ended_, [&](const ended_row& row) {
      return row.sequence <= poll.last_end_seen;
    });
    const milliseconds clock = driver.WorkerNow() + poll.wait;
    Await(poll.wait, poll.time_limit, true, [this, clock](outcome made) {
      if (made.answered)
        unanswered_polls_ = 0;
      else if (++unanswered_polls_ == 1)
        first_unanswered_ = driver.now - made.call_time;
      poll_answered answer;
      answer.call_time = made.call_time;
      if (made.answered) {
        answer.result = worker_call_result::kAccepted;
        answer.worker_incarnation = supervisor_driver::kWorkerIncarnation;
        answer.worker_clock = clock;
        for (const auto& [id, end] : ends_)
          answer.running.push_back({id, Percent(end)});
        answer.ended = ended_;
      }
      driver.Handle(answer);
    });
  }

  std::uint32_t Percent(monotonic_time end) const {
    const auto share = 100 - 100 * (end - driver.now) / run_time;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(share, 0, 99));
  }

  void EndRuns() {
    const bool lapsed = driver.WorkerNow() >= lease_end_;
    std::erase_if(ends_, [this, lapsed](const auto& run) {
      if (!lapsed && driver.now < run.second)
        return false;
      ended_.push_back(
          {++last_end_, run.first, lapsed ? run_end::kLost : run_end::kDone});
      return true;
    });
  }

  void Deliver() {
    while (!due_.empty() && due_.begin()->first <= driver.now) {
      const auto deliver = due_.begin()->second;
      due_.erase(due_.begin());
      deliver();
    }
  }

  std::multimap<monotonic_time, std::function<void()>> due_;
  std::map<run_id, monotonic_time> ends_;
  milliseconds lease_end_{0};  // On the worker's clock.
  std::vector<ended_row> ended_;
  std::uint64_t last_end_ = 0;
  std::size_t unanswered_polls_ = 0;  // Consecutive.
  monotonic_time first_unanswered_{};
  std::size_t scanned_ = 0;
};

// Dispatches tasks one after the other for `time`.
void RunTasks(simulated_worker& worker, microseconds time) {
  constexpr milliseconds kInterval{50};
  for (microseconds passed{0}; passed < time; passed += kInterval) {
    worker.driver.Dispatch(++worker.last_task);
    worker.Run(kInterval);
  }
}

// Guards against runs that are stopped, and tasks that are returned, because
// the worker answers calls after 0 to 90 ms. With time limits of 20 ms 26 of
// 66 runs were stopped (seed 1).
TEST(WorkerCalls, KeepsRunsOfASlowWorker) {
  constexpr milliseconds kSlowestAnswer{90};
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    simulated_worker worker;
    worker.random.seed(seed);
    RunTasks(worker, milliseconds(300));
    worker.AnswerWithin(kSlowestAnswer);
    RunTasks(worker, seconds(3));
    worker.Run(seconds(1));
    const supervisor_counters& counters = worker.driver.core->counters();
    EXPECT_EQ(counters.stops, 0U) << "seed " << seed;
    EXPECT_EQ(counters.losses, 0U) << "seed " << seed;
    EXPECT_EQ(worker.Count(decision_kind::kWorkerSilent), 0U)
        << "seed " << seed;
    EXPECT_EQ(counters.ends, counters.dispatches) << "seed " << seed;
  }
}

// Guards against long time limits that remain when the worker is fast again: a
// lost call would delay starts and ends.
TEST(WorkerCalls, ShortensLimitsWhenTheWorkerIsFastAgain) {
  simulated_worker worker;
  worker.AnswerWithin(milliseconds(90));
  RunTasks(worker, seconds(2));
  EXPECT_GT(worker.driver.core->gauges().call_limit, milliseconds(60));
  worker.AnswerWithin(milliseconds(2));
  RunTasks(worker, seconds(1));
  EXPECT_LE(worker.driver.core->gauges().call_limit, milliseconds(25));
}

// Guards against a worker that answers nothing and is silent later than with
// fixed limits of 20 ms, because its limits grow or because it was slow before.
// With them four polls went unanswered, 260 ms after the first was sent.
TEST(WorkerCalls, SilenceTakesNoLongerForASlowWorker) {
  constexpr milliseconds kShortestSilence{250};
  constexpr milliseconds kLongestSilence{260};
  constexpr std::size_t kPolls = 4;
  for (const int slowest_answer_ms : {1, 30, 60, 90, 140}) {
    for (const bool running : {false, true}) {
      simulated_worker worker;
      worker.AnswerWithin(milliseconds(slowest_answer_ms));
      RunTasks(worker, seconds(2));
      if (!running)
        worker.Run(seconds(2));
      const std::size_t before = worker.silences.size();
      worker.answer_after = [] { return std::nullopt; };
      worker.driver.Dispatch(999);
      worker.Run(milliseconds(600));
      EXPECT_EQ(worker.silences.size(), before + 1);
      for (const auto& silence : worker.silences) {
        EXPECT_GE(silence.polls, kPolls);
        EXPECT_GE(silence.time, kShortestSilence);
        EXPECT_LE(silence.time, kLongestSilence + kPolls * kStep)
            << slowest_answer_ms << " ms";
      }
    }
  }
}

// Guards against runs of a killed entry that outlive the time after which its
// callers resubmit their jobs, because calls to a slow worker, or stops that
// get no answer, may take longer than 20 ms.
TEST(WorkerCalls, RenewsLeaseForSilentEntryOnlyUntilResubmission) {
  constexpr milliseconds kResubmitAfter{1300};
  supervisor_options options = supervisor_driver::Options();
  ApplyLimits(deployment_limits::Create(1000, kResubmitAfter.count(), 6),
              options);
  EXPECT_LE(LongestUnattendedRun(options), milliseconds(1271));
  for (const int slowest_answer_ms : {1, 30, 60, 90, 140}) {
    simulated_worker worker(options);
    worker.AnswerWithin(milliseconds(slowest_answer_ms));
    RunTasks(worker, seconds(2));
    worker.stops_arrive = false;
    worker.run_time = seconds(5);
    supervisor_driver& driver = worker.driver;
    driver.AnswerHeartbeats();
    const monotonic_time last_alive = driver.now;
    driver.Dispatch(999);
    const std::size_t polls = driver.Commands<poll_worker>().size();
    worker.Run(seconds(2), {1});
    milliseconds lease_end{0};
    const auto after = driver.Commands<poll_worker>();
    for (std::size_t at = polls; at < after.size(); ++at)
      lease_end = std::max(lease_end, after[at].lease_until);
    for (const auto& start : driver.Commands<start_run>())
      lease_end = std::max(lease_end, start.lease_until);
    lease_end -= supervisor_driver::kWorkerClockAtStart;
    EXPECT_GT(monotonic_time(lease_end) - last_alive, milliseconds(600));
    EXPECT_LE(monotonic_time(lease_end) - last_alive, kResubmitAfter)
        << slowest_answer_ms << " ms";
  }
}

// Guards against a run that is stopped because the repetition of its start has
// the limit of a fast worker, too.
TEST(WorkerCalls, RepeatsStartWithTheLongestLimit) {
  simulated_worker worker;
  RunTasks(worker, seconds(1));
  worker.answer_after = [] { return milliseconds(90); };
  worker.driver.Dispatch(999);
  worker.Run(milliseconds(200));
  const auto starts = worker.driver.Commands<start_run>();
  ASSERT_GE(starts.size(), 2U);
  EXPECT_EQ(starts[starts.size() - 2].time_limit, milliseconds(20));
  EXPECT_EQ(starts.back().id, starts[starts.size() - 2].id);
  EXPECT_EQ(starts.back().time_limit,
            supervisor_driver::Options().stop_timeout);
  EXPECT_EQ(worker.driver.core->counters().stops, 0U);
}

// Guards against limits that the lease and the stop bound do not allow, also
// where the deployment shortens both.
TEST(WorkerCalls, LimitsStayWithinLeaseAndStopBound) {
  for (const int resubmit_ms : {700, 900, 1300}) {
    supervisor_options options = supervisor_driver::Options();
    ApplyLimits(deployment_limits::Create(1000, resubmit_ms, 6), options);
    simulated_worker worker(options);
    worker.AnswerWithin(milliseconds(400));
    RunTasks(worker, seconds(3));
    ASSERT_FALSE(worker.limits.empty());
    for (const milliseconds limit : worker.limits) {
      EXPECT_GE(limit, milliseconds(20));
      EXPECT_LE(limit, options.stop_timeout);
      EXPECT_LE(limit, options.lease / 2);
    }
  }
}

// Guards against a limit that follows the wait of a poll, or the early answer
// to one, in place of the time that the worker takes.
TEST(WorkerCalls, DoesNotCountTheWaitOfAPoll) {
  simulated_worker worker;
  RunTasks(worker, seconds(2));
  EXPECT_EQ(worker.driver.core->gauges().call_limit, milliseconds(20));
  std::size_t polls = 0;
  for (const auto& call : worker.driver.Commands<worker_call_measured>()) {
    EXPECT_LE(call.time, milliseconds(2));
    polls += call.call == "poll" ? 1 : 0;
  }
  EXPECT_GT(polls, 10U);
}

}  // namespace
}  // namespace egretrack::scheduler
