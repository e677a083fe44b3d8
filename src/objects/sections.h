#ifndef EGRETRACK_SRC_OBJECTS_SECTIONS_H_
#define EGRETRACK_SRC_OBJECTS_SECTIONS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/objects/configuration.h"
#include "toml/key_table.h"

// The tables that describe every kind of object and its keys.
namespace egretrack::objects {

template <typename Object>
struct section {
  using object_type = Object;

  std::string_view name;  // Of the tables in a document: [name.object].
  std::vector<Object> object_set::*list = nullptr;
  std::span<const keys::key_rule<Object>> rules;

  // "limit.team-palermo"
  std::string Place(std::string_view object) const {
    return keys::JoinKey(name, object);
  }
};

section<desk> DeskSection();
section<request_kind> KindSection();
section<endpoint> EndpointSection();
section<shift> ShiftSection();
section<limit> LimitSection();

// Calls `visit` with the section of each kind of object.
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
