#ifndef EGRETRACK_SRC_OBJECTS_KEY_FAULTS_H_
#define EGRETRACK_SRC_OBJECTS_KEY_FAULTS_H_

#include <string_view>
#include <vector>

#include "egretrack/objects/check.h"
#include "toml/key_table.h"

namespace egretrack::objects {

// Appends the key faults of one object to the faults of the document.
void AddKeyFaults(keys::fault_list found,
                  std::string_view object,
                  std::vector<config_fault>& faults);

}  // namespace egretrack::objects

#endif  // EGRETRACK_SRC_OBJECTS_KEY_FAULTS_H_
