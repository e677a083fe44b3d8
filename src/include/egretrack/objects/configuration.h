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
  // Target share of requests that are answered on time and exactly once.
  double objective = 0.999;
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
  // A request that names no kind is of the kind with its host and the longest
  // matching prefix of its path. If the prefix is empty, requests select the
  // kind by name only.
  std::string host;
  std::string path_prefix;
  std::uint32_t priority = 0;  // 0 is the highest priority.
  // Number of failed runs of one task after which its job fails.
  std::uint32_t max_attempts = 1;
  // A job is on time if it takes at most stretch times the length of its
  // critical path, plus target.
  double stretch = 1;
  milliseconds target{0};
};

// A class of endpoint instances that serve the same request kinds of a desk.
struct endpoint {
  std::string name;
  std::string desk;
  std::vector<std::string> kinds;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
};

// A part of the week during which the listed endpoints and limits of a desk are
// open.
struct shift {
  std::string name;
  std::string desk;
  std::uint8_t days = 0;        // Bit 0 is Monday.
  std::uint16_t opens = 0;      // Minutes after midnight, UTC.
  std::uint16_t closes = 1440;  // On the next day if not after `opens`.
  std::vector<std::string> endpoints;
  std::vector<std::string> limits;
};

struct limit {
  std::string name;
  std::string desk;
  std::string team;
  std::uint32_t weight = 1;
  std::uint32_t max_running = 0;  // Tasks; 0 means unlimited.
  std::uint32_t max_queued = 0;   // Tasks; 0 means unlimited.
  std::string parent;             // Empty if the limit has no parent.
};

// All objects of a configuration. Each list is sorted by name.
struct object_set {
  std::vector<desk> desks;
  std::vector<request_kind> kinds;
  std::vector<endpoint> endpoints;
  std::vector<shift> shifts;
  std::vector<limit> limits;
};

// One published version of a checked object set; immutable.
struct configuration {
  std::uint64_t version = 0;
  std::string document;  // The TOML text that was published.
  object_set objects;
};
using configuration_ptr = std::shared_ptr<const configuration>;

// Find an object by name in O(log n); nullptr if there is none.
const desk* FindDesk(const object_set& set, std::string_view name);
const request_kind* FindKind(const object_set& set, std::string_view name);
const endpoint* FindEndpoint(const object_set& set, std::string_view name);
const shift* FindShift(const object_set& set, std::string_view name);
const limit* FindLimit(const object_set& set, std::string_view name);

// Returns the limit that applies to a team at a desk; nullptr if there is none.
const limit* FindTeamLimit(const object_set& set,
                           std::string_view desk,
                           std::string_view team);

// True if an open shift of the desk lists the endpoint class or the limit.
// Everything is open at a desk that has no shifts.
bool IsEndpointOpen(const object_set& set,
                    const endpoint& object,
                    wall_time now);
bool IsLimitOpen(const object_set& set, const limit& object, wall_time now);

}  // namespace egretrack::objects

#endif  // EGRETRACK_OBJECTS_CONFIGURATION_H_
