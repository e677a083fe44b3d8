#include "entry/key_sweeper.h"

#include <algorithm>
#include <utility>

#include "entry/key_rows.h"

namespace egretrack::entry {
namespace {

constexpr std::uint32_t kIndexRowsPerSweep = 100;
// At most 200 reads per second, a tenth of what the table service sustains.
constexpr milliseconds kReadInterval{5};

}  // namespace

key_sweeper::key_sweeper(traffic_thread& thread,
                         store::table_client& table,
                         milliseconds interval,
                         lifetime_getter key_lifetime)
    : thread_(thread),
      table_(table),
      interval_(interval),
      key_lifetime_(std::move(key_lifetime)) {}

void key_sweeper::Start() {
  ScheduleSweep();
}

void key_sweeper::ScheduleSweep() {
  thread_.PostAfter(interval_, [this] { ListIndexRows(); });
}

void key_sweeper::ListIndexRows() {
  table_.List(
      kKeyIndexTable, "", kIndexRowsPerSweep,
      [this](result<std::vector<std::string>> keys) {
        thread_.Post([this, keys = std::move(keys)] { OnListed(keys); });
      });
}

void key_sweeper::OnListed(const result<std::vector<std::string>>& index_keys) {
  if (!index_keys)
    return ScheduleSweep();
  const wall_time cutoff = WallNow() - key_lifetime_();
  index_keys_.clear();
  for (const std::string& key : *index_keys) {
    const auto created = ParseCreationTime(key);
    if (created && *created < cutoff)
      index_keys_.push_back(key);
  }
  std::ranges::reverse(index_keys_);
  SweepNextIndexRow();
}

void key_sweeper::SweepNextIndexRow() {
  if (index_keys_.empty())
    return ScheduleSweep();
  const std::string index_key = std::move(index_keys_.back());
  index_keys_.pop_back();
  table_.Read(kKeyIndexTable, index_key, [this, index_key](row_result found) {
    thread_.Post([this, index_key, found = std::move(found)] {
      OnIndexRow(index_key, found);
    });
  });
}

void key_sweeper::OnIndexRow(const std::string& index_key,
                             const row_result& found) {
  if (!found || !*found)
    return SweepNextIndexRow();
  keys_ = DecodeKeyList((*found)->value);
  deletes_.clear();
  deletes_.push_back(
      {std::string(kKeyIndexTable), index_key, (*found)->etag, std::nullopt});
  ReadNextKey();
}

void key_sweeper::ReadNextKey() {
  if (keys_.empty())
    return DeleteRows();
  const std::string key = std::move(keys_.back());
  keys_.pop_back();
  thread_.PostAfter(kReadInterval, [this, key] {
    table_.Read(kKeyTable, key, [this, key](row_result found) {
      thread_.Post(
          [this, key, found = std::move(found)] { OnKeyRow(key, found); });
    });
  });
}

void key_sweeper::OnKeyRow(const std::string& key, const row_result& found) {
  if (!found)
    return SweepNextIndexRow();
  if (*found) {
    deletes_.push_back(
        {std::string(kKeyTable), key, (*found)->etag, std::nullopt});
  }
  ReadNextKey();
}

// Deletes the index row together with its keys. If another entry has already
// deleted it, the transaction conflicts and deletes nothing, so that a key that
// was bound again in the meantime keeps its row.
void key_sweeper::DeleteRows() {
  table_.Write(std::move(deletes_), [this](const result<void>&) {
    thread_.Post([this] { SweepNextIndexRow(); });
  });
}

}  // namespace egretrack::entry
