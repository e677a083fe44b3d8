#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_JSON_VIEW_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_JSON_VIEW_H_

#include <span>
#include <string>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include "egretrack/base/result.h"
#include "egretrackctl/commands/text_table.h"

// Lenient access to the JSON that an entry sent. Missing fields are shown as
// "-", so that entries of older and newer versions can be queried as well.
namespace egretrack::ctl {

// Errors: errc::kParseFailed.
result<boost::json::value> ParseJson(std::string_view text);

// Returns the value of a key as text, or "-" if it is missing or null.
std::string TextAt(const boost::json::value& object, std::string_view key);
// Returns an empty array if the key is missing or not an array.
const boost::json::array& ArrayAt(const boost::json::value& object,
                                  std::string_view key);

// A table column and the key whose values it shows.
struct json_column {
  std::string_view title;
  std::string_view key;
};

// Makes a table with one row per object in `rows`.
text_table MakeTable(std::span<const json_column> columns,
                     const boost::json::array& rows);

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_JSON_VIEW_H_
