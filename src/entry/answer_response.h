#ifndef EGRETRACK_ENTRY_ANSWER_RESPONSE_H_
#define EGRETRACK_ENTRY_ANSWER_RESPONSE_H_

#include <cstdint>
#include <string_view>

#include "egretrack/decision/outcome.h"
#include "egretrack/net/http.h"

namespace egretrack::entry {

inline constexpr std::string_view kJobIdHeader = "Egretrack-Job-Id";

// Operation that a caller requested; determines the status of the response.
enum class job_operation : std::uint8_t { kSubmit, kInquire, kCancel };

// HTTP status of the response to `operation`.
unsigned HttpStatus(const decision::job_answer& answer,
                    job_operation operation);

// Builds the response with status, headers and JSON body.
net::http_response MakeAnswerResponse(const decision::job_answer& answer,
                                      job_operation operation);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ANSWER_RESPONSE_H_
