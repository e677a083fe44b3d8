#include "egretrackctl/commands/command_line.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <ostream>
#include <vector>

#include <CLI/CLI.hpp>

#include "egretrackctl/commands/command.h"
#include "egretrackctl/commands/session.h"

namespace egretrack::ctl {
namespace {

constexpr const char* kDefaultEntry = "127.0.0.1:7200";
// One hour.
constexpr std::int64_t kMaxTimeoutMs = 3600000;

using command_list_function = std::span<const command_definition> (*)();
constexpr std::array<command_list_function, 6> kCommandLists{
    &CheckCommands, &ConfigurationCommands, &ProcessCommands,
    &JobCommands,   &ReportCommands,        &LogCommands};

std::string ExitCodeHelp() {
  std::string text = "Exit codes:";
  for (const exit_code_description& description : ExitCodes()) {
    text += "\n  " + std::to_string(static_cast<int>(description.code)) + "  ";
    text.append(description.text);
  }
  return text;
}

class command_line {
 public:
  command_line() {
    app_.require_subcommand(1);
    app_.fallthrough();
    app_.footer(ExitCodeHelp());
    app_.add_option("--entry", entries_,
                    "Address of an entry, ip:port; repeat for several")
        ->default_str(kDefaultEntry)
        ->allow_extra_args(false);
    app_.add_flag("--json", options_.json, "Print the JSON of the entry");
    app_.add_option("--timeout-ms", timeout_ms_,
                    "Timeout of one attempt in milliseconds")
        ->check(CLI::Range(std::int64_t{1}, kMaxTimeoutMs))
        ->capture_default_str();
    for (const command_list_function list_commands : kCommandLists) {
      for (const command_definition& definition : list_commands())
        AddCommand(definition);
    }
  }

  exit_code Run(std::span<const std::string> arguments,
                transport& transport,
                std::ostream& out,
                std::ostream& err) {
    // CLI11 takes the arguments in reverse order.
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    try {
      app_.parse(reversed);
    } catch (const CLI::ParseError& parse_error) {
      // CLI11 reports --help as a parse error with exit code 0.
      return app_.exit(parse_error, out, err) == 0 ? exit_code::kOk
                                                   : exit_code::kUsage;
    }
    if (!ParseEntries(err))
      return exit_code::kUsage;
    options_.timeout = milliseconds(timeout_ms_);
    const session current(options_, transport, out, err);
    return selected_->Run(current);
  }

 private:
  // Returns the group `name` of `parent`, which is added if it does not exist.
  static CLI::App& FindOrAddGroup(CLI::App& parent, const std::string& name) {
    for (CLI::App* existing : parent.get_subcommands({})) {
      if (existing->get_name() == name)
        return *existing;
    }
    CLI::App& group = *parent.add_subcommand(name, "Commands of " + name);
    group.require_subcommand(1);
    group.fallthrough();
    return group;
  }

  void AddCommand(const command_definition& definition) {
    std::string_view name = definition.name;
    CLI::App* parent = &app_;
    const std::size_t space = name.find(' ');
    if (space != std::string_view::npos) {
      parent = &FindOrAddGroup(app_, std::string(name.substr(0, space)));
      name.remove_prefix(space + 1);
    }
    CLI::App& app = *parent->add_subcommand(
        std::string(name), std::string(definition.description));
    app.fallthrough();
    command* added = commands_.emplace_back(definition.create()).get();
    added->AddOptions(app);
    app.callback([this, added] { selected_ = added; });
  }

  bool ParseEntries(std::ostream& err) {
    options_.entries_given = !entries_.empty();
    if (!options_.entries_given)
      entries_.emplace_back(kDefaultEntry);
    for (const std::string& text : entries_) {
      const auto address = net::tcp_address::Parse(text);
      if (!address) {
        err << "--entry: '" << text << "' is not an address such as "
            << kDefaultEntry << '\n';
        return false;
      }
      options_.entries.push_back(*address);
    }
    return true;
  }

  CLI::App app_{"Command line of egretrack for operators and callers",
                "egretrackctl"};
  std::vector<std::string> entries_;
  std::int64_t timeout_ms_ = 5000;
  global_options options_;
  std::vector<std::unique_ptr<command>> commands_;
  command* selected_ = nullptr;
};

}  // namespace

exit_code RunCommandLine(std::span<const std::string> arguments,
                         transport& transport,
                         std::ostream& out,
                         std::ostream& err) {
  return command_line().Run(arguments, transport, out, err);
}

}  // namespace egretrack::ctl
