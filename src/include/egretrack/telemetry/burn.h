#ifndef EGRETRACK_TELEMETRY_BURN_H_
#define EGRETRACK_TELEMETRY_BURN_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

// Error-budget burn rate of each desk: the share of missed requests divided by
// the share that the service-level objective allows. At a burn of 1, a desk
// uses up exactly its error budget.
namespace egretrack::telemetry {

struct burn_window {
  seconds length{0};
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;  // Not answered once and on time.
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

// Counts request outcomes by desk and time. Owned by the control thread.
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
// Returns an SVG chart of the history, with one line per desk.
std::string ToSvg(const burn_report& report);

// Parses the output of ToJson(). Errors: errc::kParseFailed.
result<burn_report> ParseBurnReport(std::string_view text);

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_BURN_H_
