#ifndef EGRETRACK_SRC_OBJECTS_RELATIONS_H_
#define EGRETRACK_SRC_OBJECTS_RELATIONS_H_

#include <vector>

#include "egretrack/objects/check.h"

namespace egretrack::objects {

// Checks how the objects of a set relate; each object is already checked for
// itself. The lists of the set are sorted.
void CheckRelations(const object_set& set, std::vector<config_fault>& faults);

}  // namespace egretrack::objects

#endif  // EGRETRACK_SRC_OBJECTS_RELATIONS_H_
