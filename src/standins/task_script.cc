#include "standins/task_script.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace egretrack::standins {
namespace {

constexpr std::string_view kSleepPrefix = "sleep=";
constexpr std::string_view kEchoPrefix = "echo=";

struct ending_directive {
  std::string_view directive;
  task_ending ending;
};

constexpr std::array<ending_directive, 5> kEndings = {{
    {"result", task_ending::kResult},
    {"fail", task_ending::kFail},
    {"cut", task_ending::kReset},
    {"short", task_ending::kTruncate},
    {"refuse", task_ending::kRefuse},
}};

milliseconds ParseMilliseconds(std::string_view digits) {
  milliseconds::rep value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return milliseconds(std::max<milliseconds::rep>(value, 0));
}

void ApplyDirective(std::string_view directive, task_script& script) {
  if (directive.starts_with(kSleepPrefix)) {
    script.sleep = ParseMilliseconds(directive.substr(kSleepPrefix.size()));
    return;
  }
  if (directive.starts_with(kEchoPrefix)) {
    script.echo = directive.substr(kEchoPrefix.size());
    return;
  }
  for (const auto& entry : kEndings) {
    if (directive == entry.directive)
      script.ending = entry.ending;
  }
}

}  // namespace

task_script ParseTaskScript(std::string_view payload) {
  task_script script;
  while (!payload.empty()) {
    const std::size_t space = std::min(payload.find(' '), payload.size());
    ApplyDirective(payload.substr(0, space), script);
    payload.remove_prefix(std::min(space + 1, payload.size()));
  }
  return script;
}

std::string_view TaskEndingName(task_ending ending) {
  for (const auto& entry : kEndings) {
    if (entry.ending == ending)
      return entry.directive;
  }
  return "";
}

}  // namespace egretrack::standins
