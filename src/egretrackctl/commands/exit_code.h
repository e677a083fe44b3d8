#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_EXIT_CODE_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_EXIT_CODE_H_

#include <span>
#include <string_view>

#include "egretrack/net/http.h"

namespace egretrack::ctl {

// Exit codes of egretrackctl. Scripts depend on the values.
enum class exit_code : int {
  kOk = 0,
  kUsage = 1,
  kInvalid = 2,
  kUnreachable = 3,
  kRefused = 4,  // The entry guarantees that nothing ran or changed.
  kFailed = 5,
  kOutcomeUnknown = 6,
  kConflict = 7,
};

struct exit_code_description {
  exit_code code = exit_code::kOk;
  std::string_view text;
};

// All exit codes with the texts shown by --help and the manual.
std::span<const exit_code_description> ExitCodes();

// Maps a response of an entry to an exit code: by the outcome in its body if
// there is one, otherwise by its HTTP status.
exit_code ExitCodeForResponse(const net::http_response& response);

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_EXIT_CODE_H_
