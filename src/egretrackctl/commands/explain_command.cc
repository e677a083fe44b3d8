#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <istream>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <CLI/CLI.hpp>

#include "egretrackctl/commands/command.h"

namespace egretrack::ctl {
namespace {

// Length of the timestamp that starts a log line, as in
// "2026-02-05T22:27:27.441Z". Its text sorts in chronological order.
constexpr std::size_t kTimestampBytes = 24;
constexpr std::string_view kStandardInputName = "-";

struct log_line {
  std::string source;  // File name as given on the command line.
  std::string text;
};

bool HasTimestamp(std::string_view text) {
  return text.size() > kTimestampBytes && text[kTimestampBytes - 1] == 'Z' &&
         text[10] == 'T';
}

bool MentionsJob(std::string_view text, std::string_view id) {
  const std::string key = " job=" + std::string(id);
  const std::size_t at = text.find(key);
  if (at == std::string_view::npos)
    return false;
  const std::size_t end = at + key.size();
  return end == text.size() || text[end] == ' ';
}

// Returns true for events that belong to no single job, such as a lost worker,
// an adopted configuration, or the start or stop of a process.
bool IsProcessEvent(std::string_view text) {
  return text.find(" job=") == std::string_view::npos;
}

bool IsEarlier(const log_line& a, const log_line& b) {
  return std::string_view(a.text).substr(0, kTimestampBytes) <
         std::string_view(b.text).substr(0, kTimestampBytes);
}

// Prints the history of one job from the logs of several processes.
class explain_command final : public command {
 public:
  void AddOptions(CLI::App& app) override {
    app.add_option("id", id_, "Id of the job as given by its caller")
        ->required();
    app.add_option("files", files_,
                   "Log files, one per process; - for standard input")
        ->required();
    app.add_flag("--context", context_,
                 "Also show events without a job id from the same period");
  }

  exit_code Run(const session& session) override {
    std::vector<log_line> lines;
    for (const std::string& file : files_) {
      if (!ReadLog(file, lines))
        return session.ReportInvalidInput("'" + file + "' cannot be read");
    }
    std::ranges::stable_sort(lines, &IsEarlier);
    const auto mentions_job = [this](const log_line& line) {
      return MentionsJob(line.text, id_);
    };
    const auto first = std::ranges::find_if(lines, mentions_job);
    if (first == lines.end())
      return session.ReportInvalidInput("no log line mentions job '" + id_ +
                                        "'");
    const auto last =
        std::find_if(lines.rbegin(), lines.rend(), mentions_job).base();
    for (auto line = first; line != last; ++line) {
      if (mentions_job(*line) || (context_ && IsProcessEvent(line->text)))
        session.out() << line->source << ": " << line->text << '\n';
    }
    return exit_code::kOk;
  }

 private:
  static bool ReadLog(const std::string& file, std::vector<log_line>& lines) {
    if (file == kStandardInputName)
      return ReadLines(std::cin, file, lines);
    std::ifstream stream(file);
    return stream.is_open() && ReadLines(stream, file, lines);
  }

  static bool ReadLines(std::istream& stream,
                        const std::string& source,
                        std::vector<log_line>& lines) {
    std::string text;
    while (std::getline(stream, text)) {
      if (HasTimestamp(text))
        lines.push_back({source, text});
    }
    return !stream.bad();
  }

  std::string id_;
  std::vector<std::string> files_;
  bool context_ = false;
};

constexpr std::array<command_definition, 1> kCommands{{
    {"explain", "Show the history of a job from the logs of processes",
     &Create<explain_command>},
}};

}  // namespace

std::span<const command_definition> LogCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
