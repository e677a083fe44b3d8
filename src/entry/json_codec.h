#ifndef EGRETRACK_ENTRY_JSON_CODEC_H_
#define EGRETRACK_ENTRY_JSON_CODEC_H_

#include <span>
#include <string>
#include <string_view>

#include "egretrack/base/result.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/decision/outcome.h"

// Conversion between the JSON bodies of the HTTP API and the types of the
// decision core.
namespace egretrack::entry {

// Parses the body of a submission; unknown fields are refused. Errors:
// request_errc, with the name of the field.
result<decision::submission> ParseSubmission(std::string_view body);

std::string EncodeAnswer(const decision::job_answer& answer);
std::string EncodeIds(std::span<const job_id> ids);
std::string EncodeStatus(const decision::entry_status& status);

// True if the answer guarantees that no task of the job has run or will run
// (the field "not_run" of its JSON body).
bool GuaranteesNotRun(const decision::job_answer& answer);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_JSON_CODEC_H_
