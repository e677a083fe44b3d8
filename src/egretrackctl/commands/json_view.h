#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_JSON_VIEW_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_JSON_VIEW_H_

#include <span>
#include <string>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include "egretrack/base/result.h"
#include "egretrackctl/commands/text_table.h"

// Lenient reading of the JSON that an entry sent: what is missing is shown as
// missing, so that a newer or older entry can be asked as well.
namespace egretrack::ctl {

// Errors: errc::kParseFailed.
result<boost::json::value> ParseJson(std::string_view text);

// The value of a key as text; "-" when there is none.
std::string TextAt(const boost::json::value& object, std::string_view key);
// Empty when there is no such array.
const boost::json::array& ArrayAt(const boost::json::value& object,
                                  std::string_view key);

// A column of a table and the key that it shows.
struct json_column {
  std::string_view title;
  std::string_view key;
};

// One row per object of the array.
text_table MakeTable(std::span<const json_column> columns,
                     const boost::json::array& rows);

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_JSON_VIEW_H_
