#include "egretrackctl/commands/configuration_source.h"

#include <array>
#include <ostream>
#include <utility>

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/base/file.h"
#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned kStatusUnavailable = 503;

constexpr std::array<json_column, 5> kChangeColumns{{
    {"CHANGE", "change"},
    {"OBJECT", "object"},
    {"KEY", "key"},
    {"BEFORE", "before"},
    {"AFTER", "after"},
}};

// Indexed by change_kind.
constexpr std::array kChangeNames{"added", "removed", "changed"};

json::array FaultsToJson(std::span<const objects::config_fault> faults) {
  json::array list;
  for (const auto& fault : faults) {
    list.push_back({{"object", fault.object},
                    {"key", fault.key},
                    {"code", fault.code.message()},
                    {"reason", fault.reason},
                    {"text", fault.ToString()}});
  }
  return list;
}

void PrintFaults(const session& session,
                 std::string_view path,
                 std::span<const objects::config_fault> faults) {
  if (session.options().json) {
    session.out() << json::serialize(json::value{
                         {"valid", false}, {"faults", FaultsToJson(faults)}})
                  << '\n';
    return;
  }
  for (const auto& fault : faults)
    session.err() << path << ": " << fault.ToString() << '\n';
}

// An entry has no configuration if none was published, or if it has not read
// the published version yet. Version 0 is a safe base in both cases: a
// publication based on it is rejected as a conflict if a version exists.
bool HasNoConfiguration(const net::http_response& response) {
  if (response.status != kStatusUnavailable)
    return false;
  const auto body = ParseJson(response.body);
  return body && TextAt(*body, "error") == "not_ready";
}

}  // namespace

void AddFileArgument(CLI::App& app, std::string& path) {
  app.add_option("file", path, "TOML file with the objects")->required();
}

std::optional<checked_file> LoadFile(const session& session,
                                     const std::string& path) {
  const auto document = ReadFile(path);
  if (!document) {
    session.ReportInvalidInput(document.error().ToString());
    return std::nullopt;
  }
  objects::check_outcome outcome = objects::CheckDocument(*document);
  if (outcome.faults.empty())
    return checked_file{*document, std::move(outcome.objects)};
  PrintFaults(session, path, outcome.faults);
  return std::nullopt;
}

std::optional<std::vector<objects::worker>> LoadWorkers(
    const session& session,
    const std::string& path) {
  const auto document = ReadFile(path);
  if (!document) {
    session.ReportInvalidInput(document.error().ToString());
    return std::nullopt;
  }
  objects::worker_list_outcome outcome = objects::ReadWorkers(*document);
  if (outcome.faults.empty())
    return std::move(outcome.workers);
  PrintFaults(session, path, outcome.faults);
  return std::nullopt;
}

std::optional<published_configuration> FetchPublished(const session& session,
                                                      exit_code& code) {
  const entry_reply reply = session.SendToAny(MakeRequest("GET", "/v1/config"));
  if (!reply.response) {
    code = session.ReportNoResponse(reply, true);
    return std::nullopt;
  }
  if (HasNoConfiguration(*reply.response))
    return published_configuration{};
  code = ExitCodeForReply(reply);
  if (code != exit_code::kOk) {
    session.ReportError(reply);
    return std::nullopt;
  }
  const auto body = ParseJson(reply.response->body);
  const auto* fields = body ? body->if_object() : nullptr;
  const auto* version =
      fields != nullptr ? fields->if_contains("version") : nullptr;
  boost::system::error_code conversion_error;
  const auto number = version != nullptr
                          ? version->to_number<std::uint64_t>(conversion_error)
                          : 0;
  if (version == nullptr || conversion_error) {
    session.err() << "The response of the entry contains no valid "
                     "configuration version.\n";
    code = exit_code::kFailed;
    return std::nullopt;
  }
  return published_configuration{number, TextAt(*body, "document")};
}

json::array ChangesToJson(std::span<const objects::object_change> changes) {
  json::array list;
  for (const auto& change : changes) {
    list.push_back(
        {{"change", kChangeNames.at(static_cast<std::size_t>(change.kind))},
         {"object", change.object},
         {"key", change.key},
         {"before", change.before},
         {"after", change.after}});
  }
  return list;
}

text_table MakeChangeTable(const json::array& changes) {
  return MakeTable(kChangeColumns, changes);
}

void PrintChanges(const session& session,
                  std::string_view base,
                  const json::array& changes) {
  session.out() << "Changes against " << base << ": " << changes.size() << '\n';
  if (!changes.empty())
    MakeChangeTable(changes).Print(session.out());
}

std::string VersionTitle(std::uint64_t version) {
  return "version " + std::to_string(version);
}

}  // namespace egretrack::ctl
