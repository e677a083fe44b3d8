#ifndef EGRETRACK_STANDINS_TASK_SCRIPT_H_
#define EGRETRACK_STANDINS_TASK_SCRIPT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "egretrack/base/time.h"

namespace egretrack::standins {

// How the endpoint stand-in responds when a task ends.
enum class task_ending : std::uint8_t {
  kResult,
  kFail,      // Status 500.
  kReset,     // Half of the body, then a connection reset.
  kTruncate,  // Half of the body, then an orderly close.
  kRefuse,    // Status 503 "not run"; the task does not start.
};

// Behaviour that a payload requests from the endpoint stand-in.
struct task_script {
  milliseconds sleep{0};
  task_ending ending = task_ending::kResult;
  std::string echo;
};

// Parses space-separated directives: sleep=MS, fail, cut, short, refuse and
// echo=TEXT. Unknown directives are ignored, so that any payload is a valid
// script.
task_script ParseTaskScript(std::string_view payload);

// Returns the directive of the ending, which also appears in ledgers.
std::string_view TaskEndingName(task_ending ending);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_TASK_SCRIPT_H_
