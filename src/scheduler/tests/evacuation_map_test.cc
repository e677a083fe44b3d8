#include "egretrack/scheduler/evacuation_map.h"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

using evacuations = std::vector<wire::domain_evacuation>;

// Guards against a value that arrives late or twice and brings back a state
// that a later transaction has ended.
TEST(EvacuationMap, HigherVersionHoldsInAnyOrder) {
  evacuations values{
      {"enna", 5, true}, {"enna", 9, false}, {"ragusa", 7, true}};
  const auto by_version = [](const auto& a, const auto& b) {
    return a.version < b.version;
  };
  std::ranges::sort(values, by_version);
  std::vector<std::uint64_t> hashes;
  do {
    evacuation_map map;
    EXPECT_TRUE(map.Merge(values));
    EXPECT_FALSE(map.IsEvacuated("enna"));
    EXPECT_TRUE(map.IsEvacuated("ragusa"));
    EXPECT_FALSE(map.Merge(values));
    hashes.push_back(map.hash());
  } while (std::next_permutation(values.begin(), values.end(), by_version));
  EXPECT_EQ(std::ranges::count(hashes, hashes.front()),
            std::ptrdiff_t(hashes.size()));
}

// Guards against a removal that is forgotten because it arrives before the row.
TEST(EvacuationMap, KeepsTombstoneOfUnknownDomain) {
  evacuation_map map;
  EXPECT_TRUE(map.Merge(evacuations{{"enna", 9, false}}));
  EXPECT_FALSE(map.Merge(evacuations{{"enna", 5, true}}));
  EXPECT_FALSE(map.IsEvacuated("enna"));
}

// Guards against an evacuation that lasts for ever because its tombstone had
// left the history of the store before the process read the table.
TEST(EvacuationMap, SnapshotEndsEvacuationOfAbsentDomain) {
  evacuation_map map;
  map.Merge(evacuations{{"enna", 5, true}, {"ragusa", 20, true}});
  EXPECT_TRUE(map.ApplySnapshot(evacuations{{"noto", 8, true}}, 10));
  EXPECT_FALSE(map.IsEvacuated("enna"));
  EXPECT_TRUE(map.IsEvacuated("noto"));
  EXPECT_TRUE(map.IsEvacuated("ragusa"));
  const auto enna =
      std::ranges::find(map.values(), "enna", &wire::domain_evacuation::domain);
  EXPECT_EQ(enna->version, 10U);
}

// Guards against a slow read that undoes what a later one has shown.
TEST(EvacuationMap, IgnoresStaleSnapshot) {
  evacuation_map map;
  map.ApplySnapshot(evacuations{{"enna", 12, true}}, 15);
  const std::uint64_t hash = map.hash();
  EXPECT_FALSE(map.ApplySnapshot(evacuations{}, 11));
  EXPECT_EQ(map.hash(), hash);
  EXPECT_TRUE(map.IsEvacuated("enna"));
  map.ApplySnapshot(evacuations{{"ragusa", 8, true}}, 11);
  EXPECT_FALSE(map.IsEvacuated("ragusa"));
  EXPECT_TRUE(map.IsEvacuated("enna"));
}

// Guards against an agent without contact that brings an ended evacuation back
// to an entry that has restarted and so never saw the row or its tombstone.
TEST(EvacuationMap, SnapshotAnswersOlderValueOfUnknownDomain) {
  evacuation_map map;
  map.ApplySnapshot(evacuations{}, 10);
  map.Merge(evacuations{{"enna", 7, true}});
  EXPECT_FALSE(map.IsEvacuated("enna"));
  EXPECT_EQ(map.values(), (evacuations{{"enna", 10, false}}));
  map.Merge(evacuations{{"enna", 11, true}});
  EXPECT_TRUE(map.IsEvacuated("enna"));
}

// Guards against a row that another writer has broken and that a full read then
// takes for a removed one.
TEST(EvacuationMap, UnreadableRowChangesNothing) {
  evacuation_map map;
  map.Merge(evacuations{{"enna", 5, true}});
  const std::vector<std::string> unreadable{"enna", "noto"};
  EXPECT_FALSE(map.ApplySnapshot(evacuations{}, 10, unreadable));
  EXPECT_TRUE(map.IsEvacuated("enna"));
  map.Merge(evacuations{{"noto", 6, true}});
  EXPECT_TRUE(map.IsEvacuated("noto"));
}

// Guards against memory and messages that grow with the rows that a client
// writes to the table.
TEST(EvacuationMap, LeavesOutDomainsBeyondBound) {
  evacuation_map map;
  for (std::size_t number = 0; number < kMaxEvacuationDomains; ++number)
    map.Merge(evacuations{{"d" + std::to_string(number), number + 1, true}});
  EXPECT_FALSE(map.TakeOverflow());
  EXPECT_FALSE(map.Merge(evacuations{{"one-more", 1000, true}}));
  EXPECT_FALSE(map.IsEvacuated("one-more"));
  EXPECT_EQ(map.values().size(), kMaxEvacuationDomains);
  EXPECT_TRUE(map.TakeOverflow());
  EXPECT_FALSE(map.TakeOverflow());
  EXPECT_TRUE(map.Merge(evacuations{{"d0", 1001, false}}));
}

// Guards against log lines about reads that change no evacuation, and against
// lists that are sent to entries of releases without evacuations.
TEST(EvacuationMap, ReportsOnlyChangesOfEvacuations) {
  evacuation_map map;
  EXPECT_EQ(map.hash(), 0U);
  map.Merge(evacuations{{"enna", 5, true}, {"noto", 4, false}, {"", 6, true}});
  EXPECT_EQ(map.TakeChanges(), (evacuations{{"enna", 5, true}}));
  map.ApplySnapshot(evacuations{{"enna", 5, true}}, 10);
  EXPECT_TRUE(map.TakeChanges().empty());
  map.ApplySnapshot(evacuations{}, 11);
  EXPECT_EQ(map.TakeChanges(), (evacuations{{"enna", 11, false}}));
  EXPECT_EQ(map.CountEvacuated(), 0U);
}

// Guards against a list that goes to every process with each full read although
// nothing has changed, and against an evacuation that another process missed
// the end of and that a full read has ruled out.
TEST(EvacuationMap, FullReadKeepsTheVersionOfAnEndedEvacuation) {
  evacuation_map map;
  map.Merge(evacuations{{"enna", 5, true}});
  map.Merge(evacuations{{"enna", 9, false}});
  const std::uint64_t hash = map.hash();
  EXPECT_FALSE(map.ApplySnapshot({}, 40));
  EXPECT_EQ(map.hash(), hash);
  map.Merge(evacuations{{"enna", 20, true}});
  EXPECT_FALSE(map.IsEvacuated("enna"));
  map.Merge(evacuations{{"enna", 41, true}});
  EXPECT_TRUE(map.IsEvacuated("enna"));
}

}  // namespace
}  // namespace egretrack::scheduler
