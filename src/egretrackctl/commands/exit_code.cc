#include "egretrackctl/commands/exit_code.h"

#include <algorithm>
#include <array>
#include <optional>

#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

constexpr std::array<exit_code_description, 8> kDescriptions{{
    {exit_code::kOk, "done or answered"},
    {exit_code::kUsage, "wrong usage of the command line"},
    {exit_code::kInvalid, "invalid input or configuration"},
    {exit_code::kUnreachable, "no entry was reached"},
    {exit_code::kRefused, "refused; nothing ran or changed"},
    {exit_code::kFailed, "failed"},
    {exit_code::kOutcomeUnknown, "outcome unknown"},
    {exit_code::kConflict, "conflict with another change"},
}};

struct outcome_mapping {
  std::string_view outcome;
  exit_code code;
};
constexpr std::array<outcome_mapping, 5> kOutcomeMappings{{
    {"answered", exit_code::kOk},
    {"pending", exit_code::kOk},
    {"refused", exit_code::kRefused},
    {"failed", exit_code::kFailed},
    {"outcome_unknown", exit_code::kOutcomeUnknown},
}};

struct status_range {
  unsigned first;
  unsigned last;
  exit_code code;
};
// Ordered: the first range that contains the status applies.
constexpr std::array<status_range, 9> kStatusRanges{{
    {200, 299, exit_code::kOk},
    {409, 409, exit_code::kConflict},
    // The job id has expired; an earlier submission under it may have run.
    {410, 410, exit_code::kOutcomeUnknown},
    {412, 412, exit_code::kConflict},
    {429, 429, exit_code::kRefused},
    {400, 499, exit_code::kInvalid},
    {503, 503, exit_code::kRefused},
    {504, 504, exit_code::kOutcomeUnknown},
    {500, 599, exit_code::kFailed},
}};

std::optional<exit_code> ExitCodeForOutcome(const boost::json::value& body) {
  const std::string outcome = TextAt(body, "outcome");
  const auto found =
      std::find_if(kOutcomeMappings.begin(), kOutcomeMappings.end(),
                   [&](const outcome_mapping& mapping) {
                     return mapping.outcome == outcome;
                   });
  if (found == kOutcomeMappings.end())
    return std::nullopt;
  // The entry refused this request, but an earlier one with the same job id may
  // have run.
  if (found->code == exit_code::kRefused && TextAt(body, "not_run") == "false")
    return exit_code::kOutcomeUnknown;
  return found->code;
}

}  // namespace

std::span<const exit_code_description> ExitCodes() {
  return kDescriptions;
}

exit_code ExitCodeForResponse(const net::http_response& response) {
  const auto body = ParseJson(response.body);
  const auto by_outcome = body ? ExitCodeForOutcome(*body) : std::nullopt;
  if (by_outcome)
    return *by_outcome;
  const auto found = std::find_if(kStatusRanges.begin(), kStatusRanges.end(),
                                  [&](const status_range& range) {
                                    return range.first <= response.status &&
                                           response.status <= range.last;
                                  });
  return found == kStatusRanges.end() ? exit_code::kFailed : found->code;
}

}  // namespace egretrack::ctl
