#include "entry/key_binder.h"

#include <algorithm>
#include <utility>

#include "entry/key_rows.h"

namespace egretrack::entry {
namespace {

// At most 50 transactions per second: the table service sustains several
// hundred writes per second, which all entries and the publications share.
constexpr milliseconds kWriteInterval{20};
// Limits the number of reads after a transaction in which one key conflicts.
constexpr std::size_t kMaxKeysPerTransaction = 100;
// Limits the load of retries on a table service that is slow or unavailable.
constexpr milliseconds kRetryDelay{200};

}  // namespace

key_binder::key_binder(traffic_thread& thread,
                       store::table_client& table,
                       milliseconds timeout,
                       on_bound done)
    : thread_(thread),
      table_(table),
      timeout_(timeout),
      done_(std::move(done)) {}

void key_binder::Bind(std::string key, const job_id& id) {
  attempt added{id, monotonic_clock::now() + timeout_};
  thread_.Post([this, key = std::move(key), added = std::move(added)] {
    Add(key, added);
  });
}

void key_binder::Add(const std::string& key, attempt added) {
  auto& attempts = attempts_[key];
  attempts.push_back(std::move(added));
  if (attempts.size() == 1)
    Enqueue(key);
}

void key_binder::Enqueue(const std::string& key) {
  write_queue_.push_back(key);
  if (std::exchange(write_scheduled_, true))
    return;
  const auto wait = std::chrono::ceil<milliseconds>(
      std::max(next_write_ - monotonic_clock::now(), microseconds(0)));
  thread_.PostAfter(wait, [this] { WriteBatch(); });
}

void key_binder::WriteBatch() {
  write_scheduled_ = false;
  next_write_ = monotonic_clock::now() + kWriteInterval;
  const std::size_t count =
      std::min(write_queue_.size(), kMaxKeysPerTransaction);
  const auto end = write_queue_.begin() + static_cast<std::ptrdiff_t>(count);
  key_list keys(write_queue_.begin(), end);
  write_queue_.erase(write_queue_.begin(), end);

  std::vector<store::row_write> writes;
  for (const std::string& key : keys) {
    writes.push_back(
        {std::string(kKeyTable), key, 0, attempts_[key].front().id.ToString()});
  }
  writes.push_back({std::string(kKeyIndexTable), MakeIndexKey(WallNow()), 0,
                    EncodeKeyList(keys)});
  table_.Write(std::move(writes),
               [this, keys = std::move(keys)](result<void> written) {
                 thread_.Post([this, keys, written = std::move(written)] {
                   OnWritten(keys, written);
                 });
               });
  if (write_queue_.empty())
    return;
  write_scheduled_ = true;
  thread_.PostAfter(kWriteInterval, [this] { WriteBatch(); });
}

void key_binder::OnWritten(const key_list& keys, const result<void>& written) {
  if (written) {
    for (const std::string& key : keys)
      CompleteBound(key, job_id(attempts_[key].front().id));
    return;
  }
  // After a conflict at least one of the keys is already bound, and a write
  // whose response was lost may have taken effect; the rows show which is the
  // case. Rows may exist even if the write was not sent, because an earlier
  // attempt through another entry may have written them.
  for (const std::string& key : keys)
    ReadRow(key);
}

void key_binder::ReadRow(const std::string& key) {
  table_.Read(
      kKeyTable, key, [this, key](result<std::optional<store::row>> found) {
        thread_.Post(
            [this, key, found = std::move(found)] { OnRow(key, found); });
      });
}

void key_binder::OnRow(const std::string& key,
                       const result<std::optional<store::row>>& found) {
  // Retries the write if there is no row. The retry binds the same key to the
  // same id, so it is safe even if the lost write still takes effect.
  if (!found || !*found)
    return Retry(key);
  const auto bound_to = job_id::Parse((*found)->value);
  if (!bound_to)
    return CompleteUnknown(key);
  CompleteBound(key, *bound_to);
}

void key_binder::Retry(const std::string& key) {
  if (monotonic_clock::now() >= attempts_[key].front().expiry)
    return CompleteUnknown(key);
  thread_.PostAfter(kRetryDelay, [this, key] { Enqueue(key); });
}

// Reports the bound id to every attempt with the key.
void key_binder::CompleteBound(const std::string& key, const job_id& bound_to) {
  const auto node = attempts_.extract(key);
  for (const attempt& completed : node.mapped()) {
    const bool same_job = completed.id == bound_to;
    done_({completed.id,
           same_job ? decision::key_binding::kBound
                    : decision::key_binding::kBoundToOther,
           bound_to});
  }
}

void key_binder::CompleteUnknown(const std::string& key) {
  auto& attempts = attempts_[key];
  const job_id id = attempts.front().id;
  attempts.pop_front();
  if (attempts.empty())
    attempts_.erase(key);
  else
    Enqueue(key);
  done_({id, decision::key_binding::kUnknown, std::nullopt});
}

}  // namespace egretrack::entry
