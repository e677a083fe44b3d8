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

// Timeout for the answer of a job without --deadline-ms: the longest deadline
// that a request kind allows by default. An entry answers within the deadline.
constexpr std::int64_t kDefaultAnswerTimeoutMs = 30000;
// One hour.
constexpr std::int64_t kMaxDeadlineMs = 3600000;
constexpr unsigned kStatusAccepted = 202;

std::string JobTarget(std::string_view id) {
  return "/v1/jobs/" + std::string(id);
}

// Prints an error if `id` is not a valid job id.
bool CheckJobId(const session& session, const std::string& id) {
  if (job_id::Parse(id).has_value())
    return true;
  session.ReportInvalidInput("'" + id + "' is not a job id");
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
  const exit_code code = ExitCodeForReply(reply);
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
  void AddOptions(CLI::App& app) override {
    app.add_option("--kind", kind_, "Request kind")->required();
    app.add_option("--team", team_, "Team to which the job is charged")
        ->required();
    app.add_option("--payload", payloads_,
                   "Payload of a task; repeat for each task")
        ->required()
        ->allow_extra_args(false);
    app.add_option("--id", id_, "Resubmit the job under this id");
    app.add_option("--deadline-ms", deadline_ms_,
                   "Deadline of the answer in milliseconds")
        ->check(CLI::Range(std::int64_t{1}, kMaxDeadlineMs));
  }

  exit_code Run(const session& session) override {
    const std::string body = MakeBody();
    // Boost.JSON rejects invalid UTF-8 when it parses, but not when it
    // serializes.
    if (!ParseJson(body))
      return session.ReportInvalidInput(
          "--payload: the text is not valid UTF-8");
    if (id_.empty()) {
      const exit_code code = ReserveId(session);
      if (code != exit_code::kOk)
        return code;
    }
    if (!CheckJobId(session, id_))
      return exit_code::kInvalid;
    return Submit(session, body);
  }

 private:
  std::string MakeBody() const {
    json::array tasks;
    for (const std::string& payload : payloads_)
      tasks.push_back(json::object{{"payload", payload}});
    json::object body{{"kind", kind_}, {"team", team_}, {"tasks", tasks}};
    if (deadline_ms_)
      body["deadline_ms"] = *deadline_ms_;
    return json::serialize(body);
  }

  // Reserves an id before the submission, so that the job can be resubmitted
  // under the same id if its answer is lost.
  exit_code ReserveId(const session& session) {
    const entry_reply reply =
        session.SendToAny(MakeRequest("POST", "/v1/jobs/reserve?count=1"));
    if (!reply.response)
      return session.ReportNoResponse(reply, true);
    const exit_code code = ExitCodeForReply(reply);
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
    const milliseconds answer_timeout(
        deadline_ms_.value_or(kDefaultAnswerTimeoutMs));
    const entry_reply reply = session.SendToAny(
        MakeRequest("PUT", JobTarget(id_), body), answer_timeout);
    if (reply.response)
      return ReportJob(session, reply);
    session.err() << "Job " << id_ << ":\n";
    return session.ReportNoResponse(reply, false);
  }

  std::string kind_;
  std::string team_;
  std::vector<std::string> payloads_;
  std::string id_;
  std::optional<std::int64_t> deadline_ms_;
};

// Sends a request without a body for one job; the HTTP method selects the
// action.
class job_command : public command {
 public:
  explicit job_command(std::string_view method, bool read_only)
      : method_(method), read_only_(read_only) {}

  void AddOptions(CLI::App& app) override {
    app.add_option("id", id_, "Job id")->required();
  }

  exit_code Run(const session& session) override {
    if (!CheckJobId(session, id_))
      return exit_code::kInvalid;
    const entry_reply reply =
        session.SendToAny(MakeRequest(method_, JobTarget(id_)));
    if (!reply.response)
      return session.ReportNoResponse(reply, read_only_);
    if (reply.response->status == kStatusAccepted && !session.options().json) {
      session.out() << id_ << ": accepted\n";
      return exit_code::kOk;
    }
    return ReportJob(session, reply);
  }

 private:
  const std::string_view method_;
  const bool read_only_;
  std::string id_;
};

std::unique_ptr<command> CreateGet() {
  return std::make_unique<job_command>("GET", true);
}

std::unique_ptr<command> CreateCancel() {
  return std::make_unique<job_command>("DELETE", false);
}

constexpr std::array<command_definition, 3> kCommands{{
    {"submit", "Submit a job and wait for its answer", &Create<submit_command>},
    {"job get", "Show the state or answer of a job", &CreateGet},
    {"job cancel", "Cancel a job", &CreateCancel},
}};

}  // namespace

std::span<const command_definition> JobCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
