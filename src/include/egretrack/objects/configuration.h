#ifndef EGRETRACK_OBJECTS_CONFIGURATION_H_
#define EGRETRACK_OBJECTS_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

namespace egretrack::objects {

struct desk {
  std::string name;
  double objective = 0.999;  // Share of requests answered on time and once.
};

struct request_kind {
  std::string name;
  std::string desk;
  bool idempotent = false;
  milliseconds deadline{2000};
  milliseconds max_deadline{30000};
  milliseconds expected{200};
  std::uint32_t max_tasks = 1200;
  std::uint32_t max_payload_bytes = 16384;
  // Select requests that name no kind: those for this host whose path begins
  // with this prefix and with no longer one. Empty: by name only.
  std::string host;
  std::string path_prefix;
  std::uint32_t priority = 0;      // 0 comes first.
  std::uint32_t max_attempts = 1;  // Failed runs of a task that may run again.
  // A job is on time within stretch x its longest chain of work + target.
  double stretch = 1;
  milliseconds target{0};
};

// A class of endpoint instances that share a desk and their kinds.
struct endpoint {
  std::string name;
  std::string desk;
  std::vector<std::string> kinds;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
};

// Opens endpoints and limits of a desk during part of the week.
struct shift {
  std::string name;
  std::string desk;
  std::uint8_t days = 0;        // Bit 0 is Monday.
  std::uint16_t opens = 0;      // Minutes after midnight, UTC.
  std::uint16_t closes = 1440;  // At or before `opens`: on the next day.
  std::vector<std::string> endpoints;
  std::vector<std::string> limits;
};

struct limit {
  std::string name;
  std::string desk;
  std::string team;
  std::uint32_t weight = 1;
  std::uint32_t max_running = 0;  // Tasks; 0 means no bound.
  std::uint32_t max_queued = 0;   // Tasks; 0 means no bound.
  std::string parent;             // Empty: none.
};

// The whole set of objects, each list sorted by name.
struct object_set {
  std::vector<desk> desks;
  std::vector<request_kind> kinds;
  std::vector<endpoint> endpoints;
  std::vector<shift> shifts;
  std::vector<limit> limits;
};

// One published version of a checked set; never changed after publication.
struct configuration {
  std::uint64_t version = 0;
  std::string document;  // The TOML text that was published.
  object_set objects;
};
using configuration_ptr = std::shared_ptr<const configuration>;

// Binary search by name; nullptr when there is no such object.
const desk* FindDesk(const object_set& set, std::string_view name);
const request_kind* FindKind(const object_set& set, std::string_view name);
const endpoint* FindEndpoint(const object_set& set, std::string_view name);
const shift* FindShift(const object_set& set, std::string_view name);
const limit* FindLimit(const object_set& set, std::string_view name);

// The limit that applies to a team at a desk; nullptr when there is none.
const limit* FindTeamLimit(const object_set& set,
                           std::string_view desk,
                           std::string_view team);

// True when an endpoint class, or a limit, of a desk is open at `now`. A desk
// without shifts is always open.
bool IsEndpointOpen(const object_set& set,
                    const endpoint& object,
                    wall_time now);
bool IsLimitOpen(const object_set& set, const limit& object, wall_time now);

}  // namespace egretrack::objects

#endif  // EGRETRACK_OBJECTS_CONFIGURATION_H_
