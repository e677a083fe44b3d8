#include "entry/key_binder.h"

#include <algorithm>
#include <utility>

#include "entry/key_rows.h"

namespace egretrack::entry {
namespace {

// 50 transactions a second at most: the table sustains several hundred writes
// a second, and the entries share them with publications.
constexpr milliseconds kFlushInterval{20};
// Bounds the reads that follow when one key of a transaction conflicts.
constexpr std::size_t kMaxKeysPerTransaction = 100;
// Keeps keys that wait for the table from loading it while it is slow or down.
constexpr milliseconds kRetryPause{200};

}  // namespace

key_binder::key_binder(traffic_thread& thread,
                       store::table_client& table,
                       milliseconds bound,
                       on_bound done)
    : thread_(thread), table_(table), bound_(bound), done_(std::move(done)) {}

void key_binder::Bind(std::string key, const job_id& id) {
  attempt added{id, monotonic_clock::now() + bound_};
  thread_.Post([this, key = std::move(key), added = std::move(added)] {
    Add(key, added);
  });
}

void key_binder::Add(const std::string& key, attempt added) {
  auto& attempts = attempts_[key];
  attempts.push_back(std::move(added));
  if (attempts.size() == 1)
    MakeReady(key);
}

void key_binder::MakeReady(const std::string& key) {
  ready_.push_back(key);
  if (std::exchange(flush_planned_, true))
    return;
  const auto wait = std::chrono::ceil<milliseconds>(
      std::max(next_flush_ - monotonic_clock::now(), microseconds(0)));
  thread_.PostAfter(wait, [this] { Flush(); });
}

void key_binder::Flush() {
  flush_planned_ = false;
  next_flush_ = monotonic_clock::now() + kFlushInterval;
  const std::size_t count = std::min(ready_.size(), kMaxKeysPerTransaction);
  const auto end = ready_.begin() + static_cast<std::ptrdiff_t>(count);
  key_list keys(ready_.begin(), end);
  ready_.erase(ready_.begin(), end);

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
  if (ready_.empty())
    return;
  flush_planned_ = true;
  thread_.PostAfter(kFlushInterval, [this] { Flush(); });
}

void key_binder::OnWritten(const key_list& keys, const result<void>& written) {
  if (written) {
    for (const std::string& key : keys)
      SettleBound(key, job_id(attempts_[key].front().id));
    return;
  }
  // A conflict concerns at least one key, and a lost answer may stand for a
  // write that took effect; the rows tell. Even when nothing was sent, an
  // earlier attempt through another entry may have written a row.
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
  // Without a row the write is repeated. It binds the same key to the same
  // id, so it does no harm if the lost one still takes effect.
  if (!found || !*found)
    return Retry(key);
  const auto bound_to = job_id::Parse((*found)->value);
  if (!bound_to)
    return SettleUnknown(key);
  SettleBound(key, *bound_to);
}

void key_binder::Retry(const std::string& key) {
  if (monotonic_clock::now() >= attempts_[key].front().give_up)
    return SettleUnknown(key);
  thread_.PostAfter(kRetryPause, [this, key] { MakeReady(key); });
}

// Every attempt with the key learns the same id.
void key_binder::SettleBound(const std::string& key, const job_id& bound_to) {
  const auto node = attempts_.extract(key);
  for (const attempt& settled : node.mapped()) {
    const bool ours = settled.id == bound_to;
    done_({settled.id,
           ours ? decision::key_binding::kBound
                : decision::key_binding::kBoundToOther,
           bound_to});
  }
}

void key_binder::SettleUnknown(const std::string& key) {
  auto& attempts = attempts_[key];
  const job_id id = attempts.front().id;
  attempts.pop_front();
  if (attempts.empty())
    attempts_.erase(key);
  else
    MakeReady(key);
  done_({id, decision::key_binding::kUnknown, std::nullopt});
}

}  // namespace egretrack::entry
