#include <array>
#include <ostream>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/objects/warnings.h"
#include "egretrackctl/commands/command.h"
#include "egretrackctl/commands/configuration_source.h"

namespace egretrack::ctl {
namespace {

namespace json = boost::json;

json::array WarningsToJson(std::span<const objects::config_warning> warnings) {
  json::array list;
  for (const auto& warning : warnings) {
    list.push_back({{"object", warning.object},
                    {"key", warning.key},
                    {"code", objects::WarningName(warning.kind)},
                    {"reason", warning.reason},
                    {"text", warning.ToString()}});
  }
  return list;
}

class check_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    AddFileArgument(app, path_);
    app.add_flag("--strict", strict_, "Fail if there are warnings");
  }

  exit_code Run(const session& session) override {
    const auto file = LoadFile(session, path_);
    if (!file)
      return exit_code::kInvalid;
    const auto warnings = objects::FindWarnings(file->objects);
    if (session.options().json)
      PrintJson(session, warnings);
    else
      PrintText(session, file->objects, warnings);
    return strict_ && !warnings.empty() ? exit_code::kInvalid : exit_code::kOk;
  }

 private:
  static void PrintJson(const session& session,
                        std::span<const objects::config_warning> warnings) {
    const json::object body{{"valid", true},
                            {"faults", json::array()},
                            {"warnings", WarningsToJson(warnings)}};
    session.out() << json::serialize(body) << '\n';
  }

  void PrintText(const session& session,
                 const objects::object_set& set,
                 std::span<const objects::config_warning> warnings) const {
    for (const auto& warning : warnings)
      session.err() << path_ << ": warning: " << warning.ToString() << '\n';
    text_table table({"DESKS", "KINDS", "ENDPOINTS", "SHIFTS", "LIMITS"});
    table.AddRow(
        {std::to_string(set.desks.size()), std::to_string(set.kinds.size()),
         std::to_string(set.endpoints.size()),
         std::to_string(set.shifts.size()), std::to_string(set.limits.size())});
    session.out() << path_ << " is valid.\n";
    table.Print(session.out());
  }

  std::string path_;
  bool strict_ = false;
};

constexpr std::array<command_definition, 1> kCommands{{
    {"check", "Check a file of objects", &Create<check_command>},
}};

}  // namespace

std::span<const command_definition> CheckCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
