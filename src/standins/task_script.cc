#include "standins/task_script.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace egretrack::standins {
namespace {

constexpr std::string_view kSleep = "sleep=";
constexpr std::string_view kEcho = "echo=";

struct ending_word {
  std::string_view word;
  task_ending ending;
};

constexpr std::array<ending_word, 5> kEndings = {{
    {"result", task_ending::kResult},
    {"fail", task_ending::kFail},
    {"cut", task_ending::kCut},
    {"short", task_ending::kShort},
    {"refuse", task_ending::kRefuse},
}};

milliseconds ParseMilliseconds(std::string_view digits) {
  milliseconds::rep value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return milliseconds(std::max<milliseconds::rep>(value, 0));
}

void ApplyWord(std::string_view word, task_script& script) {
  if (word.starts_with(kSleep)) {
    script.sleep = ParseMilliseconds(word.substr(kSleep.size()));
    return;
  }
  if (word.starts_with(kEcho)) {
    script.echo = word.substr(kEcho.size());
    return;
  }
  for (const auto& entry : kEndings) {
    if (word == entry.word)
      script.ending = entry.ending;
  }
}

}  // namespace

task_script ParseTaskScript(std::string_view payload) {
  task_script script;
  while (!payload.empty()) {
    const std::size_t space = std::min(payload.find(' '), payload.size());
    ApplyWord(payload.substr(0, space), script);
    payload.remove_prefix(std::min(space + 1, payload.size()));
  }
  return script;
}

std::string_view Name(task_ending ending) {
  for (const auto& entry : kEndings) {
    if (entry.ending == ending)
      return entry.word;
  }
  return "";
}

}  // namespace egretrack::standins
