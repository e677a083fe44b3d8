#include "egretrackctl/commands/exit_code.h"

#include <algorithm>
#include <array>
#include <optional>

#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

constexpr std::array<exit_code_text, 8> kTexts{{
    {exit_code::kOk, "done or answered"},
    {exit_code::kUsage, "wrong usage of the command line"},
    {exit_code::kInvalid, "invalid input or configuration"},
    {exit_code::kUnreachable, "no entry was reached"},
    {exit_code::kRefused, "refused; nothing ran or changed"},
    {exit_code::kFailed, "failed"},
    {exit_code::kOutcomeUnknown, "outcome unknown"},
    {exit_code::kConflict, "conflict with another change"},
}};

struct outcome_code {
  std::string_view outcome;
  exit_code code;
};
constexpr std::array<outcome_code, 5> kOutcomes{{
    {"answered", exit_code::kOk},
    {"pending", exit_code::kOk},
    {"refused", exit_code::kRefused},
    {"failed", exit_code::kFailed},
    {"outcome_unknown", exit_code::kOutcomeUnknown},
}};

struct status_code {
  unsigned first;
  unsigned last;
  exit_code code;
};
// The first range that holds a status decides.
constexpr std::array<status_code, 9> kStatuses{{
    {200, 299, exit_code::kOk},
    {409, 409, exit_code::kConflict},
    // An expired id: an earlier submission may have run.
    {410, 410, exit_code::kOutcomeUnknown},
    {412, 412, exit_code::kConflict},
    {429, 429, exit_code::kRefused},
    {400, 499, exit_code::kInvalid},
    {503, 503, exit_code::kRefused},
    {504, 504, exit_code::kOutcomeUnknown},
    {500, 599, exit_code::kFailed},
}};

std::optional<exit_code> ByOutcome(const boost::json::value& body) {
  const std::string outcome = TextAt(body, "outcome");
  const auto found =
      std::find_if(kOutcomes.begin(), kOutcomes.end(),
                   [&](const outcome_code& o) { return o.outcome == outcome; });
  if (found == kOutcomes.end())
    return std::nullopt;
  // A refusal of this request may say nothing about an earlier one.
  if (found->code == exit_code::kRefused && TextAt(body, "not_run") == "false")
    return exit_code::kOutcomeUnknown;
  return found->code;
}

}  // namespace

std::span<const exit_code_text> ExitCodes() {
  return kTexts;
}

exit_code ExitCodeOf(const net::http_response& response) {
  const auto body = ParseJson(response.body);
  const auto by_outcome = body ? ByOutcome(*body) : std::nullopt;
  if (by_outcome)
    return *by_outcome;
  const auto found = std::find_if(
      kStatuses.begin(), kStatuses.end(), [&](const status_code& s) {
        return s.first <= response.status && response.status <= s.last;
      });
  return found == kStatuses.end() ? exit_code::kFailed : found->code;
}

}  // namespace egretrack::ctl
