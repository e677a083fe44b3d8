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
// An hour.
constexpr std::int64_t kMaxTimeoutMs = 3600000;

using command_group = std::span<const command_entry> (*)();
constexpr std::array<command_group, 5> kGroups{&ConfigurationCommands,
                                               &ProcessCommands, &JobCommands,
                                               &ReportCommands, &LogCommands};

std::string ExitCodeHelp() {
  std::string text = "Exit codes:";
  for (const exit_code_text& one : ExitCodes()) {
    text += "\n  " + std::to_string(static_cast<int>(one.code)) + "  ";
    text.append(one.text);
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
    app_.add_option("--timeout-ms", timeout_ms_, "Limit of one attempt")
        ->check(CLI::Range(std::int64_t{1}, kMaxTimeoutMs))
        ->capture_default_str();
    for (const command_group group : kGroups) {
      for (const command_entry& entry : group())
        Add(entry);
    }
  }

  exit_code Run(std::span<const std::string> arguments,
                transport& network,
                std::ostream& out,
                std::ostream& err) {
    // CLI11 takes the arguments in reverse order.
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    try {
      app_.parse(reversed);
    } catch (const CLI::ParseError& failure) {
      // Zero is the code of --help.
      return app_.exit(failure, out, err) == 0 ? exit_code::kOk
                                               : exit_code::kUsage;
    }
    if (!ReadEntries(err))
      return exit_code::kUsage;
    options_.timeout = milliseconds(timeout_ms_);
    const session current(options_, network, out, err);
    return chosen_->Run(current);
  }

 private:
  // Returns the subcommand `name` of `parent`, added when it is new.
  static CLI::App& Group(CLI::App& parent, const std::string& name) {
    for (CLI::App* existing : parent.get_subcommands({})) {
      if (existing->get_name() == name)
        return *existing;
    }
    CLI::App& group = *parent.add_subcommand(name, "Commands of " + name);
    group.require_subcommand(1);
    group.fallthrough();
    return group;
  }

  void Add(const command_entry& entry) {
    std::string_view name = entry.name;
    CLI::App* parent = &app_;
    const std::size_t space = name.find(' ');
    if (space != std::string_view::npos) {
      parent = &Group(app_, std::string(name.substr(0, space)));
      name.remove_prefix(space + 1);
    }
    CLI::App& app =
        *parent->add_subcommand(std::string(name), std::string(entry.brief));
    app.fallthrough();
    command* added = commands_.emplace_back(entry.create()).get();
    added->Declare(app);
    app.callback([this, added] { chosen_ = added; });
  }

  bool ReadEntries(std::ostream& err) {
    if (entries_.empty())
      entries_.emplace_back(kDefaultEntry);
    for (const std::string& text : entries_) {
      const auto address = net::tcp_address::Parse(text);
      if (!address) {
        err << "--entry: '" << text << "' is not an address as in "
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
  command* chosen_ = nullptr;
};

}  // namespace

exit_code RunCommandLine(std::span<const std::string> arguments,
                         transport& network,
                         std::ostream& out,
                         std::ostream& err) {
  return command_line().Run(arguments, network, out, err);
}

}  // namespace egretrack::ctl
