#include "standins/ledger.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace egretrack::standins {
namespace {

constexpr std::string_view kStartEvent = "start";
constexpr std::string_view kEndEvent = "end";

error SystemError(std::string_view detail) {
  return MakeError(std::error_code(errno, std::system_category()), detail);
}

std::string_view TakeWord(std::string_view& text) {
  const std::size_t space = std::min(text.find(' '), text.size());
  const std::string_view word = text.substr(0, space);
  text.remove_prefix(std::min(space + 1, text.size()));
  return word;
}

template <typename Number>
bool ParseNumber(std::string_view digits, Number& value) {
  const char* end = digits.data() + digits.size();
  const auto [stop, code] = std::from_chars(digits.data(), end, value);
  return code == std::errc() && stop == end;
}

std::optional<ledger_event> ParseEvent(std::string_view word) {
  if (word == kStartEvent)
    return ledger_event::kStart;
  if (word == kEndEvent)
    return ledger_event::kEnd;
  return std::nullopt;
}

result<ledger_line> ParseLine(std::string_view text) {
  std::string_view remaining = text;
  ledger_line line;
  const auto event = ParseEvent(TakeWord(remaining));
  microseconds::rep time = 0;
  const bool has_time = ParseNumber(TakeWord(remaining), time);
  line.job = TakeWord(remaining);
  const bool has_task = ParseNumber(TakeWord(remaining), line.task);
  line.detail = remaining;
  if (!event || !has_time || !has_task || line.job.empty())
    return MakeError(errc::kParseFailed, "malformed ledger line");
  line.event = *event;
  line.time = wall_time(microseconds(time));
  return line;
}

bool Contains(std::span<const std::string> jobs, const std::string& job) {
  return std::find(jobs.begin(), jobs.end(), job) != jobs.end();
}

struct task_key {
  std::string job;
  task_index task = 0;

  bool operator<(const task_key& other) const {
    return std::tie(job, task) < std::tie(other.job, other.task);
  }
};

}  // namespace

result<ledger_writer> ledger_writer::Open(const std::string& path) {
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor < 0)
    return SystemError("ledger " + path);
  return ledger_writer(descriptor);
}

ledger_writer::ledger_writer(ledger_writer&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

ledger_writer::~ledger_writer() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

result<void> ledger_writer::Append(const ledger_line& line) const {
  const std::string text = FormatLedgerLine(line);
  const ssize_t written = write(descriptor_, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size()))
    return SystemError("ledger");
  return {};
}

std::string FormatLedgerLine(const ledger_line& line) {
  std::string text(line.event == ledger_event::kStart ? kStartEvent
                                                      : kEndEvent);
  text += ' ';
  text += std::to_string(line.time.time_since_epoch().count());
  text += ' ';
  text += line.job;
  text += ' ';
  text += std::to_string(line.task);
  text += ' ';
  text += line.detail;
  text += '\n';
  return text;
}

result<std::vector<ledger_line>> ParseLedger(std::string_view text) {
  std::vector<ledger_line> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    // A line without a newline is still being written.
    if (end == std::string_view::npos)
      break;
    auto line = ParseLine(text.substr(0, end));
    if (!line)
      return line.error();
    lines.push_back(std::move(*line));
    text.remove_prefix(end + 1);
  }
  return lines;
}

std::vector<std::string> CheckLedger(
    std::span<const ledger_line> lines,
    std::span<const std::string> not_run_jobs,
    std::span<const std::string> retryable_jobs) {
  std::map<task_key, std::size_t> start_counts;
  for (const auto& line : lines) {
    if (line.event == ledger_event::kStart)
      ++start_counts[task_key{line.job, line.task}];
  }
  std::vector<std::string> violations;
  for (const auto& [key, count] : start_counts) {
    const std::string name =
        "Task " + std::to_string(key.task) + " of job " + key.job;
    if (count > 1 && !Contains(retryable_jobs, key.job))
      violations.push_back(name + " started " + std::to_string(count) +
                           " times.");
    if (Contains(not_run_jobs, key.job))
      violations.push_back(name + " started although its answer says not run.");
  }
  return violations;
}

}  // namespace egretrack::standins
