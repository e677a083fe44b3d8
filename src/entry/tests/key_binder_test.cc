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

constexpr seconds kPatience{10};

job_id Id(std::uint64_t number) {
  return {"a", incarnation{1}, 2, number};
}

// One entry's side of the table, with the outcomes it reported.
class binding_entry {
 public:
  explicit binding_entry(const net::tcp_address& service)
      : table_(store::table_client::Create(service, milliseconds(200))),
        binder_(thread_, *table_, milliseconds(500), [this](key_bound bound) {
          const std::lock_guard lock(mutex_);
          reported_.push_back(std::move(bound));
          changed_.notify_all();
        }) {}
  ~binding_entry() { Stop(); }

  // Ends every call of the table client, so that none reaches an object that a
  // test has destroyed.
  void Stop() {
    thread_.Stop();
    table_.reset();
  }

  key_binder& binder() { return binder_; }
  store::table_client& table() { return *table_; }
  traffic_thread& thread() { return thread_; }

  // The outcome for an id, when it comes.
  key_bound Wait(const job_id& id) {
    std::unique_lock lock(mutex_);
    key_bound found;
    changed_.wait_for(lock, kPatience, [&] {
      for (const key_bound& bound : reported_) {
        if (bound.id == id)
          found = bound;
      }
      return found.id == id;
    });
    return found;
  }

  std::vector<std::string> Keys(std::string_view table) {
    std::promise<std::vector<std::string>> got;
    table_->List(table, "", 1000, [&](auto keys) { got.set_value(*keys); });
    return got.get_future().get();
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
  binding_entry first_{service_->local_address()};
  binding_entry second_{service_->local_address()};
};

// Guards against one write per key, which the table can't sustain.
TEST_F(KeyBinder, CommitsKeysTogether) {
  constexpr int kKeys = 60;
  for (int i = 0; i < kKeys; ++i)
    first_.binder().Bind("key-" + std::to_string(i), Id(i));
  for (int i = 0; i < kKeys; ++i)
    EXPECT_EQ(first_.Wait(Id(i)).binding, key_binding::kBound);
  EXPECT_EQ(first_.Keys(kKeyTable).size(), kKeys);
  EXPECT_LE(first_.Keys(kKeyIndexTable).size(), 10U);
}

// Guards against two jobs for one key, through one entry or two.
TEST_F(KeyBinder, KeyNamesOneJob) {
  first_.binder().Bind("key", Id(1));
  first_.binder().Bind("key", Id(2));
  ASSERT_EQ(first_.Wait(Id(1)).binding, key_binding::kBound);
  EXPECT_EQ(first_.Wait(Id(2)).bound_to, Id(1));
  second_.binder().Bind("other", Id(4));
  second_.binder().Bind("key", Id(3));
  EXPECT_EQ(second_.Wait(Id(3)).binding, key_binding::kBoundToOther);
  EXPECT_EQ(second_.Wait(Id(3)).bound_to, Id(1));
  // The conflict of one key must not fail another of the same transaction.
  EXPECT_EQ(second_.Wait(Id(4)).binding, key_binding::kBound);
}

// Guards against a lost answer that makes a caller's own write look foreign.
TEST_F(KeyBinder, ResolvesLostAnswerByRead) {
  service_->SetFaults({.lose_answers = true});
  first_.binder().Bind("key", Id(1));
  EXPECT_EQ(first_.Wait(Id(1)).binding, key_binding::kBound);
}

// Guards against a claim about earlier attempts while the table is away, and
// against a wait without end.
TEST_F(KeyBinder, OutageIsUnknown) {
  service_->SetFaults({.down = true});
  first_.binder().Bind("key", Id(1));
  EXPECT_EQ(first_.Wait(Id(1)).binding, key_binding::kUnknown);
  service_->SetFaults({.slow = milliseconds(5000)});
  first_.binder().Bind("key", Id(2));
  EXPECT_EQ(first_.Wait(Id(2)).binding, key_binding::kUnknown);
}

// Guards against rows that are kept for ever, or deleted too early.
TEST_F(KeyBinder, SweeperDeletesOldRowsOnly) {
  first_.binder().Bind("key", Id(1));
  ASSERT_EQ(first_.Wait(Id(1)).binding, key_binding::kBound);
  std::atomic<int> passes = 0;
  std::atomic<bool> expired = false;
  key_sweeper sweeper(first_.thread(), first_.table(), milliseconds(10), [&] {
    ++passes;
    return expired ? microseconds(0) : microseconds(seconds(3600));
  });
  sweeper.Start();
  while (passes < 3)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(first_.Keys(kKeyTable).size(), 1U);
  expired = true;
  const auto deadline = monotonic_clock::now() + kPatience;
  while (!first_.Keys(kKeyTable).empty() && monotonic_clock::now() < deadline)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_TRUE(first_.Keys(kKeyTable).empty());
  EXPECT_TRUE(first_.Keys(kKeyIndexTable).empty());
  // The sweeper goes before the entry does.
  first_.Stop();
}

}  // namespace
}  // namespace egretrack::entry
