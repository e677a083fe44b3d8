#include "decision/credit_ledger.h"

#include <algorithm>

namespace egretrack::decision {

void credit_ledger::Grant(std::uint64_t granted_total) {
  granted_ = std::max(granted_, granted_total);
}

std::uint64_t credit_ledger::Release(std::uint64_t count) {
  released_ += std::min(count, available());
  return released_;
}

std::uint64_t credit_ledger::available() const {
  // Push strategies dispatch without credits, so `used` may exceed the grants.
  const std::uint64_t used = dispatched_ + released_;
  return granted_ > used ? granted_ - used : 0;
}

}  // namespace egretrack::decision
