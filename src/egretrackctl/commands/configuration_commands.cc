#include <array>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <ostream>

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/base/file.h"
#include "egretrack/base/ids.h"
#include "egretrack/objects/check.h"
#include "egretrackctl/commands/command.h"
#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned kStatusUnavailable = 503;
constexpr std::int64_t kMaxVersions = 1000;

constexpr std::array<json_column, 5> kChangeColumns{{
    {"CHANGE", "change"},
    {"OBJECT", "object"},
    {"KEY", "key"},
    {"BEFORE", "before"},
    {"AFTER", "after"},
}};

// Indexed by change_kind.
constexpr std::array kChangeNames{"added", "removed", "changed"};

void AddFileArgument(CLI::App& app, std::string& path) {
  app.add_option("file", path, "TOML file with the objects")->required();
}

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

struct checked_file {
  std::string document;
  objects::object_set objects;
};

// Reads and checks a file. Prints every fault if the file is invalid.
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
  if (session.options().json) {
    session.out() << json::serialize(
                         json::value{{"valid", false},
                                     {"faults", FaultsToJson(outcome.faults)}})
                  << '\n';
    return std::nullopt;
  }
  for (const auto& fault : outcome.faults)
    session.err() << path << ": " << fault.ToString() << '\n';
  return std::nullopt;
}

struct published_configuration {
  std::uint64_t version = 0;  // 0 if the entry has no configuration in force.
  std::string document;
};

// An entry has no configuration if none was published, or if it has not read
// the published version yet. Version 0 is a safe base in both cases: a
// publication based on it is rejected as a conflict if a version exists.
bool HasNoConfiguration(const net::http_response& response) {
  if (response.status != kStatusUnavailable)
    return false;
  const auto body = ParseJson(response.body);
  return body && TextAt(*body, "error") == "not_ready";
}

// Reads the published configuration from an entry. On failure, prints the error
// and sets `code`.
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

class check_command final : public command {
 public:
  void AddOptions(CLI::App& app) override { AddFileArgument(app, path_); }

  exit_code Run(const session& session) override {
    const auto file = LoadFile(session, path_);
    if (!file)
      return exit_code::kInvalid;
    if (session.options().json) {
      session.out() << R"({"valid":true,"faults":[]})" << '\n';
      return exit_code::kOk;
    }
    text_table table({"DESKS", "KINDS", "ENDPOINTS", "SHIFTS", "LIMITS"});
    const objects::object_set& set = file->objects;
    table.AddRow(
        {std::to_string(set.desks.size()), std::to_string(set.kinds.size()),
         std::to_string(set.endpoints.size()),
         std::to_string(set.shifts.size()), std::to_string(set.limits.size())});
    session.out() << path_ << " is valid.\n";
    table.Print(session.out());
    return exit_code::kOk;
  }

 private:
  std::string path_;
};

class publish_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    AddFileArgument(app, path_);
    app.add_option(
        "--base", base_version_,
        "Version that the file replaces; by default the one in force "
        "at the entry, or 0 if it has none");
  }

  exit_code Run(const session& session) override {
    const auto file = LoadFile(session, path_);
    if (!file)
      return exit_code::kInvalid;
    if (!base_version_) {
      exit_code code = exit_code::kOk;
      const auto current = FetchPublished(session, code);
      if (!current)
        return code;
      base_version_ = current->version;
    }
    return Publish(session, file->document);
  }

 private:
  // The id makes the publication idempotent: when the request is retried after
  // a lost response, the entry returns the first outcome and does not write
  // again.
  static std::string NewPublicationId() {
    std::array<char, 40> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(RandomNumber()),
                  static_cast<unsigned long long>(RandomNumber()));
    return digits.data();
  }

  exit_code Publish(const session& session, const std::string& document) const {
    const std::string publication_id = NewPublicationId();
    const entry_reply reply = session.SendToAny(
        MakeRequest("PUT",
                    "/v1/config?base=" + std::to_string(*base_version_) +
                        "&publication=" + publication_id,
                    document));
    if (!reply.response) {
      session.err() << "Publication " << publication_id << ":\n";
      return session.ReportNoResponse(reply, false);
    }
    return Report(session, reply);
  }

  static exit_code Report(const session& session, const entry_reply& reply) {
    const net::http_response& response = *reply.response;
    const exit_code code = ExitCodeForReply(reply);
    const auto body = ParseJson(response.body);
    if (code != exit_code::kOk || !body) {
      session.ReportError(reply);
      if (code == exit_code::kConflict && body && !session.options().json)
        ReportConflict(session, *body);
      return code;
    }
    if (session.options().json)
      session.out() << response.body << '\n';
    else
      session.out() << "Published as version " << TextAt(*body, "version")
                    << ".\n";
    return code;
  }

  // Prints the published version and how the file differs from it.
  static void ReportConflict(const session& session, const json::value& body) {
    const std::string version = TextAt(body, "version");
    if (version == "0")
      session.err() << "Nothing is published yet.\n";
    else
      session.err() << "Version " << version << " is published.\n";
    const json::array& changes = ArrayAt(body, "changes");
    if (!changes.empty())
      MakeTable(kChangeColumns, changes).Print(session.err());
  }

  std::string path_;
  std::optional<std::uint64_t> base_version_;
};

class diff_command final : public command {
 public:
  void AddOptions(CLI::App& app) override { AddFileArgument(app, path_); }

  exit_code Run(const session& session) override {
    const auto file = LoadFile(session, path_);
    if (!file)
      return exit_code::kInvalid;
    exit_code code = exit_code::kOk;
    const auto current = FetchPublished(session, code);
    if (!current)
      return code;
    const auto published_objects =
        objects::CheckDocument(current->document).objects;
    const auto changes =
        ChangesToJson(objects::Diff(published_objects, file->objects));
    if (session.options().json) {
      session.out() << json::serialize(json::value{
                           {"version", current->version}, {"changes", changes}})
                    << '\n';
      return exit_code::kOk;
    }
    session.out() << "Changes against version " << current->version << ": "
                  << changes.size() << '\n';
    if (!changes.empty())
      MakeTable(kChangeColumns, changes).Print(session.out());
    return exit_code::kOk;
  }

 private:
  std::string path_;
};

class history_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    auto* const version = app.add_option("--version", version_,
                                         "Print the document of this version");
    app.add_option("--after", after_, "List the versions after this one")
        ->excludes(version);
    app.add_option("--limit", limit_, "List at most this many versions")
        ->check(CLI::Range(std::int64_t{1}, kMaxVersions))
        ->excludes(version);
  }

  exit_code Run(const session& session) override {
    const entry_reply reply = session.SendToAny(MakeRequest("GET", Target()));
    if (!reply.response)
      return session.ReportNoResponse(reply, true);
    const exit_code code = ExitCodeForReply(reply);
    const auto body = ParseJson(reply.response->body);
    if (code != exit_code::kOk || !body)
      return session.ReportError(reply);
    if (session.options().json)
      session.out() << reply.response->body << '\n';
    else if (version_)
      session.out() << TextAt(*body, "document");
    else
      PrintVersions(session, ArrayAt(*body, "versions"));
    return code;
  }

 private:
  std::string Target() const {
    std::string target = "/v1/config/history";
    if (version_)
      return target + "?version=" + std::to_string(*version_);
    if (after_)
      target += "?after=" + std::to_string(*after_);
    if (limit_) {
      target += after_ ? "&" : "?";
      target += "limit=" + std::to_string(*limit_);
    }
    return target;
  }

  static void PrintVersions(const session& session,
                            const json::array& versions) {
    text_table table({"VERSION"});
    for (const json::value& version : versions)
      table.AddRow({json::serialize(version)});
    table.Print(session.out());
  }

  std::optional<std::uint64_t> version_;
  std::optional<std::uint64_t> after_;
  std::optional<std::int64_t> limit_;
};

constexpr std::array<command_definition, 4> kCommands{{
    {"check", "Check a file of objects without an entry",
     &Create<check_command>},
    {"publish", "Publish a file of objects", &Create<publish_command>},
    {"diff", "Compare a file with the published objects",
     &Create<diff_command>},
    {"history", "List the published versions", &Create<history_command>},
}};

}  // namespace

std::span<const command_definition> ConfigurationCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
