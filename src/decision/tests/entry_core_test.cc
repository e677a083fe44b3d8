#include "egretrack/decision/entry_core.h"

#include <gtest/gtest.h>

#include "decision/tests/entry_fixture.h"

namespace egretrack::decision {
namespace {

using wire::task_state;

class EntryCore : public ::testing::Test {
 protected:
  EntryCore() { driver_.Configure(); }

  std::vector<entry_driver::sent_message<wire::dispatch>> Dispatches() {
    return driver_.TakeSentMessages<wire::dispatch>();
  }

  entry_driver driver_;
};

// Guards the path from submission to answer against more dispatches than
// credits, an answer without every result, and results in another order.
TEST_F(EntryCore, AnswersJobWithResultsInTaskOrder) {
  driver_.ConnectAgent(1, 2);
  const caller_token caller = driver_.Submit(3);
  auto sent = Dispatches();
  ASSERT_EQ(sent.size(), 2U);  // As many as the credits.
  driver_.Report(1, sent[1].message, task_state::kFinished, 3);
  EXPECT_EQ(driver_.AnswerOf(caller), nullptr);
  driver_.Report(1, sent[0].message, task_state::kFinished);
  sent = Dispatches();
  ASSERT_EQ(sent.size(), 1U);
  driver_.Report(1, sent[0].message, task_state::kFinished);
  const job_answer_ptr answer = driver_.AnswerOf(caller);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, job_outcome::kAnswered);
  ASSERT_EQ(answer->tasks.size(), 3U);
  EXPECT_EQ(answer->tasks[1].result, "r1");
  const auto ended = driver_.TakeCommands<job_ended>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].on_time);
  EXPECT_EQ(ended[0].task_count, 3U);
}

// Guards against any outcome but "not run" for tasks that were never
// dispatched.
TEST_F(EntryCore, RefusesUndispatchedJobAtDeadline) {
  driver_.ConnectAgent(1, 0);
  const caller_token caller = driver_.Submit(2);
  driver_.AdvanceTime(milliseconds(2000));
  const job_answer_ptr answer = driver_.AnswerOf(caller);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, job_outcome::kRefused);
  EXPECT_EQ(answer->code, job_errc::kDeadlinePassed);
  EXPECT_EQ(answer->tasks[0].outcome, task_outcome::kNotRun);
}

// Guards against answering "not run" for a task that was dispatched and not
// reported.
TEST_F(EntryCore, QueriesDispatchedTasksAtDeadlineAndAnswersUnknown) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(2);
  ASSERT_EQ(Dispatches().size(), 1U);
  driver_.AdvanceTime(milliseconds(2000));
  EXPECT_GE(driver_.TakeSentMessages<wire::task_query>().size(), 1U);
  EXPECT_EQ(driver_.AnswerOf(caller), nullptr);
  driver_.AdvanceTime(milliseconds(500));
  const job_answer_ptr answer = driver_.AnswerOf(caller);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, job_outcome::kOutcomeUnknown);
  EXPECT_EQ(answer->tasks[0].outcome, task_outcome::kUnknown);
  EXPECT_EQ(answer->tasks[1].outcome, task_outcome::kNotRun);
}

// Guards against waiting for the query timeout after the agent has fenced
// every task.
TEST_F(EntryCore, RefusesJobWhoseTasksAreFencedAfterDeadline) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(1);
  const auto sent = Dispatches();
  driver_.AdvanceTime(milliseconds(2000));
  driver_.Report(1, sent[0].message, task_state::kRefused);
  const job_answer_ptr answer = driver_.AnswerOf(caller);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, job_outcome::kRefused);
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against a task that is never dispatched again because the only agent
// of its kind refused it once.
TEST_F(EntryCore, SoleAgentGetsRefusedTaskAgainAfterBackoff) {
  driver_.ConnectAgent(1, 2);
  const caller_token caller = driver_.Submit(1);
  driver_.Report(1, Dispatches()[0].message, task_state::kRefused);
  EXPECT_TRUE(Dispatches().empty());
  driver_.AdvanceTime(milliseconds(250));
  driver_.ReceiveFromAgent(1, 1, entry_driver::Heartbeat(2));
  const auto again = Dispatches();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].message.number, dispatch_number{2});
  driver_.Report(1, again[0].message, task_state::kFinished);
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kAnswered);
}

// Guards against answering "refused" for a job of which some tasks ran.
TEST_F(EntryCore, PartlyRunJobFails) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(2);
  driver_.Report(1, Dispatches()[0].message, task_state::kFinished);
  driver_.AdvanceTime(milliseconds(2000));
  const job_answer_ptr answer = driver_.AnswerOf(caller);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, job_outcome::kFailed);
  EXPECT_EQ(answer->code, job_errc::kDeadlinePassed);
}

// Guards against discarding results that arrive shortly after the deadline.
TEST_F(EntryCore, AnswersWithResultsThatArriveAfterDeadline) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(1);
  const auto sent = Dispatches();
  driver_.AdvanceTime(milliseconds(2200));
  driver_.Report(1, sent[0].message, task_state::kFinished);
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kAnswered);
  EXPECT_FALSE(driver_.TakeCommands<job_ended>()[0].on_time);
  // A repeated report is counted and changes nothing.
  driver_.Report(1, sent[0].message, task_state::kFailed);
  EXPECT_EQ(driver_.core().counters().late_reports, 1U);
}

// Guards against a second start, and against one caller getting two answers.
TEST_F(EntryCore, ResubmissionAttachesToJobOrRepeatsAnswer) {
  driver_.ConnectAgent(1, 8);
  const job_id id = driver_.Reserve();
  const caller_token first = driver_.Submit(1, id);
  const caller_token second = driver_.Submit(1, id);
  const auto sent = Dispatches();
  ASSERT_EQ(sent.size(), 1U);
  driver_.Report(1, sent[0].message, task_state::kFinished);
  const caller_token third = driver_.Submit(1, id);
  for (const caller_token caller : {first, second, third})
    ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(first), driver_.AnswerOf(third));
  const caller_token other = driver_.Submit(2, id);
  EXPECT_EQ(driver_.AnswerOf(other)->code, job_errc::kIdReused);
  EXPECT_NE(driver_.AnswerOf(other)->outcome, job_outcome::kRefused);
}

// Guards against starting or refusing a job whose id has outlived its record,
// since the job may have run.
TEST_F(EntryCore, ExpiredIdIsAnsweredUnknown) {
  driver_.ConnectAgent(1, 1);
  const job_id id = driver_.Reserve();
  driver_.Submit(1, id);
  driver_.Report(1, Dispatches()[0].message, task_state::kFinished);
  driver_.AdvanceTime(seconds(121));
  const caller_token caller = driver_.Submit(1, id);
  EXPECT_EQ(driver_.AnswerOf(caller)->code, job_errc::kIdExpired);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
}

// Guards against an entry starting a job whose home is another entry.
TEST_F(EntryCore, JobOfOtherHomeIsForwardedThenLookedUp) {
  driver_.ConnectAgent(1, 8);
  driver_.ConnectAgent(2, 8);
  const job_id id{"e2", incarnation{7}, 1, 2};
  const caller_token caller = driver_.Submit(2, id);
  ASSERT_EQ(driver_.TakeCommands<forward_to_home>().size(), 1U);
  driver_.Handle(home_unreachable{caller, id});
  const auto asked = driver_.TakeSentMessages<wire::job_lookup>();
  ASSERT_EQ(asked.size(), 2U);
  wire::job_records records{asked[0].message.lookup, id, {}};
  records.records = {{0, 2, task_state::kFinished, {}, "r0"}};
  driver_.ReceiveFromAgent(1, 1, records);
  driver_.ReceiveFromAgent(1, 1, records);
  EXPECT_EQ(driver_.AnswerOf(caller), nullptr);
  records.records = {{1, 2, task_state::kFinished, {}, "r1"}};
  driver_.ReceiveFromAgent(2, 1, records);
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kAnswered);
  EXPECT_EQ(driver_.AnswerOf(caller)->tasks[1].result, "r1");
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against an endless lookup when an agent does not answer, and against
// answering "not run".
TEST_F(EntryCore, LookupForOwnPreviousIncarnationTimesOutAsUnknown) {
  driver_.ConnectAgent(1, 8);
  const job_id id{"e1", incarnation{7}, 1, 2};
  const caller_token caller = driver_.Submit(1, id);
  ASSERT_EQ(driver_.TakeSentMessages<wire::job_lookup>().size(), 1U);
  driver_.AdvanceTime(milliseconds(500));
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
}

// Guards against a partial answer when the home is unreachable, and against
// answering "not run" because one agent refused a task.
TEST_F(EntryCore, LookupWithMissingResultsEndsUnknown) {
  driver_.ConnectAgent(1, 8);
  const job_id id{"e2", incarnation{7}, 1, 2};
  const caller_token caller = driver_.Submit(2, id);
  driver_.Handle(home_unreachable{caller, id});
  const auto asked = driver_.TakeSentMessages<wire::job_lookup>();
  ASSERT_EQ(asked.size(), 1U);
  wire::job_records records{asked[0].message.lookup, id, {}};
  records.records = {{0, 2, task_state::kFinished, {}, "r0"},
                     {1, 2, task_state::kRefused, {}, ""}};
  driver_.ReceiveFromAgent(1, 1, records);
  const auto answer = driver_.AnswerOf(caller);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->outcome, job_outcome::kOutcomeUnknown);
  EXPECT_EQ(answer->tasks[0].outcome, task_outcome::kFinished);
  EXPECT_EQ(answer->tasks[1].outcome, task_outcome::kUnknown);
}

// Guards against spending credits of an old connection, and against missing the
// loss of messages with that connection.
TEST_F(EntryCore, ReconnectResetsCreditsAndQueriesTasks) {
  driver_.ConnectAgent(1, 5);
  driver_.Submit(1);
  ASSERT_EQ(Dispatches().size(), 1U);
  driver_.ReceiveFromAgent(11, 2, entry_driver::Hello("a1", 1));
  EXPECT_EQ(driver_.TakeSentMessages<wire::task_query>().size(), 1U);
  driver_.Submit(1);
  EXPECT_TRUE(Dispatches().empty());
  driver_.ReceiveFromAgent(1, 1, wire::grant{9});  // Over the old connection.
  EXPECT_TRUE(Dispatches().empty());
  EXPECT_EQ(driver_.core().counters().stale_frames, 1U);
  driver_.ReceiveFromAgent(11, 2, wire::grant{1});
  EXPECT_EQ(Dispatches().size(), 1U);
}

// Guards against a second start of tasks whose agent lost its records in a
// restart.
TEST_F(EntryCore, TasksOfRestartedAgentAreUnknown) {
  driver_.ConnectAgent(1, 2);
  const caller_token caller = driver_.Submit(2);
  ASSERT_EQ(Dispatches().size(), 2U);
  driver_.ReceiveFromAgent(11, 1, entry_driver::Hello("a1", 99));
  driver_.ReceiveFromAgent(11, 1, wire::grant{4});
  EXPECT_TRUE(Dispatches().empty());
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
}

// Guards the retry of single idempotent tasks, and against answering "not run"
// when the retry has no report.
TEST_F(EntryCore, SingleIdempotentTaskIsRetriedAfterUnknownOutcome) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(1, std::nullopt, "read");
  ASSERT_EQ(Dispatches().size(), 1U);
  driver_.ReceiveFromAgent(11, 1, entry_driver::Hello("a1", 99));
  driver_.ReceiveFromAgent(11, 1, wire::grant{1});
  EXPECT_EQ(Dispatches().size(), 1U);
  EXPECT_EQ(driver_.core().counters().retries, 1U);
  driver_.AdvanceTime(milliseconds(3000));
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
}

// Guards against a second run, after an unknown outcome, of a task that is not
// idempotent or belongs to a larger job.
TEST_F(EntryCore, OnlySingleIdempotentTasksAreRetried) {
  driver_.ConnectAgent(1, 3);
  const caller_token plain = driver_.Submit(1);
  const caller_token larger = driver_.Submit(2, std::nullopt, "read");
  ASSERT_EQ(Dispatches().size(), 3U);
  driver_.ReceiveFromAgent(11, 1, entry_driver::Hello("a1", 99));
  driver_.ReceiveFromAgent(11, 1, wire::grant{3});
  EXPECT_TRUE(Dispatches().empty());
  EXPECT_EQ(driver_.core().counters().retries, 0U);
  for (const caller_token caller : {plain, larger}) {
    ASSERT_NE(driver_.AnswerOf(caller), nullptr);
    EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
  }
}

// Guards against retrying all tasks of an agent that failed.
TEST_F(EntryCore, RetriesStayWithinBudget) {
  driver_.ConnectAgent(1, 8);
  for (int i = 0; i < 8; ++i)
    driver_.Submit(1, std::nullopt, "read");
  ASSERT_EQ(Dispatches().size(), 8U);
  driver_.ReceiveFromAgent(11, 1, entry_driver::Hello("a1", 99));
  driver_.ReceiveFromAgent(11, 1, wire::grant{8});
  EXPECT_EQ(Dispatches().size(), 1U);
  EXPECT_EQ(driver_.core().counters().retries, 1U);
}

// Guards against answering "not run" for a task whose first attempt may have
// run and whose retry was never dispatched.
TEST_F(EntryCore, UndispatchedRetryIsAnsweredUnknown) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(1, std::nullopt, "read");
  driver_.ReceiveFromAgent(11, 1, entry_driver::Hello("a1", 99));
  driver_.AdvanceTime(milliseconds(2500));
  EXPECT_EQ(Dispatches().size(), 1U);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
}

// Guards against accepting the report of another dispatch or connection.
TEST_F(EntryCore, MismatchedReportsAreDropped) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(1);
  wire::dispatch other = Dispatches()[0].message;
  wire::task_report report;
  report.job = other.job;
  report.dispatch = other.number;
  report.state = task_state::kFailed;
  driver_.ReceiveFromAgent(1, 2, report);
  EXPECT_EQ(driver_.core().counters().stale_frames, 1U);
  other.number = dispatch_number{7};
  driver_.Report(1, other, task_state::kFinished);
  EXPECT_EQ(driver_.core().counters().late_reports, 1U);
  EXPECT_EQ(driver_.AnswerOf(caller), nullptr);
}

// Guards against a repeated hello of a replaced incarnation, which would reset
// the count of spent credits.
TEST_F(EntryCore, RepeatedHelloOfPreviousIncarnationIsDropped) {
  driver_.ConnectAgent(1, 1);
  driver_.Submit(1);
  EXPECT_EQ(Dispatches().size(), 1U);
  driver_.ReceiveFromAgent(2, 1, entry_driver::Hello("a1", 99));
  driver_.ReceiveFromAgent(1, 1, entry_driver::Hello("a1", 1));
  driver_.ReceiveFromAgent(1, 1, wire::grant{1});
  driver_.Submit(1);
  EXPECT_TRUE(Dispatches().empty());
  EXPECT_EQ(driver_.core().counters().stale_frames, 2U);
}

// Guards against handling messages of a link whose agent is unknown.
TEST_F(EntryCore, FramesBeforeHelloAreDropped) {
  driver_.ReceiveFromAgent(1, 1, entry_driver::Heartbeat(8));
  EXPECT_TRUE(driver_.TakeSentMessages<wire::heartbeat_reply>().empty());
  EXPECT_EQ(driver_.core().counters().stale_frames, 1U);
  EXPECT_FALSE(driver_.core().ready());
}

// Guards against agents that keep an old configuration, and against a return to
// a lower version.
TEST_F(EntryCore, ConfigurationVersionNeverDecreases) {
  driver_.ConnectAgent(1, 0);
  driver_.Configure(MakeConfiguration(3));
  driver_.Configure(MakeConfiguration(2));
  driver_.ReceiveFromAgent(1, 1, entry_driver::Heartbeat(0));
  const auto replies = driver_.TakeSentMessages<wire::heartbeat_reply>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].message.config_version, 3U);
  EXPECT_EQ(replies[0].message.config_document, "version 3");
  EXPECT_EQ(replies[0].message.entry_time, driver_.now());
  driver_.ReceiveFromAgent(1, 1, wire::config_offer{2, "old"});
  EXPECT_TRUE(driver_.TakeCommands<configuration_offered>().empty());
  driver_.ReceiveFromAgent(1, 1, wire::config_offer{4, "new"});
  EXPECT_EQ(driver_.TakeCommands<configuration_offered>().size(), 1U);
}

// Guards against a dispatch before the key is bound, and against two jobs for
// one key.
TEST_F(EntryCore, KeyIsBoundBeforeTheFirstDispatch) {
  driver_.ConnectAgent(1, 8);
  const caller_token first =
      driver_.Submit(1, std::nullopt, "find", "", "order-1");
  auto binds = driver_.TakeCommands<bind_key>();
  ASSERT_EQ(binds.size(), 1U);
  EXPECT_TRUE(Dispatches().empty());
  driver_.Handle(key_bound{binds[0].id, key_binding::kBound, {}});
  const auto sent = Dispatches();
  ASSERT_EQ(sent.size(), 1U);
  const caller_token second =
      driver_.Submit(1, std::nullopt, "find", "", "order-1");
  const auto again = driver_.TakeCommands<bind_key>();
  driver_.Handle(
      key_bound{again[0].id, key_binding::kBoundToOther, binds[0].id});
  driver_.Report(1, sent[0].message, task_state::kFinished);
  EXPECT_EQ(driver_.AnswerOf(first), driver_.AnswerOf(second));
  EXPECT_NE(driver_.AnswerOf(first), nullptr);
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against answering "not run" while an earlier job may have the key, and
// against a dispatch after that answer.
TEST_F(EntryCore, RefusesOnlyKeysKnownToBeUnbound) {
  driver_.ConnectAgent(1, 8);
  const caller_token clean = driver_.Submit(1, std::nullopt, "find", "", "k1");
  const caller_token open = driver_.Submit(1, std::nullopt, "find", "", "k2");
  const auto binds = driver_.TakeCommands<bind_key>();
  driver_.Handle(key_bound{binds[0].id, key_binding::kNotBound, {}});
  EXPECT_EQ(driver_.AnswerOf(clean)->code, job_errc::kTableUnavailable);
  EXPECT_EQ(driver_.AnswerOf(clean)->outcome, job_outcome::kRefused);
  driver_.AdvanceTime(milliseconds(2000));
  EXPECT_EQ(driver_.AnswerOf(open)->outcome, job_outcome::kOutcomeUnknown);
  driver_.Handle(key_bound{binds[1].id, key_binding::kBound, {}});
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against answering "not run" when the row of the key could not be read.
TEST_F(EntryCore, KeyOfUnknownBindingIsAnsweredUnknown) {
  driver_.ConnectAgent(1, 8);
  const caller_token caller = driver_.Submit(1, std::nullopt, "find", "", "k");
  const auto binds = driver_.TakeCommands<bind_key>();
  ASSERT_EQ(binds.size(), 1U);
  driver_.Handle(key_bound{binds[0].id, key_binding::kUnknown, {}});
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->code, job_errc::kKeyOutcomeUnknown);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against a task that starts after its job was answered.
TEST_F(EntryCore, StartByIsNotAfterDeadline) {
  driver_.ConnectAgent(1, 1);
  submission plan{"plan", "", seconds(20), {"p"}};
  driver_.Handle(submit_request{driver_.NewCaller(), {}, plan, false, ""});
  const auto sent = Dispatches();
  EXPECT_EQ(sent[0].message.start_by, driver_.now() + seconds(2));
  driver_.Submit(1);
  const monotonic_time deadline = driver_.now() + seconds(2);
  driver_.AdvanceTime(milliseconds(1500));
  driver_.ReceiveFromAgent(1, 1, wire::grant{2});
  const auto late = Dispatches();
  ASSERT_EQ(late.size(), 1U);
  EXPECT_EQ(late[0].message.start_by, deadline);
}

// Guards against losing a refused task, or sending it back to the agent that
// has a record of the refusal.
TEST_F(EntryCore, RefusedTaskGoesToAnotherAgent) {
  driver_.ConnectAgent(1, 1);
  const caller_token caller = driver_.Submit(1);
  const auto first = Dispatches();
  driver_.Report(1, first[0].message, task_state::kRefused, 2);
  EXPECT_TRUE(Dispatches().empty());
  driver_.ConnectAgent(2, 1);
  const auto second = Dispatches();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].link, 2U);
  EXPECT_NE(second[0].message.number, first[0].message.number);
  driver_.Report(2, second[0].message, task_state::kFinished);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kAnswered);
}

// Guards against a dispatch after the cancellation, and against reporting a job
// as cancelled while its dispatched tasks may run.
TEST_F(EntryCore, CancelRemovesQueuedTasksFirst) {
  driver_.ConnectAgent(1, 2);
  const job_id id = driver_.Reserve();
  const caller_token caller = driver_.Submit(4, id);
  const auto sent = Dispatches();
  const caller_token canceller = driver_.NewCaller();
  driver_.Handle(cancel_request{canceller, id, false});
  EXPECT_EQ(driver_.TakeSentMessages<wire::job_cancel>().size(), 1U);
  EXPECT_EQ(driver_.AnswerOf(canceller)->outcome, job_outcome::kPending);
  driver_.Report(1, sent[0].message, task_state::kRefused, 8);
  driver_.Report(1, sent[1].message, task_state::kRefused, 8);
  EXPECT_TRUE(Dispatches().empty());
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kRefused);
  EXPECT_EQ(driver_.AnswerOf(caller)->code, job_errc::kCancelled);
}

// Guards against a drain that interrupts jobs or reports its end twice.
TEST_F(EntryCore, DrainFinishesJobsAndReportsOnce) {
  driver_.ConnectAgent(1, 8);
  EXPECT_TRUE(driver_.core().ready());
  driver_.Handle(drain_entry{});
  EXPECT_FALSE(driver_.core().ready());
  driver_.Submit(1);
  const auto sent = Dispatches();
  ASSERT_EQ(sent.size(), 1U);  // Within the grace time.
  driver_.AdvanceTime(milliseconds(1900));
  driver_.Handle(drain_entry{});
  driver_.AdvanceTime(milliseconds(150));
  const caller_token late = driver_.Submit(1);
  EXPECT_EQ(driver_.AnswerOf(late)->code, job_errc::kDraining);
  EXPECT_TRUE(driver_.TakeCommands<drain_finished>().empty());
  driver_.Report(1, sent[0].message, task_state::kFinished);
  driver_.AdvanceTime(milliseconds(500));
  EXPECT_EQ(driver_.TakeCommands<drain_finished>().size(), 1U);
}

// Guards against dispatching to agents that are draining or silent.
TEST_F(EntryCore, DrainingAndSilentAgentsGetNoTasks) {
  driver_.ConnectAgent(1, 8);
  driver_.ConnectAgent(2, 8);
  wire::heartbeat leaving = entry_driver::Heartbeat(8);
  leaving.draining = true;
  driver_.ReceiveFromAgent(1, 1, leaving);
  driver_.Submit(2);
  for (const auto& sent : Dispatches())
    EXPECT_EQ(sent.link, 2U);
  driver_.AdvanceTime(milliseconds(2200));
  driver_.Submit(1);
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against queueing jobs that can never run, and against refusals that
// are missing in the metrics.
TEST_F(EntryCore, InfeasibleJobsAreRefusedAtOnce) {
  driver_.ConnectAgent(1, 8);
  EXPECT_EQ(driver_.AnswerOf(driver_.Submit(0))->code, job_errc::kNoTasks);
  EXPECT_EQ(driver_.AnswerOf(driver_.Submit(1201))->code,
            job_errc::kTooManyTasks);
  EXPECT_EQ(driver_.AnswerOf(driver_.Submit(1, std::nullopt, "unheard"))->code,
            job_errc::kUnknownKind);
  // 1,200 tasks of 100 ms need 15 s on 8 slots.
  const caller_token big = driver_.Submit(1200);
  EXPECT_EQ(driver_.AnswerOf(big)->code, job_errc::kDeadlineUnreachable);
  EXPECT_EQ(driver_.AnswerOf(big)->outcome, job_outcome::kRefused);
  EXPECT_EQ(driver_.TakeCommands<job_ended>().size(), 4U);
}

// Guards against accepting jobs that cannot end by their deadline because of
// the backlog.
TEST_F(EntryCore, BacklogRefusesWithRetryAfter) {
  driver_.ConnectAgent(1, 0);
  caller_token last{};
  for (int i = 0; i < 100; ++i)
    last = driver_.Submit(1);
  EXPECT_EQ(driver_.AnswerOf(last)->code, job_errc::kOverloaded);
  EXPECT_GT(driver_.AnswerOf(last)->retry_after.count(), 0);
}

// Guards against refusing urgent jobs because of a large job with a later
// deadline or because of another team's backlog.
TEST_F(EntryCore, LessUrgentBacklogRefusesNoUrgentJob) {
  driver_.ConnectAgent(1, 8);
  submission slow{"find", "", seconds(30), std::vector<std::string>(600, "p")};
  driver_.Handle(submit_request{driver_.NewCaller(), {}, slow, false, ""});
  EXPECT_EQ(driver_.AnswerOf(driver_.Submit(1)), nullptr);
  entry_driver other;
  objects::configuration set = MakeConfiguration(1);
  set.objects.limits = {{"north", "desk", "north", 1, 0, 0, ""},
                        {"south", "desk", "south", 1, 0, 0, ""}};
  other.Configure(set);
  other.ConnectAgent(1, 0);
  caller_token last{};
  for (int i = 0; i < 100; ++i)
    last = other.Submit(1, std::nullopt, "find", "north");
  EXPECT_EQ(other.AnswerOf(last)->code, job_errc::kOverloaded);
  EXPECT_EQ(other.AnswerOf(other.Submit(1, std::nullopt, "find", "south")),
            nullptr);
}

// Guards against answering "not run" for a key whose row was not read.
TEST_F(EntryCore, RefusedRequestWithKeyIsAnsweredUnknown) {
  const caller_token caller =
      driver_.Submit(1, std::nullopt, "find", "", "order-1");
  EXPECT_EQ(driver_.AnswerOf(caller)->code, job_errc::kNoEndpoint);
  EXPECT_EQ(driver_.AnswerOf(caller)->outcome, job_outcome::kOutcomeUnknown);
}

// Guards against queueing a job for a closed desk.
TEST_F(EntryCore, ClosedDeskRefusesAtOnce) {
  objects::configuration set = MakeConfiguration(2);
  objects::shift monday{"monday", "desk", 1, 480, 1080, {"turni"}, {}};
  set.objects.shifts = {monday};  // The driver's clock shows a Thursday.
  driver_.Configure(set);
  driver_.ConnectAgent(1, 8);
  const caller_token caller = driver_.Submit(1);
  ASSERT_NE(driver_.AnswerOf(caller), nullptr);
  EXPECT_EQ(driver_.AnswerOf(caller)->code, job_errc::kDeskClosed);
  EXPECT_TRUE(Dispatches().empty());
}

// Guards against removing the record of a job from a full table to add another.
TEST(EntryCoreLimits, FullJobTableRefusesNewJobs) {
  entry_options options = MakeOptions();
  options.max_job_records = 1;
  entry_driver driver(options);
  driver.Configure();
  driver.ConnectAgent(1, 8);
  const job_id id = driver.Reserve();
  const caller_token first = driver.Submit(1, id);
  const caller_token second = driver.Submit(1);
  ASSERT_NE(driver.AnswerOf(second), nullptr);
  EXPECT_EQ(driver.AnswerOf(second)->code, job_errc::kRecordsFull);
  const auto sent = driver.TakeSentMessages<wire::dispatch>();
  ASSERT_EQ(sent.size(), 1U);
  driver.Report(1, sent[0].message, task_state::kFinished);
  EXPECT_EQ(driver.AnswerOf(driver.Submit(1, id)), driver.AnswerOf(first));
}

// Guards against a burst of one team that exceeds its quota of queued tasks.
TEST(EntryCoreLimits, QueueQuotaRefusesExcessTasks) {
  entry_options options = MakeOptions();
  options.peers.clear();
  entry_driver driver(options);
  objects::configuration set = MakeConfiguration(1);
  set.objects.limits = {{"north", "desk", "north", 1, 0, 2, ""}};
  driver.Configure(set);
  driver.ConnectAgent(1, 0);
  const caller_token within = driver.Submit(2, std::nullopt, "find", "north");
  const caller_token beyond = driver.Submit(1, std::nullopt, "find", "north");
  EXPECT_EQ(driver.AnswerOf(within), nullptr);
  ASSERT_NE(driver.AnswerOf(beyond), nullptr);
  EXPECT_EQ(driver.AnswerOf(beyond)->code, job_errc::kQuotaExceeded);
  EXPECT_EQ(driver.AnswerOf(beyond)->outcome, job_outcome::kRefused);
}

// Guards against the loss of a drain request with a connection.
TEST_F(EntryCore, DrainRequestIsRepeatedUntilAgentDrains) {
  driver_.ConnectAgent(1, 8);
  driver_.Handle(drain_agent{driver_.NewCaller(), "a1"});
  driver_.Handle(drain_agent{driver_.NewCaller(), "a9"});
  const auto answers = driver_.TakeCommands<drain_answer>();
  EXPECT_TRUE(answers[0].known);
  EXPECT_FALSE(answers[1].known);
  wire::heartbeat beat = entry_driver::Heartbeat(8);
  driver_.ReceiveFromAgent(1, 1, beat);
  EXPECT_EQ(driver_.TakeSentMessages<wire::drain_request>().size(), 2U);
  beat.draining = true;
  driver_.ReceiveFromAgent(1, 1, beat);
  EXPECT_TRUE(driver_.TakeSentMessages<wire::drain_request>().empty());
}

// Guards against a team that runs more tasks than its quota or its parent's, or
// that gets no task when the quota is free again.
TEST(EntryCoreQuota, LimitsRunningTasksOfTeamAndParent) {
  entry_options options = MakeOptions();
  options.peers.clear();
  entry_driver driver(options);
  objects::configuration set = MakeConfiguration(1);
  set.objects.limits = {{"north", "desk", "north", 1, 2, 0, "sicily"},
                        {"sicily", "desk", "sicily", 1, 3, 0, ""},
                        {"south", "desk", "south", 1, 2, 0, "sicily"}};
  driver.Configure(set);
  driver.ConnectAgent(1, 100);
  driver.Submit(4, std::nullopt, "find", "north");
  driver.Submit(4, std::nullopt, "find", "south");
  auto sent = driver.TakeSentMessages<wire::dispatch>();
  ASSERT_EQ(sent.size(), 3U);
  driver.Report(1, sent[0].message, task_state::kFinished);
  EXPECT_EQ(driver.TakeSentMessages<wire::dispatch>().size(), 1U);
  const caller_token stranger =
      driver.Submit(1, std::nullopt, "find", "nobody");
  EXPECT_EQ(driver.AnswerOf(stranger)->code, job_errc::kUnknownTeam);
}

// Guards against long tasks that take every slot of an agent.
TEST_F(EntryCore, LongTasksLeaveSlotsForShortTasks) {
  driver_.ConnectAgent(1, 8);
  submission plan{"plan", "", seconds(20), std::vector<std::string>(8, "p")};
  driver_.Handle(submit_request{driver_.NewCaller(), {}, plan, false, ""});
  EXPECT_EQ(Dispatches().size(), 2U);  // Half, divided by two entries.
  driver_.Submit(6);
  EXPECT_EQ(Dispatches().size(), 6U);
}

// Guards against an agent that attracts tasks because it fails all of them
// fast.
TEST_F(EntryCore, FailingAgentIsEjectedAndReadmittedByTrial) {
  driver_.ConnectAgent(1, 1);
  driver_.ConnectAgent(2, 1);
  std::uint64_t granted = 1;
  for (int i = 0; i < 20; ++i) {
    driver_.Submit(1);
    driver_.Submit(1);
    ++granted;
    for (const auto& sent : Dispatches()) {
      driver_.Report(
          sent.link, sent.message,
          sent.link == 1 ? task_state::kFailed : task_state::kFinished,
          granted);
    }
  }
  EXPECT_EQ(driver_.core().counters().ejections, 1U);
  driver_.Submit(1);
  for (const auto& sent : Dispatches()) {
    EXPECT_EQ(sent.link, 2U);
    driver_.Report(2, sent.message, task_state::kFinished);
  }
  // One queued task is the trial; its success ends the ejection.
  driver_.AdvanceTime(milliseconds(1200));
  driver_.ReceiveFromAgent(1, 1, entry_driver::Heartbeat(granted + 8));
  driver_.Submit(3);
  const auto trial = Dispatches();
  ASSERT_EQ(trial.size(), 1U);
  driver_.Report(1, trial[0].message, task_state::kFinished);
  EXPECT_GT(Dispatches().size(), 1U);
}

// Guards against routing that should push tasks but waits for credits.
TEST(EntryCoreRouting, PushNeedsNoCredits) {
  for (const routing_policy policy :
       {routing_policy::kRoundRobin, routing_policy::kLeastOutstanding}) {
    entry_options options = MakeOptions();
    options.routing = policy;
    entry_driver driver(options);
    driver.Configure();
    driver.ConnectAgent(1, 0);
    driver.ConnectAgent(2, 0);
    driver.Submit(20);
    const auto sent = driver.TakeSentMessages<wire::dispatch>();
    EXPECT_EQ(sent.size(), 20U);
    const auto first = std::count_if(sent.begin(), sent.end(),
                                     [](const auto& s) { return s.link == 1; });
    EXPECT_GT(first, 4);
    EXPECT_LT(first, 16);
  }
}

// Guards against accepting options that are out of range.
TEST(EntryCoreCreate, RejectsOptionsOutOfRange) {
  entry_options options = MakeOptions();
  options.retry_budget = 2;
  EXPECT_FALSE(entry_core::Create(options).has_value());
  options = MakeOptions();
  options.entry = "No Name";
  EXPECT_FALSE(entry_core::Create(options).has_value());
}

}  // namespace
}  // namespace egretrack::decision
