#include <array>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <ostream>

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/base/ids.h"
#include "egretrack/objects/check.h"
#include "egretrackctl/commands/command.h"
#include "egretrackctl/commands/configuration_source.h"
#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxVersions = 1000;

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
      MakeChangeTable(changes).Print(session.err());
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
    const auto changes = ChangesToJson(objects::Diff(
        objects::CheckDocument(current->document).objects, file->objects));
    if (session.options().json) {
      session.out() << json::serialize(json::value{
                           {"version", current->version}, {"changes", changes}})
                    << '\n';
    } else {
      PrintChanges(session, VersionTitle(current->version), changes);
    }
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

constexpr std::array<command_definition, 3> kCommands{{
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
