#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_EXIT_CODE_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_EXIT_CODE_H_

#include <span>
#include <string_view>

#include "egretrack/net/http.h"

namespace egretrack::ctl {

// Exit codes of egretrackctl; scripts depend on the numbers.
enum class exit_code : int {
  kOk = 0,
  kUsage = 1,
  kInvalid = 2,
  kUnreachable = 3,
  kRefused = 4,  // The entry promises that nothing ran or changed.
  kFailed = 5,
  kOutcomeUnknown = 6,
  kConflict = 7,
};

struct exit_code_text {
  exit_code code = exit_code::kOk;
  std::string_view text;
};

// All codes, for --help and the manual.
std::span<const exit_code_text> ExitCodes();

// What the response of an entry means: by the outcome in its body when there
// is one, otherwise by its status.
exit_code ExitCodeOf(const net::http_response& response);

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_EXIT_CODE_H_
