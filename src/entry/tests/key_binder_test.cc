#include "entry/key_binder.h"

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "entry/key_rows.h"
#include "entry/key_sweeper.h"
#include "standins/table_service.h"

namespace egretrack::entry {
namespace {

using decision::key_binding;
using decision::key_bound;

constexpr seconds kTimeout{10};

job_id MakeId(std::uint64_t number) {
  return {"a", incarnation{1}, 2, number};
}

// The key binder of one entry with its table client; records the reported
// outcomes.
class test_entry {
 public:
  explicit test_entry(const net::tcp_address& service)
      : table_(store::table_client::Create(service, milliseconds(200))),
        binder_(thread_, *table_, milliseconds(500), [this](key_bound bound) {
          const std::lock_guard lock(mutex_);
          reported_.push_back(std::move(bound));
          changed_.notify_all();
        }) {}
  ~test_entry() { Stop(); }

  // Ends the pending calls of the table client, so that no callback uses an
  // object that the test has destroyed.
  void Stop() {
    thread_.Stop();
    table_.reset();
  }

  key_binder& binder() { return binder_; }
  store::table_client& table() { return *table_; }
  traffic_thread& thread() { return thread_; }

  // Waits for the outcome of an id and returns it; returns an empty outcome
  // after kTimeout.
  key_bound Wait(const job_id& id) {
    std::unique_lock lock(mutex_);
    key_bound found;
    changed_.wait_for(lock, kTimeout, [&] {
      for (const key_bound& bound : reported_) {
        if (bound.id == id)
          found = bound;
      }
      return found.id == id;
    });
    return found;
  }

  std::vector<std::string> ListKeys(std::string_view table) {
    std::promise<std::vector<std::string>> listed;
    table_->List(table, "", 1000, [&](auto keys) { listed.set_value(*keys); });
    return listed.get_future().get();
  }

 private:
  traffic_thread thread_;
  std::unique_ptr<store::table_client> table_;
  key_binder binder_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<key_bound> reported_;
};

class KeyBinder : public testing::Test {
 protected:
  std::unique_ptr<standins::table_service> service_ =
      *standins::table_service::Listen({"127.0.0.1", 0});
  test_entry first_{service_->local_address()};
  test_entry second_{service_->local_address()};
};

// Guards against one transaction per key, a rate that the table service cannot
// sustain.
TEST_F(KeyBinder, BindsManyKeysPerTransaction) {
  constexpr int kKeys = 60;
  for (int i = 0; i < kKeys; ++i)
    first_.binder().Bind("key-" + std::to_string(i), MakeId(i));
  for (int i = 0; i < kKeys; ++i)
    EXPECT_EQ(first_.Wait(MakeId(i)).binding, key_binding::kBound);
  EXPECT_EQ(first_.ListKeys(kKeyTable).size(), kKeys);
  EXPECT_LE(first_.ListKeys(kKeyIndexTable).size(), 10U);
}

// Guards against two jobs with one key, submitted through one entry or through
// two.
TEST_F(KeyBinder, BindsKeyToOneJob) {
  first_.binder().Bind("key", MakeId(1));
  first_.binder().Bind("key", MakeId(2));
  ASSERT_EQ(first_.Wait(MakeId(1)).binding, key_binding::kBound);
  EXPECT_EQ(first_.Wait(MakeId(2)).bound_to, MakeId(1));
  second_.binder().Bind("other", MakeId(4));
  second_.binder().Bind("key", MakeId(3));
  EXPECT_EQ(second_.Wait(MakeId(3)).binding, key_binding::kBoundToOther);
  EXPECT_EQ(second_.Wait(MakeId(3)).bound_to, MakeId(1));
  // The conflict of one key must not fail the other keys of its transaction.
  EXPECT_EQ(second_.Wait(MakeId(4)).binding, key_binding::kBound);
}

// Guards against reporting a conflict with the binder's own write when the
// response to that write was lost.
TEST_F(KeyBinder, ResolvesLostResponseByReading) {
  service_->SetFaults({.lose_answers = true});
  first_.binder().Bind("key", MakeId(1));
  EXPECT_EQ(first_.Wait(MakeId(1)).binding, key_binding::kBound);
}

// Guards against reporting a key as bound or not bound while the table service
// is down, because an earlier attempt may have bound it, and against waiting
// without a timeout.
TEST_F(KeyBinder, ReportsUnknownDuringTableOutage) {
  service_->SetFaults({.down = true});
  first_.binder().Bind("key", MakeId(1));
  EXPECT_EQ(first_.Wait(MakeId(1)).binding, key_binding::kUnknown);
  service_->SetFaults({.slow = milliseconds(5000)});
  first_.binder().Bind("key", MakeId(2));
  EXPECT_EQ(first_.Wait(MakeId(2)).binding, key_binding::kUnknown);
}

// Guards against rows that are never deleted or are deleted before they expire.
TEST_F(KeyBinder, SweeperDeletesOnlyExpiredRows) {
  first_.binder().Bind("key", MakeId(1));
  ASSERT_EQ(first_.Wait(MakeId(1)).binding, key_binding::kBound);
  std::atomic<int> sweeps = 0;
  std::atomic<bool> expired = false;
  key_sweeper sweeper(first_.thread(), first_.table(), milliseconds(10), [&] {
    ++sweeps;
    return expired ? microseconds(0) : microseconds(seconds(3600));
  });
  sweeper.Start();
  while (sweeps < 3)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(first_.ListKeys(kKeyTable).size(), 1U);
  expired = true;
  const auto deadline = monotonic_clock::now() + kTimeout;
  while (!first_.ListKeys(kKeyTable).empty() &&
         monotonic_clock::now() < deadline)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_TRUE(first_.ListKeys(kKeyTable).empty());
  EXPECT_TRUE(first_.ListKeys(kKeyIndexTable).empty());
  // Stops the thread, whose tasks use the sweeper, before the sweeper is
  // destroyed.
  first_.Stop();
}

}  // namespace
}  // namespace egretrack::entry
