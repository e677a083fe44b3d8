#include "scheduler/link_selection.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "egretrack/scheduler/members.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

constexpr std::uint32_t kEntries = 55;

std::vector<wire::entry_member> Members(std::uint32_t count) {
  std::vector<wire::entry_member> members;
  for (std::uint32_t entry = 0; entry < count; ++entry) {
    members.push_back({"e" + std::to_string(entry),
                       "10.0.1." + std::to_string(entry) + ":7"});
  }
  return members;
}

// An agent among many entries. The two entries of the driver are its seeds.
class AgentAmongManyEntries : public testing::Test {
 protected:
  void SetUp() override {
    driver_.ConnectIdleWorker();
    driver_.Handle(entries_discovered{Members(kEntries)});
  }

  std::set<entry_index> OpenLinks() const {
    std::set<entry_index> open;
    for (const supervisor_command& command : driver_.commands) {
      if (const auto* opened = std::get_if<open_link>(&command))
        open.insert(opened->entry);
      else if (const auto* closed = std::get_if<close_link>(&command))
        open.erase(closed->entry);
    }
    return open;
  }

  std::vector<entry_index> AllBut(const std::set<entry_index>& silent) const {
    std::vector<entry_index> entries;
    for (entry_index entry = 0; entry < kEntries + 2; ++entry) {
      if (!silent.contains(entry))
        entries.push_back(entry);
    }
    return entries;
  }

  void Run(microseconds time, const std::set<entry_index>& silent = {}) {
    const auto responding = AllBut(silent);
    for (microseconds passed{0}; passed < time; passed += milliseconds(50)) {
      driver_.AdvanceTime(milliseconds(50));
      driver_.AnswerHeartbeats(responding);
      driver_.AnswerPoll({});
      if (passed % seconds(1) == microseconds(0)) {
        driver_.Handle(supervisor_driver::WorkerReport(
            supervisor_driver::kWorkerIncarnation, ++report_));
      }
    }
  }

  // The entries that replace the first ones after these have become silent.
  std::set<entry_index> ReplaceFirstLinks() {
    Run(seconds(3));
    first_ = OpenLinks();
    Run(seconds(8), first_);
    std::set<entry_index> added;
    std::ranges::set_difference(OpenLinks(), first_,
                                std::inserter(added, added.end()));
    return added;
  }

  supervisor_driver driver_;
  std::set<entry_index> first_;
  std::uint64_t report_ = 1;
};

// Guards against a number of links, and of heartbeats, that grows with the
// number of entries.
TEST_F(AgentAmongManyEntries, KeepsABoundedNumberOfLinks) {
  Run(seconds(3));
  EXPECT_EQ(OpenLinks().size(), kLinkedEntriesPerAgent);
  const std::size_t before = driver_.Commands<send_to_entry>().size();
  Run(seconds(10));
  const std::size_t sent = driver_.Commands<send_to_entry>().size() - before;
  EXPECT_LE(sent, 11 * kLinkedEntriesPerAgent);
}

// Guards against an agent that serves nobody because the entries that it has
// links to are gone.
TEST_F(AgentAmongManyEntries, ReplacesEntriesThatDoNotRespond) {
  EXPECT_EQ(ReplaceFirstLinks().size(), kLinkedEntriesPerAgent);
  // The first entries return and get the agent back.
  Run(seconds(8));
  EXPECT_EQ(OpenLinks(), first_);
}

// Guards against an entry that sends tasks to an agent that has left it, which
// would be lost.
TEST_F(AgentAmongManyEntries, TellsAnEntryBeforeItLeaves) {
  const std::set<entry_index> added = ReplaceFirstLinks();
  ASSERT_FALSE(added.empty());
  const entry_index left = *added.begin();
  EXPECT_FALSE(driver_.LastHeartbeat(left)->draining);
  driver_.Dispatch(0, milliseconds(100), left);
  Run(milliseconds(1000));
  EXPECT_TRUE(driver_.LastHeartbeat(left)->draining);
  EXPECT_TRUE(OpenLinks().contains(left));
}

// Guards against entries that get far more agents than others.
TEST(LinkSelection, SpreadsAgentsOverEntries) {
  constexpr int kAgents = 240;
  std::vector<int> agents_of(kEntries, 0);
  for (int agent = 0; agent < kAgents; ++agent) {
    std::vector<link_candidate> candidates;
    for (const auto& member : Members(kEntries)) {
      candidates.push_back(
          {RendezvousWeight(member.address, "a" + std::to_string(agent)),
           true});
    }
    const auto selected = SelectLinks(candidates, kLinkedEntriesPerAgent);
    for (std::uint32_t entry = 0; entry < kEntries; ++entry)
      agents_of[entry] += selected[entry] ? 1 : 0;
  }
  const int mean = kAgents * static_cast<int>(kLinkedEntriesPerAgent) /
                   static_cast<int>(kEntries);
  EXPECT_GT(*std::ranges::min_element(agents_of), mean / 2);
  EXPECT_LT(*std::ranges::max_element(agents_of), mean * 2);
}

}  // namespace
}  // namespace egretrack::scheduler
