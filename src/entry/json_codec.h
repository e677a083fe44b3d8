#ifndef EGRETRACK_ENTRY_JSON_CODEC_H_
#define EGRETRACK_ENTRY_JSON_CODEC_H_

#include <span>
#include <string>
#include <string_view>

#include "egretrack/base/result.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/decision/outcome.h"

// Between the JSON bodies of the HTTP interface and the types of the core.
namespace egretrack::entry {

// Reads the body of a submission; unknown fields are refused. Errors: of
// request_errc, with the field concerned.
result<decision::submission> ParseSubmission(std::string_view body);

std::string EncodeAnswer(const decision::job_answer& answer);
std::string EncodeIds(std::span<const job_id> ids);
std::string EncodeStatus(const decision::entry_status& status);

// True when an answer says that no task of the job ran or will run.
bool ClaimsNotRun(const decision::job_answer& answer);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_JSON_CODEC_H_
