#include "job_entry/table_follower.h"

#include <algorithm>
#include <utility>

namespace egretrack::job_entry {
namespace {

// The longest backoff bounds the delay after the store has recovered. Backoff
// saves calls, because every call has a cost, even a refused one.
constexpr milliseconds kMinBackoff{50};
constexpr milliseconds kMaxBackoff{400};

}  // namespace

table_follower::table_follower(platform::store_client& store,
                               std::string table,
                               milliseconds watch_timeout,
                               on_read post)
    : store_(store),
      table_(std::move(table)),
      watch_timeout_(watch_timeout),
      post_(std::move(post)) {}

monotonic_time table_follower::Advance(monotonic_time now) {
  if (in_flight_)
    return monotonic_time::max();
  if (now < next_call_)
    return next_call_;
  StartRead();
  return monotonic_time::max();
}

void table_follower::StartRead() {
  in_flight_ = true;
  auto done = [post = post_](result<platform::store_page> page) {
    post({std::move(page)});
  };
  if (watching_)
    store_.Watch(table_, version_, watch_timeout_, std::move(done));
  else
    store_.Read(table_, next_key_, std::move(done));
}

std::optional<table_change> table_follower::HandleRead(table_read outcome,
                                                       monotonic_time now) {
  in_flight_ = false;
  if (!outcome.page) {
    HandleFailure(outcome.page.error(), now);
    return std::nullopt;
  }
  failing_since_.reset();
  backoff_ = milliseconds(0);
  next_call_ = now;
  platform::store_page& page = *outcome.page;
  if (watching_) {
    version_ = std::max(version_, page.version);
    return table_change{std::move(page.rows), std::move(page.invalid_rows),
                        false, 0};
  }
  // After a full read of several pages the watch starts at the version of the
  // first page, so that no change between two pages is missed.
  if (next_key_.empty())
    version_ = page.version;
  std::ranges::move(page.rows, std::back_inserter(snapshot_.rows));
  std::ranges::move(page.invalid_rows,
                    std::back_inserter(snapshot_.invalid_rows));
  if (page.more && !page.last_key.empty()) {
    // A range includes its first key, so the next one starts at the smallest
    // greater key.
    next_key_ = page.last_key + '\0';
    return std::nullopt;
  }
  watching_ = true;
  next_key_.clear();
  snapshot_.full_snapshot = true;
  snapshot_.version = version_;
  return std::exchange(snapshot_, {});
}

void table_follower::HandleFailure(const error& failure, monotonic_time now) {
  if (!failing_since_)
    failing_since_ = now;
  last_failure_ = failure.ToString();
  if (failure.code == errc::kNotFound && watching_) {
    watching_ = false;
    next_call_ = now;
    return;
  }
  snapshot_ = {};
  next_key_.clear();
  backoff_ = std::clamp(2 * backoff_, kMinBackoff, kMaxBackoff);
  next_call_ = now + backoff_;
}

}  // namespace egretrack::job_entry
