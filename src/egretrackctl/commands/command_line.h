#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_LINE_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_LINE_H_

#include <iosfwd>
#include <span>
#include <string>

#include "egretrackctl/commands/exit_code.h"
#include "egretrackctl/commands/transport.h"

namespace egretrack::ctl {

// Parses `arguments`, which exclude the program name, and runs the selected
// subcommand.
exit_code RunCommandLine(std::span<const std::string> arguments,
                         transport& transport,
                         std::ostream& out,
                         std::ostream& err);

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_COMMAND_LINE_H_
