#include "entry/key_sweeper.h"

#include <algorithm>
#include <utility>

#include "entry/key_rows.h"

namespace egretrack::entry {
namespace {

constexpr std::uint32_t kIndexRowsPerPass = 100;
// 200 reads a second at most, a tenth of what the table sustains.
constexpr milliseconds kReadPause{5};

}  // namespace

key_sweeper::key_sweeper(traffic_thread& thread,
                         store::table_client& table,
                         milliseconds interval,
                         lifetime keep)
    : thread_(thread),
      table_(table),
      interval_(interval),
      keep_(std::move(keep)) {}

void key_sweeper::Start() {
  SweepLater();
}

void key_sweeper::SweepLater() {
  thread_.PostAfter(interval_, [this] { List(); });
}

void key_sweeper::List() {
  table_.List(
      kKeyIndexTable, "", kIndexRowsPerPass,
      [this](result<std::vector<std::string>> keys) {
        thread_.Post([this, keys = std::move(keys)] { OnListed(keys); });
      });
}

void key_sweeper::OnListed(const result<std::vector<std::string>>& index_keys) {
  if (!index_keys)
    return SweepLater();
  const wall_time newest = WallNow() - keep_();
  index_keys_.clear();
  for (const std::string& key : *index_keys) {
    const auto created = ParseCreationTime(key);
    if (created && *created < newest)
      index_keys_.push_back(key);
  }
  std::ranges::reverse(index_keys_);
  SweepNext();
}

void key_sweeper::SweepNext() {
  if (index_keys_.empty())
    return SweepLater();
  const std::string index_key = std::move(index_keys_.back());
  index_keys_.pop_back();
  table_.Read(kKeyIndexTable, index_key, [this, index_key](read_row found) {
    thread_.Post([this, index_key, found = std::move(found)] {
      OnIndexRow(index_key, found);
    });
  });
}

void key_sweeper::OnIndexRow(const std::string& index_key,
                             const read_row& found) {
  if (!found || !*found)
    return SweepNext();
  keys_ = DecodeKeyList((*found)->value);
  deletes_.clear();
  deletes_.push_back(
      {std::string(kKeyIndexTable), index_key, (*found)->etag, std::nullopt});
  ReadNextKey();
}

void key_sweeper::ReadNextKey() {
  if (keys_.empty())
    return Delete();
  const std::string key = std::move(keys_.back());
  keys_.pop_back();
  thread_.PostAfter(kReadPause, [this, key] {
    table_.Read(kKeyTable, key, [this, key](read_row found) {
      thread_.Post(
          [this, key, found = std::move(found)] { OnKeyRow(key, found); });
    });
  });
}

void key_sweeper::OnKeyRow(const std::string& key, const read_row& found) {
  if (!found)
    return SweepNext();
  if (*found) {
    deletes_.push_back(
        {std::string(kKeyTable), key, (*found)->etag, std::nullopt});
  }
  ReadNextKey();
}

// The index row is deleted with its keys. When another entry was faster, it is
// gone, the transaction conflicts, and a key that was bound anew stays.
void key_sweeper::Delete() {
  table_.Write(std::move(deletes_), [this](const result<void>&) {
    thread_.Post([this] { SweepNext(); });
  });
}

}  // namespace egretrack::entry
