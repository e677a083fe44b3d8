#ifndef EGRETRACK_SCHEDULER_EVACUATION_MAP_H_
#define EGRETRACK_SCHEDULER_EVACUATION_MAP_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/wire/run_messages.h"

// Decides which failure domains are evacuated. Handles values that arrive late,
// repeatedly and in any order: from the store, and from processes that may have
// lost the store before the last change.
namespace egretrack::scheduler {

// An operator evacuates a few domains at a time. The bound limits the memory
// and the messages if another writer fills the table.
inline constexpr std::size_t kMaxEvacuationDomains = 256;

class evacuation_map {
 public:
  // Adopts each value with a higher version than the known one of its domain.
  // Returns true if anything changed.
  bool Merge(std::span<const wire::domain_evacuation> values);

  // Applies a full read of the table at `version`: a domain that is in neither
  // list was not evacuated then. `unreadable` are the domains whose rows cannot
  // be decoded; what is known of them stays. Returns true if anything changed.
  bool ApplySnapshot(std::span<const wire::domain_evacuation> values,
                     std::uint64_t version,
                     std::span<const std::string> unreadable = {});

  bool IsEvacuated(std::string_view domain) const;
  // Number of evacuated domains.
  std::size_t CountEvacuated() const;
  // Hash of values(); the same in every process. 0 if there are none, as in
  // messages of releases without evacuations.
  std::uint64_t hash() const { return hash_; }
  // All known values, ordered by domain.
  const std::vector<wire::domain_evacuation>& values() const { return values_; }

  // Returns the values since the last call that evacuate a domain, or end its
  // evacuation.
  std::vector<wire::domain_evacuation> TakeChanges();
  // True in the first call after a domain was left out for the bound.
  bool TakeOverflow();

 private:
  // Version at which a domain without a value is known not to be evacuated.
  std::uint64_t AbsentVersion(const std::string& domain) const;
  wire::domain_evacuation NotBeforeSnapshot(
      wire::domain_evacuation value) const;
  bool Adopt(const wire::domain_evacuation& value);
  bool Insert(std::vector<wire::domain_evacuation>::iterator position,
              wire::domain_evacuation value);
  void UpdateHash();

  std::vector<wire::domain_evacuation> values_;
  std::vector<wire::domain_evacuation> changes_;
  std::uint64_t snapshot_version_ = 0;  // Of the latest full read.
  std::set<std::string> unreadable_;    // In that read.
  std::uint64_t hash_ = 0;
  bool overflowed_ = false;
  bool overflow_taken_ = false;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_EVACUATION_MAP_H_
