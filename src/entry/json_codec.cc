#include "entry/json_codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "entry/request_error.h"
#include "entry/text_encoding.h"

namespace egretrack::entry {
namespace {

namespace json = boost::json;

// One day, longer than any deadline that a configuration allows.
constexpr std::int64_t kMaxDeadlineMs = 86400000;
constexpr std::string_view kDeadlineField = "field \"deadline_ms\"";

// Refusals because of the job id. They do not guarantee that no task ran,
// because an earlier submission with the same id may have started the job.
constexpr std::array kCodesWithoutGuarantee = {
    decision::job_errc::kInvalidId,
    decision::job_errc::kIdReused,
    decision::job_errc::kIdExpired,
    decision::job_errc::kUnknownJob,
};

json::string_view ToJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

error FieldError(request_errc code, std::string_view field) {
  return MakeError(code, "submission, " + std::string(field));
}

using field_reader = result<void> (*)(const json::value& value,
                                      decision::submission& job);

result<void> ReadString(const json::value& value,
                        std::string_view field,
                        std::string& target) {
  const json::string* const text = value.if_string();
  if (text == nullptr)
    return FieldError(request_errc::kWrongType, field);
  target.assign(text->data(), text->size());
  return {};
}

result<void> ReadKind(const json::value& value, decision::submission& job) {
  return ReadString(value, "field \"kind\"", job.kind);
}

result<void> ReadTeam(const json::value& value, decision::submission& job) {
  return ReadString(value, "field \"team\"", job.team);
}

result<void> ReadDeadline(const json::value& value, decision::submission& job) {
  if (!value.is_int64() && !value.is_uint64())
    return FieldError(request_errc::kWrongType, kDeadlineField);
  // A deadline of zero is left to the core, whose refusal guarantees that no
  // task ran.
  const bool in_range = value.is_int64() && value.get_int64() >= 0 &&
                        value.get_int64() <= kMaxDeadlineMs;
  if (!in_range)
    return FieldError(request_errc::kOutOfRange, kDeadlineField);
  job.deadline = milliseconds(value.get_int64());
  return {};
}

result<void> ReadTask(const json::value& value, decision::submission& job) {
  const json::object* const task = value.if_object();
  if (task == nullptr)
    return FieldError(request_errc::kWrongType, "element of \"tasks\"");
  const json::value* const payload = task->if_contains("payload");
  if (payload == nullptr)
    return FieldError(request_errc::kMissingField,
                      "field \"payload\" of a task");
  if (task->size() > 1)
    return FieldError(request_errc::kUnknownField, "element of \"tasks\"");
  return ReadString(*payload, "field \"payload\" of a task",
                    job.payloads.emplace_back());
}

result<void> ReadTasks(const json::value& value, decision::submission& job) {
  const json::array* const tasks = value.if_array();
  if (tasks == nullptr)
    return FieldError(request_errc::kWrongType, "field \"tasks\"");
  // No configuration allows more than kMaxTaskCount tasks. One more is enough
  // for the core to refuse the job, so the remaining tasks are not copied.
  const std::size_t count =
      std::min(tasks->size(), std::size_t{wire::kMaxTaskCount} + 1);
  job.payloads.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    if (auto read = ReadTask((*tasks)[i], job); !read)
      return read;
  }
  return {};
}

struct submission_field {
  std::string_view name;
  bool required;
  field_reader read;
};

constexpr std::array kSubmissionFields = {
    submission_field{"kind", true, ReadKind},
    submission_field{"team", false, ReadTeam},
    submission_field{"deadline_ms", false, ReadDeadline},
    submission_field{"tasks", true, ReadTasks},
};

result<decision::submission> ReadSubmission(const json::object& fields) {
  decision::submission job;
  std::size_t known_fields = 0;
  for (const submission_field& field : kSubmissionFields) {
    const json::value* const value = fields.if_contains(ToJsonView(field.name));
    const std::string name = "field \"" + std::string(field.name) + "\"";
    if (value == nullptr && field.required)
      return FieldError(request_errc::kMissingField, name);
    if (value == nullptr)
      continue;
    ++known_fields;
    if (const auto read = field.read(*value, job); !read)
      return read.error();
  }
  if (known_fields < fields.size())
    return FieldError(request_errc::kUnknownField, "top level");
  return job;
}

// A result that is not valid UTF-8 cannot be a JSON string and is encoded as
// Base64.
json::value EncodeResult(std::string_view result) {
  if (IsUtf8(result))
    return json::string(ToJsonView(result));
  return json::object({{"base64", EncodeBase64(result)}});
}

json::array EncodeResults(const decision::job_answer& answer) {
  json::array results;
  results.reserve(answer.tasks.size());
  for (const auto& task : answer.tasks)
    results.emplace_back(EncodeResult(task.result));
  return results;
}

json::array EncodeTaskOutcomes(const decision::job_answer& answer) {
  json::array tasks;
  tasks.reserve(answer.tasks.size());
  for (const auto& task : answer.tasks) {
    json::object& encoded = tasks.emplace_back(json::object()).get_object();
    encoded["outcome"] = ToJsonView(decision::Name(task.outcome));
  }
  return tasks;
}

json::object EncodeAgent(const decision::agent_status& agent) {
  return {{"agent", agent.agent},
          {"endpoint", agent.endpoint},
          {"failure_domain", agent.failure_domain},
          {"config_version", agent.config_version},
          {"slots", agent.slots},
          {"outstanding", agent.outstanding},
          {"reachable", agent.reachable},
          {"draining", agent.draining},
          {"ejected", agent.ejected}};
}

// Encodes an incarnation as in the text of job ids.
std::string EncodeIncarnation(incarnation value) {
  const std::string id = job_id{"x", value, 0, 0}.ToString();
  const std::size_t start = id.find('.') + 1;
  return id.substr(start, id.find('.', start) - start);
}

}  // namespace

result<decision::submission> ParseSubmission(std::string_view body) {
  boost::system::error_code failure;
  const json::value parsed = json::parse(ToJsonView(body), failure);
  if (failure)
    return FieldError(request_errc::kMalformedJson, failure.message());
  const json::object* const fields = parsed.if_object();
  if (fields == nullptr)
    return FieldError(request_errc::kWrongType, "top level");
  return ReadSubmission(*fields);
}

bool GuaranteesNotRun(const decision::job_answer& answer) {
  if (answer.outcome != decision::job_outcome::kRefused)
    return false;
  for (const decision::job_errc code : kCodesWithoutGuarantee) {
    if (answer.code == code)
      return false;
  }
  return true;
}

std::string EncodeAnswer(const decision::job_answer& answer) {
  json::object body;
  body["id"] = answer.id.ToString();
  body["outcome"] = ToJsonView(decision::Name(answer.outcome));
  if (answer.outcome == decision::job_outcome::kAnswered) {
    body["results"] = EncodeResults(answer);
    return json::serialize(body);
  }
  if (answer.code) {
    const auto code = static_cast<decision::job_errc>(answer.code.value());
    body["error"] = ToJsonView(decision::Name(code));
    body["message"] = answer.message;
    body["not_run"] = GuaranteesNotRun(answer);
  }
  body["tasks"] = EncodeTaskOutcomes(answer);
  return json::serialize(body);
}

std::string EncodeIds(std::span<const job_id> ids) {
  json::array list;
  for (const job_id& id : ids)
    list.emplace_back(id.ToString());
  return json::serialize(json::object({{"ids", std::move(list)}}));
}

std::string EncodeStatus(const decision::entry_status& status) {
  json::array agents;
  for (const auto& agent : status.agents)
    agents.emplace_back(EncodeAgent(agent));
  const json::object body = {
      {"role", "entry"},
      {"id", status.entry},
      {"incarnation", EncodeIncarnation(status.entry_incarnation)},
      {"config_version", status.config_version},
      {"ready", status.ready},
      {"draining", status.draining},
      {"jobs_running", status.jobs_running},
      {"tasks_queued", status.tasks_queued},
      {"agents", std::move(agents)}};
  return json::serialize(body);
}

}  // namespace egretrack::entry
