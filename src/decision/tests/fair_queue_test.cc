#include "decision/fair_queue.h"

#include <array>

#include <gtest/gtest.h>

namespace egretrack::decision {
namespace {

class accept_all final : public placement_filter {
 public:
  bool Accepts(const queue_item& /*item*/) const override { return true; }
};

queue_item MakeItem(int key_ms, std::uint64_t sequence, quota_node* quota) {
  queue_item item;
  item.key = monotonic_time(milliseconds(key_ms));
  item.latest_start = item.key;
  item.sequence = sequence;
  item.quota = quota;
  return item;
}

// Guards against a team that is served more or less often than its weight
// allows.
TEST(FairQueue, TeamsAreServedByWeight) {
  quota_node light;
  quota_node heavy;
  heavy.weight = 3;
  queue_item a = MakeItem(100, 1, &light);
  queue_item b = MakeItem(900, 2, &heavy);
  fair_queue queue;
  queue.Add(a, "light");
  queue.Add(b, "heavy");
  int heavy_tasks = 0;
  bool blocked = false;
  for (int i = 0; i < 400; ++i) {
    queue_item* next = queue.Next(accept_all(), monotonic_time(), blocked);
    fair_queue::Charge(*next);
    heavy_tasks += next == &b ? 1 : 0;
  }
  EXPECT_EQ(heavy_tasks, 300);
  EXPECT_FALSE(blocked);
}

// Guards against an infeasible job that is sent before a feasible one.
TEST(FairQueue, EarliestFeasibleDeadlineFirst) {
  std::array items = {MakeItem(300, 1, nullptr), MakeItem(100, 2, nullptr),
                      MakeItem(200, 3, nullptr)};
  fair_queue queue;
  for (queue_item& item : items)
    queue.Add(item, "");
  std::vector<std::uint64_t> order;
  bool blocked = false;
  const monotonic_time now{milliseconds(150)};
  while (queue_item* next = queue.Next(accept_all(), now, blocked)) {
    order.push_back(next->sequence);
    queue.Remove(*next);
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 1, 2}));
}

}  // namespace
}  // namespace egretrack::decision
