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

// A subcommand with its own options.
class command {
 public:
  virtual ~command() = default;
  // Adds the options and arguments of this command to its parser.
  virtual void AddOptions(CLI::App& app) = 0;
  // Runs the command. Called once, after the options were parsed.
  virtual exit_code Run(const session& session) = 0;
};

// Name, help text and factory function of a subcommand.
struct command_definition {
  std::string_view name;  // "job get" is the subcommand get of the group job.
  std::string_view description;
  std::unique_ptr<command> (*create)() = nullptr;
};

template <typename Command>
std::unique_ptr<command> Create() {
  return std::make_unique<Command>();
}

std::span<const command_definition> CheckCommands();
std::span<const command_definition> ConfigurationCommands();
std::span<const command_definition> ProcessCommands();
std::span<const command_definition> JobCommands();
std::span<const command_definition> ReportCommands();
std::span<const command_definition> LogCommands();

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_H_
