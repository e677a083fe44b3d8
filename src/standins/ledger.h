#ifndef EGRETRACK_STANDINS_LEDGER_H_
#define EGRETRACK_STANDINS_LEDGER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

namespace egretrack::standins {

enum class ledger_event : std::uint8_t { kStart, kEnd };

// One line of a ledger: "start|end MICROSECONDS JOB TASK DETAIL". The detail of
// a start is the request kind, that of an end is the name of the task ending.
struct ledger_line {
  ledger_event event = ledger_event::kStart;
  wall_time time{};
  std::string job;
  task_index task = 0;
  std::string detail;
};

// Appends to the ledger of one endpoint stand-in, a file that records when each
// task started and ended. Each line is one write() call, so that complete lines
// survive a SIGKILL and concurrent lines do not interleave.
class ledger_writer {
 public:
  // Errors: system errors.
  static result<ledger_writer> Open(const std::string& path);
  ledger_writer(ledger_writer&& other) noexcept;
  ledger_writer& operator=(ledger_writer&&) = delete;
  ~ledger_writer();

  // Errors: system errors.
  result<void> Append(const ledger_line& line) const;

 private:
  explicit ledger_writer(int descriptor) : descriptor_(descriptor) {}

  int descriptor_;
};

std::string FormatLedgerLine(const ledger_line& line);

// Ignores an incomplete last line. Errors: errc::kParseFailed for a malformed
// line.
result<std::vector<ledger_line>> ParseLedger(std::string_view text);

// Returns one sentence for each violation that the ledgers show.
// `not_run_jobs` holds the jobs whose answer said "not run"; none of their
// tasks may start. `retryable_jobs` holds the jobs whose single task may start
// more than once.
std::vector<std::string> CheckLedger(
    std::span<const ledger_line> lines,
    std::span<const std::string> not_run_jobs,
    std::span<const std::string> retryable_jobs);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_LEDGER_H_
