#include "decision/agent_credit_granter.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// A credit goes to the entry that is about to receive a report, which saves a
// grant message, unless another entry has more than this multiple of its unmet
// demand.
constexpr std::uint64_t kReportPreference = 2;

}  // namespace

credit_granter::credit_granter(std::uint32_t capacity,
                               std::uint32_t floor,
                               std::size_t entries)
    : capacity_(capacity), floor_(floor), accounts_(entries) {}

void credit_granter::ResetConnection(entry_index entry) {
  accounts_[entry] = account();
}

void credit_granter::MarkReachable(entry_index entry) {
  accounts_[entry].reachable = true;
}

bool credit_granter::SpendCredit(entry_index entry) {
  account& from = accounts_[entry];
  if (from.outstanding() == 0)
    return false;
  ++from.dispatched_total;
  return true;
}

void credit_granter::Release(entry_index entry, std::uint64_t released_total) {
  account& from = accounts_[entry];
  // An entry cannot release more credits than it holds.
  const std::uint64_t most = from.granted_total - from.dispatched_total;
  from.released_total =
      std::max(from.released_total, std::min(released_total, most));
}

void credit_granter::SetDemand(entry_index entry, std::uint32_t demand) {
  accounts_[entry].demand = demand;
}

void credit_granter::Grant(std::optional<entry_index> reporting) {
  if (!granting_)
    return;
  GrantFloors();
  while (free_capacity() > 0) {
    account* to = LargestUnmetDemand(reporting);
    if (to == nullptr)
      return;
    ++to->granted_total;
  }
}

void credit_granter::GrantFloors() {
  for (account& to : accounts_) {
    while (to.reachable && to.outstanding() < floor_ && free_capacity() > 0)
      ++to.granted_total;
  }
}

credit_granter::account* credit_granter::LargestUnmetDemand(
    std::optional<entry_index> reporting) {
  const auto need = [this, reporting](const account& entry) -> std::uint64_t {
    const bool reports = reporting && &entry == &accounts_[*reporting];
    if (!entry.reachable)
      return 0;
    const std::uint64_t unmet_demand = entry.unmet_demand();
    return reports ? unmet_demand * kReportPreference : unmet_demand;
  };
  const auto most =
      std::max_element(accounts_.begin(), accounts_.end(),
                       [&need](const account& a, const account& b) {
                         return need(a) < need(b);
                       });
  return most == accounts_.end() || need(*most) == 0 ? nullptr : &*most;
}

std::uint64_t credit_granter::AdvertiseTotal(entry_index entry) {
  account& to = accounts_[entry];
  to.advertised_total = to.granted_total;
  return to.advertised_total;
}

bool credit_granter::NeedsGrantMessage(entry_index entry) const {
  const account& to = accounts_[entry];
  return to.demand > 0 && to.advertised_total <= to.used() &&
         to.granted_total > to.advertised_total;
}

std::uint32_t credit_granter::RecallableCredits(entry_index entry) const {
  const account& from = accounts_[entry];
  const bool wanted =
      std::any_of(accounts_.begin(), accounts_.end(), [](const account& other) {
        return other.reachable && other.unmet_demand() > 0;
      });
  const bool idle = from.reachable && from.demand == 0;
  if (!granting_ || !wanted || !idle || free_capacity() > 0)
    return 0;
  return from.outstanding() > floor_ ? from.outstanding() - floor_ : 0;
}

std::uint32_t credit_granter::outstanding() const {
  std::uint32_t sum = 0;
  for (const account& entry : accounts_)
    sum += entry.outstanding();
  return sum;
}

std::uint32_t credit_granter::free_capacity() const {
  const std::uint32_t used = tasks_ + outstanding();
  return used < capacity_ ? capacity_ - used : 0;
}

}  // namespace egretrack::decision
