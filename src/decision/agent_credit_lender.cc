#include "decision/agent_credit_lender.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// A grant rides on the report that is due anyway, at no extra message, unless
// another entry needs it this many times as much.
constexpr std::uint64_t kReportPreference = 2;

}  // namespace

credit_lender::credit_lender(std::uint32_t capacity,
                             std::uint32_t floor,
                             std::size_t entries)
    : capacity_(capacity), floor_(floor), accounts_(entries) {}

void credit_lender::Open(entry_index entry) {
  accounts_[entry] = account();
}

void credit_lender::Reach(entry_index entry) {
  accounts_[entry].reachable = true;
}

bool credit_lender::Spend(entry_index entry) {
  account& from = accounts_[entry];
  if (from.outstanding() == 0)
    return false;
  ++from.dispatched_total;
  return true;
}

void credit_lender::Release(entry_index entry, std::uint64_t released_total) {
  account& from = accounts_[entry];
  // An entry cannot return more than it holds.
  const std::uint64_t most = from.granted_total - from.dispatched_total;
  from.released_total =
      std::max(from.released_total, std::min(released_total, most));
}

void credit_lender::SetDemand(entry_index entry, std::uint32_t demand) {
  accounts_[entry].demand = demand;
}

void credit_lender::Lend(std::optional<entry_index> reporting) {
  if (!lending_)
    return;
  LendFloors();
  while (free() > 0) {
    account* to = MostInNeed(reporting);
    if (to == nullptr)
      return;
    ++to->granted_total;
  }
}

void credit_lender::LendFloors() {
  for (account& to : accounts_) {
    while (to.reachable && to.outstanding() < floor_ && free() > 0)
      ++to.granted_total;
  }
}

credit_lender::account* credit_lender::MostInNeed(
    std::optional<entry_index> reporting) {
  const auto need = [this, reporting](const account& entry) -> std::uint64_t {
    const bool reports = reporting && &entry == &accounts_[*reporting];
    if (!entry.reachable)
      return 0;
    const std::uint64_t unserved = entry.unserved();
    return reports ? unserved * kReportPreference : unserved;
  };
  const auto most =
      std::max_element(accounts_.begin(), accounts_.end(),
                       [&need](const account& a, const account& b) {
                         return need(a) < need(b);
                       });
  return most == accounts_.end() || need(*most) == 0 ? nullptr : &*most;
}

std::uint64_t credit_lender::Tell(entry_index entry) {
  account& to = accounts_[entry];
  to.told_total = to.granted_total;
  return to.told_total;
}

bool credit_lender::NeedsGrant(entry_index entry) const {
  const account& to = accounts_[entry];
  return to.demand > 0 && to.told_total <= to.used() &&
         to.granted_total > to.told_total;
}

std::uint32_t credit_lender::Recallable(entry_index entry) const {
  const account& from = accounts_[entry];
  const bool wanted =
      std::any_of(accounts_.begin(), accounts_.end(), [](const account& other) {
        return other.reachable && other.unserved() > 0;
      });
  const bool idle = from.reachable && from.demand == 0;
  if (!lending_ || !wanted || !idle || free() > 0)
    return 0;
  return from.outstanding() > floor_ ? from.outstanding() - floor_ : 0;
}

std::uint32_t credit_lender::outstanding() const {
  std::uint32_t sum = 0;
  for (const account& entry : accounts_)
    sum += entry.outstanding();
  return sum;
}

std::uint32_t credit_lender::free() const {
  const std::uint32_t used = tasks_ + outstanding();
  return used < capacity_ ? capacity_ - used : 0;
}

}  // namespace egretrack::decision
