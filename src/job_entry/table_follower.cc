#include "job_entry/table_follower.h"

#include <algorithm>
#include <utility>

namespace egretrack::job_entry {
namespace {

// A store that comes back is asked within the last of these; each call is
// priced, also a refused one.
constexpr milliseconds kFirstBackoff{50};
constexpr milliseconds kLongestBackoff{400};

}  // namespace

table_follower::table_follower(platform::store_client& store,
                               std::string table,
                               milliseconds watch,
                               on_answer post)
    : store_(store),
      table_(std::move(table)),
      watch_(watch),
      post_(std::move(post)) {}

monotonic_time table_follower::Advance(monotonic_time now) {
  if (in_flight_)
    return monotonic_time::max();
  if (now < next_call_)
    return next_call_;
  Call();
  return monotonic_time::max();
}

void table_follower::Call() {
  in_flight_ = true;
  auto done = [post = post_](result<platform::store_page> page) {
    post({std::move(page)});
  };
  if (watching_)
    store_.Watch(table_, version_, watch_, std::move(done));
  else
    store_.Read(table_, next_key_, std::move(done));
}

std::optional<table_change> table_follower::Take(follower_answer answer,
                                                 monotonic_time now) {
  in_flight_ = false;
  if (!answer.page) {
    NoteFailure(answer.page.error(), now);
    return std::nullopt;
  }
  failing_since_.reset();
  backoff_ = milliseconds(0);
  next_call_ = now;
  platform::store_page& page = *answer.page;
  table_change change;
  if (watching_) {
    version_ = std::max(version_, page.version);
    change.rows = std::move(page.rows);
    return change;
  }
  // A whole read of several parts goes on from the version of the first one,
  // so that no change between two parts is missed.
  if (parts_.empty() && next_key_.empty())
    version_ = page.version;
  std::ranges::move(page.rows, std::back_inserter(parts_));
  if (page.more && !parts_.empty()) {
    // The range begins with its first key: the smallest that is greater.
    next_key_ = parts_.back().key + '\0';
    return std::nullopt;
  }
  watching_ = true;
  next_key_.clear();
  change.rows = std::exchange(parts_, {});
  change.whole = true;
  return change;
}

void table_follower::NoteFailure(const error& failure, monotonic_time now) {
  if (!failing_since_)
    failing_since_ = now;
  last_failure_ = failure.ToString();
  if (failure.code == errc::kNotFound && watching_) {
    watching_ = false;
    next_call_ = now;
    return;
  }
  parts_.clear();
  next_key_.clear();
  backoff_ = std::clamp(2 * backoff_, kFirstBackoff, kLongestBackoff);
  next_call_ = now + backoff_;
}

}  // namespace egretrack::job_entry
