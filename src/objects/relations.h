#ifndef EGRETRACK_SRC_OBJECTS_RELATIONS_H_
#define EGRETRACK_SRC_OBJECTS_RELATIONS_H_

#include <vector>

#include "egretrack/objects/check.h"

namespace egretrack::objects {

// Checks the relations between the objects of a set: references, parents of
// limits and overlapping shifts. The keys of each object must have been checked
// before, and the lists must be sorted.
void CheckRelations(const object_set& set, std::vector<config_fault>& faults);

}  // namespace egretrack::objects

#endif  // EGRETRACK_SRC_OBJECTS_RELATIONS_H_
