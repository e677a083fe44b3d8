#ifndef EGRETRACK_SRC_OBJECTS_SECTIONS_H_
#define EGRETRACK_SRC_OBJECTS_SECTIONS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/objects/configuration.h"
#include "egretrack/objects/worker_list.h"
#include "toml/key_table.h"

// Tables that describe every kind of object and its keys.
namespace egretrack::objects {

template <typename Object>
struct object_section {
  using object_type = Object;

  std::string_view name;  // First part of the TOML header [name.object].
  std::vector<Object> object_set::*list = nullptr;
  std::span<const keys::key_rule<Object>> rules;

  // Returns the name of an object with its section, as in "limit.team-palermo".
  std::string QualifiedName(std::string_view object) const {
    return keys::JoinKey(name, object);
  }
};

object_section<desk> DeskSection();
object_section<request_kind> KindSection();
object_section<endpoint> EndpointSection();
object_section<shift> ShiftSection();
object_section<limit> LimitSection();
// Workers are described in a document of their own and are in no object set.
object_section<worker> WorkerSection();

// Calls `visit` with the section of every kind of object.
template <typename Visitor>
void ForEachSection(Visitor visit) {
  visit(DeskSection());
  visit(KindSection());
  visit(EndpointSection());
  visit(ShiftSection());
  visit(LimitSection());
}

}  // namespace egretrack::objects

#endif  // EGRETRACK_SRC_OBJECTS_SECTIONS_H_
