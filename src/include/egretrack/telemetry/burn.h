#ifndef EGRETRACK_TELEMETRY_BURN_H_
#define EGRETRACK_TELEMETRY_BURN_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

// Service-level burn: how fast a desk uses up the errors that its objective
// allows. A burn of 1 uses exactly the allowance.
namespace egretrack::telemetry {

struct burn_window {
  seconds length{0};
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;  // Not answered on time and once.
  double burn = 0;           // (missed / requests) / (1 - objective)
};

struct desk_burn {
  std::string desk;
  double objective = 0;
  std::vector<burn_window> windows;  // 1 min, 5 min, 30 min, 1 h.
  std::vector<double> history;  // Burn per minute, oldest first, 60 at most.
};

struct burn_report {
  std::vector<desk_burn> desks;  // Sorted by name.
};

// Counts outcomes per desk and minute. Owned by the control thread.
class burn_meter {
 public:
  static std::unique_ptr<burn_meter> Create();
  virtual ~burn_meter() = default;
  virtual void SetObjective(std::string_view desk, double objective) = 0;
  virtual void Record(std::string_view desk,
                      bool on_time,
                      monotonic_time now) = 0;
  virtual burn_report Report(monotonic_time now) = 0;
};

std::string ToText(const burn_report& report);
std::string ToJson(const burn_report& report);
// A chart of the history, one line per desk.
std::string ToSvg(const burn_report& report);

// Reads what ToJson() wrote. Errors: errc::kParseFailed.
result<burn_report> ParseBurnReport(std::string_view text);

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_BURN_H_
