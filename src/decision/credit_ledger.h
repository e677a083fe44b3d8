#ifndef EGRETRACK_DECISION_CREDIT_LEDGER_H_
#define EGRETRACK_DECISION_CREDIT_LEDGER_H_

#include <cstdint>

namespace egretrack::decision {

// Credits that one agent granted over its current connection. The counts are
// cumulative, so repeated or reordered grants have no effect.
class credit_ledger {
 public:
  // A new connection starts without credits.
  void Reset() { *this = credit_ledger(); }

  void Grant(std::uint64_t granted_total);
  void Spend() { ++dispatched_; }
  // Returns up to `count` unused credits to the agent. Returns the new total of
  // released credits.
  std::uint64_t Release(std::uint64_t count);

  std::uint64_t available() const;

 private:
  std::uint64_t granted_ = 0;
  std::uint64_t dispatched_ = 0;
  std::uint64_t released_ = 0;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_CREDIT_LEDGER_H_
