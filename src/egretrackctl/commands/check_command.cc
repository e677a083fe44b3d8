#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <utility>
#include <vector>

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

// What the checked file is compared with.
struct comparison_base {
  std::string title;                     // As in "version 7".
  std::optional<std::uint64_t> version;  // Set if it was read from an entry.
  objects::object_set objects;
};

class check_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    AddFileArgument(app, path_);
    app.add_flag("--strict", strict_, "Fail if there are warnings");
    app.add_option("--workers", workers_,
                   "TOML file with the workers that are to serve the objects");
    app.add_option("--against", against_,
                   "TOML file to compare with; --entry compares with the "
                   "version in force at an entry");
  }

  exit_code Run(const session& session) override {
    if (!against_.empty() && session.options().entries_given) {
      session.err() << "check takes --against or --entry, not both\n";
      return exit_code::kUsage;
    }
    const auto file = LoadFile(session, path_);
    if (!file)
      return exit_code::kInvalid;
    std::optional<std::vector<objects::worker>> workers;
    if (!workers_.empty()) {
      workers = LoadWorkers(session, workers_);
      if (!workers)
        return exit_code::kInvalid;
    }
    exit_code code = exit_code::kOk;
    const auto base = LoadBase(session, code);
    if (code != exit_code::kOk)
      return code;
    const auto warnings = objects::FindWarnings(file->objects, workers);
    json::array changes;
    if (base)
      changes = ChangesToJson(objects::Diff(base->objects, file->objects));
    if (session.options().json) {
      PrintJson(session, warnings, base, std::move(changes));
    } else {
      PrintText(session, file->objects, warnings);
      if (base)
        PrintChanges(session, base->title, changes);
    }
    return strict_ && !warnings.empty() ? exit_code::kInvalid : exit_code::kOk;
  }

 private:
  // Reads what to compare with, if anything. On failure, prints the error and
  // sets `code`.
  std::optional<comparison_base> LoadBase(const session& session,
                                          exit_code& code) const {
    if (!against_.empty()) {
      auto file = LoadFile(session, against_);
      if (file)
        return comparison_base{against_, std::nullopt,
                               std::move(file->objects)};
      code = exit_code::kInvalid;
    } else if (session.options().entries_given) {
      const auto published = FetchPublished(session, code);
      if (published) {
        return comparison_base{
            VersionTitle(published->version), published->version,
            objects::CheckDocument(published->document).objects};
      }
    }
    return std::nullopt;
  }

  static void PrintJson(const session& session,
                        std::span<const objects::config_warning> warnings,
                        const std::optional<comparison_base>& base,
                        json::array changes) {
    json::object body{{"valid", true},
                      {"faults", json::array()},
                      {"warnings", WarningsToJson(warnings)}};
    if (base && base->version)
      body["version"] = *base->version;
    if (base)
      body["changes"] = std::move(changes);
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
  std::string workers_;
  std::string against_;
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
