#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_H_

#include <memory>
#include <span>
#include <string_view>

#include "egretrackctl/commands/session.h"

namespace CLI {
class App;
}

namespace egretrack::ctl {

// One subcommand with its own options.
class command {
 public:
  virtual ~command() = default;
  // Adds the options of this command.
  virtual void Declare(CLI::App& app) = 0;
  // Runs after the options were parsed.
  virtual exit_code Run(const session& session) = 0;
};

// A subcommand as the command line offers it.
struct command_entry {
  std::string_view name;  // "job get" is subcommand get of group job.
  std::string_view brief;
  std::unique_ptr<command> (*create)() = nullptr;
};

template <typename Command>
std::unique_ptr<command> Create() {
  return std::make_unique<Command>();
}

std::span<const command_entry> ConfigurationCommands();
std::span<const command_entry> ProcessCommands();
std::span<const command_entry> JobCommands();
std::span<const command_entry> ReportCommands();
std::span<const command_entry> LogCommands();

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_H_
