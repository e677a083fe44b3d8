#include <array>
#include <cstdint>
#include <optional>
#include <ostream>

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/base/ids.h"
#include "egretrackctl/commands/command.h"
#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

namespace json = boost::json;

// The longest deadline that a request kind may allow by default; an entry
// answers by then.
constexpr std::int64_t kDefaultWaitMs = 30000;
constexpr std::int64_t kMaxDeadlineMs = 3600000;
constexpr unsigned kStatusAccepted = 202;

std::string JobTarget(std::string_view id) {
  return "/v1/jobs/" + std::string(id);
}

bool IsJobId(const session& session, const std::string& id) {
  if (job_id::Parse(id).has_value())
    return true;
  session.ReportInvalid("'" + id + "' is not a job id");
  return false;
}

void PrintResults(const session& session, const json::array& results) {
  text_table table({"TASK", "RESULT"});
  for (std::size_t task = 0; task < results.size(); ++task) {
    const auto* text = results[task].if_string();
    table.AddRow({std::to_string(task),
                  text != nullptr ? std::string(text->data(), text->size())
                                  : json::serialize(results[task])});
  }
  table.Print(session.out());
}

void PrintTasks(const session& session, const json::array& tasks) {
  text_table table({"TASK", "OUTCOME"});
  for (std::size_t task = 0; task < tasks.size(); ++task)
    table.AddRow({std::to_string(task), TextAt(tasks[task], "outcome")});
  table.Print(session.out());
}

// Prints the state or answer of a job.
exit_code ReportJob(const session& session, const entry_reply& reply) {
  const net::http_response& response = *reply.response;
  const exit_code code = CodeOf(reply);
  const auto body = ParseJson(response.body);
  if (session.options().json || !body || !body->is_object() ||
      !body->as_object().contains("outcome")) {
    return session.ReportError(reply);
  }
  session.out() << TextAt(*body, "id") << ": " << TextAt(*body, "outcome")
                << '\n';
  if (body->as_object().contains("error")) {
    session.err() << TextAt(*body, "error") << ": " << TextAt(*body, "message")
                  << '\n';
  }
  const auto& results = ArrayAt(*body, "results");
  const auto& tasks = ArrayAt(*body, "tasks");
  if (!results.empty())
    PrintResults(session, results);
  else if (!tasks.empty())
    PrintTasks(session, tasks);
  return code;
}

class submit_command final : public command {
 public:
  void Declare(CLI::App& app) override {
    app.add_option("--kind", kind_, "Request kind")->required();
    app.add_option("--team", team_, "Team on whose account the job runs")
        ->required();
    app.add_option("--payload", payloads_, "Payload of a task; one per task")
        ->required()
        ->allow_extra_args(false);
    app.add_option("--id", id_, "Submit again under this job id");
    app.add_option("--deadline-ms", deadline_ms_, "Deadline of the answer")
        ->check(CLI::Range(std::int64_t{1}, kMaxDeadlineMs));
  }

  exit_code Run(const session& session) override {
    const std::string body = Body();
    // The parser rejects text that is not UTF-8; the serializer does not.
    if (!ParseJson(body))
      return session.ReportInvalid("--payload: the text is not valid UTF-8");
    if (id_.empty()) {
      const exit_code code = Reserve(session);
      if (code != exit_code::kOk)
        return code;
    }
    if (!IsJobId(session, id_))
      return exit_code::kInvalid;
    return Submit(session, body);
  }

 private:
  std::string Body() const {
    json::array tasks;
    for (const std::string& payload : payloads_)
      tasks.push_back(json::object{{"payload", payload}});
    json::object body{{"kind", kind_}, {"team", team_}, {"tasks", tasks}};
    if (deadline_ms_)
      body["deadline_ms"] = *deadline_ms_;
    return json::serialize(body);
  }

  // Gets an id first, so that the job can be asked for again when its answer
  // is lost.
  exit_code Reserve(const session& session) {
    const entry_reply reply =
        session.Ask(MakeRequest("POST", "/v1/jobs/reserve?count=1"));
    if (!reply.response)
      return session.ReportNoAnswer(reply, true);
    const exit_code code = CodeOf(reply);
    if (code != exit_code::kOk)
      return session.ReportError(reply);
    const auto body = ParseJson(reply.response->body);
    const auto* ids = body ? &ArrayAt(*body, "ids") : nullptr;
    if (ids == nullptr || ids->empty() || !ids->front().is_string()) {
      session.err() << "The entry sent no job id.\n";
      return exit_code::kFailed;
    }
    const auto& id = ids->front().get_string();
    id_.assign(id.data(), id.size());
    return code;
  }

  exit_code Submit(const session& session, const std::string& body) const {
    const milliseconds wait(deadline_ms_.value_or(kDefaultWaitMs));
    const entry_reply reply =
        session.Ask(MakeRequest("PUT", JobTarget(id_), body), wait);
    if (reply.response)
      return ReportJob(session, reply);
    session.err() << "Job " << id_ << ":\n";
    return session.ReportNoAnswer(reply, false);
  }

  std::string kind_;
  std::string team_;
  std::vector<std::string> payloads_;
  std::string id_;
  std::optional<std::int64_t> deadline_ms_;
};

// A command on one job: its method decides what it does.
class job_command : public command {
 public:
  explicit job_command(std::string_view method, bool reads_only)
      : method_(method), reads_only_(reads_only) {}

  void Declare(CLI::App& app) override {
    app.add_option("id", id_, "Job id")->required();
  }

  exit_code Run(const session& session) override {
    if (!IsJobId(session, id_))
      return exit_code::kInvalid;
    const entry_reply reply = session.Ask(MakeRequest(method_, JobTarget(id_)));
    if (!reply.response)
      return session.ReportNoAnswer(reply, reads_only_);
    if (reply.response->status == kStatusAccepted && !session.options().json) {
      session.out() << id_ << ": accepted\n";
      return exit_code::kOk;
    }
    return ReportJob(session, reply);
  }

 private:
  const std::string_view method_;
  const bool reads_only_;
  std::string id_;
};

std::unique_ptr<command> CreateGet() {
  return std::make_unique<job_command>("GET", true);
}

std::unique_ptr<command> CreateCancel() {
  return std::make_unique<job_command>("DELETE", false);
}

constexpr std::array<command_entry, 3> kCommands{{
    {"submit", "Submit a job and wait for its answer", &Create<submit_command>},
    {"job get", "Show the state or answer of a job", &CreateGet},
    {"job cancel", "Cancel a job", &CreateCancel},
}};

}  // namespace

std::span<const command_entry> JobCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
