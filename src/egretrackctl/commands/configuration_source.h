#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_CONFIGURATION_SOURCE_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_CONFIGURATION_SOURCE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>

#include "egretrack/objects/check.h"
#include "egretrack/objects/worker_list.h"
#include "egretrackctl/commands/session.h"
#include "egretrackctl/commands/text_table.h"

namespace CLI {
class App;
}

// Reads configurations from files and entries, and shows their differences.
namespace egretrack::ctl {

struct checked_file {
  std::string document;
  objects::object_set objects;
};

struct published_configuration {
  std::uint64_t version = 0;  // 0 if the entry has no configuration in force.
  std::string document;
};

// Adds the positional argument for a file of objects.
void AddFileArgument(CLI::App& app, std::string& path);

// Reads and checks a file. Prints every fault if the file is invalid.
std::optional<checked_file> LoadFile(const session& session,
                                     const std::string& path);

// Reads a file of workers. Prints every fault if the file is invalid.
std::optional<std::vector<objects::worker>> LoadWorkers(
    const session& session,
    const std::string& path);

// Reads the published configuration from an entry. On failure, prints the error
// and sets `code`.
std::optional<published_configuration> FetchPublished(const session& session,
                                                      exit_code& code);

boost::json::array ChangesToJson(
    std::span<const objects::object_change> changes);
text_table MakeChangeTable(const boost::json::array& changes);
// Prints the number of changes and a table of them. `base` names what the
// changes refer to, as in "version 7".
void PrintChanges(const session& session,
                  std::string_view base,
                  const boost::json::array& changes);
std::string VersionTitle(std::uint64_t version);

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_CONFIGURATION_SOURCE_H_
