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

// One line: "start|end MICROSECONDS JOB TASK WORD"; the word is the kind of a
// start and the ending of an end.
struct ledger_line {
  ledger_event event = ledger_event::kStart;
  wall_time time{};
  std::string job;
  task_index task = 0;
  std::string word;
};

// Ledger of one endpoint stand-in, opened for appending. Each line is one
// write, so that lines survive a kill and never mix.
class ledger_writer {
 public:
  // Errors: those of the system.
  static result<ledger_writer> Open(const std::string& path);
  ledger_writer(ledger_writer&& other) noexcept;
  ledger_writer& operator=(ledger_writer&&) = delete;
  ~ledger_writer();

  // Errors: those of the system.
  result<void> Append(const ledger_line& line) const;

 private:
  explicit ledger_writer(int descriptor) : descriptor_(descriptor) {}

  int descriptor_;
};

std::string FormatLedgerLine(const ledger_line& line);

// Errors: errc::kParseFailed for text that is not a ledger.
result<std::vector<ledger_line>> ParseLedger(std::string_view text);

// Faults that ledgers show, as sentences; empty when all is well.
// `not_run` holds jobs that were answered "not run".
// `retried` holds the jobs whose single task may start more than once.
std::vector<std::string> CheckLedger(std::span<const ledger_line> lines,
                                     std::span<const std::string> not_run,
                                     std::span<const std::string> retried);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_LEDGER_H_
