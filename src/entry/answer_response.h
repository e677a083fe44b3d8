#ifndef EGRETRACK_ENTRY_ANSWER_RESPONSE_H_
#define EGRETRACK_ENTRY_ANSWER_RESPONSE_H_

#include <cstdint>
#include <string_view>

#include "egretrack/decision/outcome.h"
#include "egretrack/net/http.h"

namespace egretrack::entry {

inline constexpr std::string_view kJobIdHeader = "Egretrack-Job-Id";

// What a caller asked about a job; decides the status of the response.
enum class job_question : std::uint8_t { kSubmit, kInquire, kCancel };

unsigned HttpStatus(const decision::job_answer& answer, job_question question);

// The whole response: status, headers and JSON body.
net::http_response MakeAnswerResponse(const decision::job_answer& answer,
                                      job_question question);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ANSWER_RESPONSE_H_
