#ifndef EGRETRACK_OBJECTS_WORKER_LIST_H_
#define EGRETRACK_OBJECTS_WORKER_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/objects/check.h"

namespace egretrack::objects {

// One endpoint instance with the slots and connections of the agent beside it.
struct worker {
  std::string name;
  std::string endpoint;  // The class under which the instance announces itself.
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
};

struct worker_list_outcome {
  std::vector<worker> workers;  // Usable only if `faults` is empty.
  std::vector<config_fault> faults;
};

// Reads a TOML document with one table [worker.NAME] per worker; reports every
// fault.
worker_list_outcome ReadWorkers(std::string_view document);

}  // namespace egretrack::objects

#endif  // EGRETRACK_OBJECTS_WORKER_LIST_H_
