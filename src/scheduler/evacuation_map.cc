#include "egretrack/scheduler/evacuation_map.h"

#include <algorithm>
#include <utility>

#include "scheduler/stable_hash.h"

namespace egretrack::scheduler {

bool evacuation_map::Merge(std::span<const wire::domain_evacuation> values) {
  bool changed = false;
  for (const wire::domain_evacuation& value : values)
    changed = Adopt(value) || changed;
  if (changed)
    UpdateHash();
  return changed;
}

bool evacuation_map::ApplySnapshot(
    std::span<const wire::domain_evacuation> values,
    std::uint64_t version,
    std::span<const std::string> unreadable) {
  // The rows are older than the read, so they are merged before its version
  // bounds what counts as new.
  const bool changed = Merge(values);
  std::vector<wire::domain_evacuation> absent;
  for (const wire::domain_evacuation& known : values_) {
    const bool listed =
        std::ranges::find(values, known.domain,
                          &wire::domain_evacuation::domain) != values.end() ||
        std::ranges::find(unreadable, known.domain) != unreadable.end();
    // The end of an evacuation keeps its version: raising it with each full
    // read would send the list to every process although nothing has changed.
    if (known.evacuated && !listed)
      absent.push_back({known.domain, version, false});
  }
  if (version > snapshot_version_) {
    snapshot_version_ = version;
    unreadable_ = {unreadable.begin(), unreadable.end()};
  }
  return Merge(absent) || changed;
}

std::uint64_t evacuation_map::AbsentVersion(const std::string& domain) const {
  return unreadable_.contains(domain) ? 0 : snapshot_version_;
}

bool evacuation_map::Adopt(const wire::domain_evacuation& value) {
  if (value.domain.empty())
    return false;
  const auto found = std::ranges::lower_bound(values_, value.domain, {},
                                              &wire::domain_evacuation::domain);
  if (found == values_.end() || found->domain != value.domain)
    return Insert(found, value);
  if (value.version <= found->version)
    return false;
  wire::domain_evacuation adopted = NotBeforeSnapshot(value);
  if (adopted.evacuated || found->evacuated)
    changes_.push_back(adopted);
  *found = std::move(adopted);
  return true;
}

// A value from another process may be older than the latest full read, which
// did not contain its domain. The domain is then recorded as not evacuated, so
// that the other process learns it.
wire::domain_evacuation evacuation_map::NotBeforeSnapshot(
    wire::domain_evacuation value) const {
  const std::uint64_t absent = AbsentVersion(value.domain);
  if (value.evacuated && value.version < absent)
    return {std::move(value.domain), absent, false};
  return value;
}

bool evacuation_map::Insert(
    std::vector<wire::domain_evacuation>::iterator position,
    wire::domain_evacuation value) {
  if (values_.size() >= kMaxEvacuationDomains) {
    overflowed_ = true;
    return false;
  }
  value = NotBeforeSnapshot(std::move(value));
  if (value.evacuated)
    changes_.push_back(value);
  values_.insert(position, std::move(value));
  return true;
}

bool evacuation_map::IsEvacuated(std::string_view domain) const {
  const auto found = std::ranges::lower_bound(values_, domain, {},
                                              &wire::domain_evacuation::domain);
  return found != values_.end() && found->domain == domain && found->evacuated;
}

std::size_t evacuation_map::CountEvacuated() const {
  return static_cast<std::size_t>(
      std::ranges::count(values_, true, &wire::domain_evacuation::evacuated));
}

std::vector<wire::domain_evacuation> evacuation_map::TakeChanges() {
  return std::exchange(changes_, {});
}

bool evacuation_map::TakeOverflow() {
  return overflowed_ && !std::exchange(overflow_taken_, true);
}

void evacuation_map::UpdateHash() {
  hash_ = kStableHashStart;
  for (const wire::domain_evacuation& value : values_) {
    hash_ = HashField(hash_, value.domain);
    hash_ = HashField(hash_, std::to_string(value.version));
    hash_ = HashField(hash_, value.evacuated ? "1" : "0");
  }
}

}  // namespace egretrack::scheduler
