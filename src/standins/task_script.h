#ifndef EGRETRACK_STANDINS_TASK_SCRIPT_H_
#define EGRETRACK_STANDINS_TASK_SCRIPT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "egretrack/base/time.h"

namespace egretrack::standins {

// How the endpoint stand-in ends a task.
enum class task_ending : std::uint8_t {
  kResult,
  kFail,    // 500.
  kCut,     // Half of the body, then a connection reset.
  kShort,   // Half of the body, then an orderly close.
  kRefuse,  // 503 "not run"; the task does not start.
};

// What a payload asks the endpoint stand-in to do.
struct task_script {
  milliseconds sleep{0};
  task_ending ending = task_ending::kResult;
  std::string echo;
};

// Reads space-separated words: sleep=MS, fail, cut, short, refuse, echo=TEXT.
// Unknown words are ignored, so that any payload is a valid script.
task_script ParseTaskScript(std::string_view payload);

std::string_view Name(task_ending ending);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_TASK_SCRIPT_H_
