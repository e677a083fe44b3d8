#ifndef EGRETRACK_JOB_ENTRY_EVACUATION_LISTING_H_
#define EGRETRACK_JOB_ENTRY_EVACUATION_LISTING_H_

#include <span>

#include "egretrack/net/http.h"
#include "egretrack/wire/run_messages.h"

namespace egretrack::job_entry {

// The response to GET /v1/evacuations.
net::http_response EncodeEvacuations(
    std::span<const wire::domain_evacuation> evacuations);

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_EVACUATION_LISTING_H_
