#include <array>
#include <ostream>

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/base/ids.h"
#include "egretrackctl/commands/command.h"
#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

namespace json = boost::json;

constexpr std::array<json_column, 8> kEntryColumns{{
    {"ENTRY", "id"},
    {"INCARNATION", "incarnation"},
    {"VERSION", "config_version"},
    {"READY", "ready"},
    {"DRAINING", "draining"},
    {"JOBS", "jobs_running"},
    {"QUEUED", "tasks_queued"},
    {"ADDRESS", "address"},
}};

constexpr std::array<json_column, 9> kAgentColumns{{
    {"AGENT", "agent"},
    {"ENDPOINT", "endpoint"},
    {"FAILURE DOMAIN", "failure_domain"},
    {"VERSION", "config_version"},
    {"SLOTS", "slots"},
    {"OUTSTANDING", "outstanding"},
    {"REACHABLE", "reachable"},
    {"DRAINING", "draining"},
    {"EJECTED", "ejected"},
}};

constexpr std::array<json_column, 3> kEvacuationColumns{{
    {"FAILURE DOMAIN", "domain"},
    {"VERSION", "version"},
    {"STATE", "state"},
}};

constexpr const char* kUnreachable = "unreachable";

class status_command final : public command {
 public:
  void AddOptions(CLI::App& /*app*/) override {}

  exit_code Run(const session& session) override {
    exit_code first_error = exit_code::kOk;
    for (const net::tcp_address& entry : session.options().entries) {
      const exit_code code = QueryEntry(session, entry);
      if (first_error == exit_code::kOk)
        first_error = code;
    }
    if (!session.options().json)
      PrintTables(session);
    return first_error;
  }

 private:
  exit_code QueryEntry(const session& session, const net::tcp_address& entry) {
    const entry_reply reply =
        session.SendTo(entry, MakeRequest("GET", "/v1/status"));
    if (!reply.response) {
      AddUnreachableEntry(session, entry);
      return session.ReportNoResponse(reply, true);
    }
    const exit_code code = ExitCodeForReply(reply);
    auto body = ParseJson(reply.response->body);
    if (code != exit_code::kOk || !body || !body->is_object())
      return session.ReportError(reply);
    if (session.options().json) {
      session.out() << reply.response->body << '\n';
      return code;
    }
    body->as_object()["address"] = entry.ToString();
    statuses_.push_back(std::move(*body));
    return code;
  }

  void AddUnreachableEntry(const session& session,
                           const net::tcp_address& entry) {
    json::object row{{"address", entry.ToString()}};
    if (session.options().json) {
      row["error"] = kUnreachable;
      session.out() << json::serialize(row) << '\n';
      return;
    }
    row["ready"] = kUnreachable;
    statuses_.push_back(std::move(row));
  }

  void PrintTables(const session& session) const {
    MakeTable(kEntryColumns, statuses_).Print(session.out());
    for (const json::value& status : statuses_) {
      const auto& agents = ArrayAt(status, "agents");
      if (agents.empty())
        continue;
      session.out() << "\nAgents of " << TextAt(status, "id") << ":\n";
      MakeTable(kAgentColumns, agents).Print(session.out());
    }
  }

  json::array statuses_;
};

class drain_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    app.add_option("--agent", agent_, "Drain this agent instead of the entry");
  }

  exit_code Run(const session& session) override {
    if (agent_.empty())
      return DrainEntry(session);
    if (!IsValidName(agent_))
      return session.ReportInvalidInput("--agent: '" + agent_ +
                                        "' is not a name");
    return Report(session, session.SendToAny(MakeRequest(
                               "POST", "/v1/agents/" + agent_ + "/drain")));
  }

 private:
  // Sends the request to a single entry: a retry at a second one would drain
  // that entry as well.
  static exit_code DrainEntry(const session& session) {
    const auto& entries = session.options().entries;
    if (entries.size() != 1) {
      session.err() << "drain takes one --entry, the one to drain\n";
      return exit_code::kUsage;
    }
    return Report(session, session.SendTo(entries.front(),
                                          MakeRequest("POST", "/v1/drain")));
  }

  static exit_code Report(const session& session, const entry_reply& reply) {
    if (!reply.response)
      return session.ReportNoResponse(reply, false);
    const exit_code code = ExitCodeForReply(reply);
    if (code != exit_code::kOk)
      return session.ReportError(reply);
    if (session.options().json)
      session.out() << reply.response->body << '\n';
    else
      session.out() << "Draining.\n";
    return code;
  }

  std::string agent_;
};

// Lists the failure domains of which the entry knows that they are or were
// evacuated.
class evacuations_command final : public command {
 public:
  void AddOptions(CLI::App& /*app*/) override {}

  exit_code Run(const session& session) override {
    const entry_reply reply =
        session.SendToAny(MakeRequest("GET", "/v1/evacuations"));
    if (!reply.response)
      return session.ReportNoResponse(reply, true);
    const exit_code code = ExitCodeForReply(reply);
    const auto body = ParseJson(reply.response->body);
    if (code != exit_code::kOk || !body)
      return session.ReportError(reply);
    if (session.options().json) {
      session.out() << reply.response->body << '\n';
    } else {
      MakeTable(kEvacuationColumns, ArrayAt(*body, "evacuations"))
          .Print(session.out());
    }
    return code;
  }
};

constexpr std::array<command_definition, 3> kCommands{{
    {"status", "Show entries and their agents", &Create<status_command>},
    {"drain", "Drain an entry or an agent", &Create<drain_command>},
    {"evacuations", "List evacuated failure domains",
     &Create<evacuations_command>},
}};

}  // namespace

std::span<const command_definition> ProcessCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
