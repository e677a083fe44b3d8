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

// A line begins with its time, "2026-02-05T22:27:27.441Z", so that lines in
// order of their text are in order of time.
constexpr std::size_t kTimeBytes = 24;
constexpr std::string_view kStandardInput = "-";

struct log_line {
  std::string source;  // The file, as it was named.
  std::string text;
};

bool HasTime(std::string_view text) {
  return text.size() > kTimeBytes && text[kTimeBytes - 1] == 'Z' &&
         text[10] == 'T';
}

bool Concerns(std::string_view text, std::string_view id) {
  const std::string key = " job=" + std::string(id);
  const std::size_t at = text.find(key);
  if (at == std::string_view::npos)
    return false;
  const std::size_t end = at + key.size();
  return end == text.size() || text[end] == ' ';
}

// What a process learned or did that concerns no single request: a worker that
// went away, a configuration, a start or a stop.
bool IsStateChange(std::string_view text) {
  return text.find(" job=") == std::string_view::npos;
}

bool ByTime(const log_line& a, const log_line& b) {
  return std::string_view(a.text).substr(0, kTimeBytes) <
         std::string_view(b.text).substr(0, kTimeBytes);
}

// Prints the history of one request out of the logs of several processes.
class explain_command final : public command {
 public:
  void Declare(CLI::App& app) override {
    app.add_option("id", id_, "Id of the job, as its caller named it")
        ->required();
    app.add_option("files", files_,
                   "Log files, one per process; - for standard input")
        ->required();
    app.add_flag("--context", context_,
                 "Also what the same processes learned meanwhile");
  }

  exit_code Run(const session& session) override {
    std::vector<log_line> lines;
    for (const std::string& file : files_) {
      if (!Read(file, lines))
        return session.ReportInvalid("'" + file + "' cannot be read");
    }
    std::ranges::stable_sort(lines, &ByTime);
    const auto concerns = [this](const log_line& line) {
      return Concerns(line.text, id_);
    };
    const auto first = std::ranges::find_if(lines, concerns);
    if (first == lines.end())
      return session.ReportInvalid("no line concerns job '" + id_ + "'");
    const auto last =
        std::find_if(lines.rbegin(), lines.rend(), concerns).base();
    for (auto line = first; line != last; ++line) {
      if (concerns(*line) || (context_ && IsStateChange(line->text)))
        session.out() << line->source << ": " << line->text << '\n';
    }
    return exit_code::kOk;
  }

 private:
  static bool Read(const std::string& file, std::vector<log_line>& lines) {
    if (file == kStandardInput)
      return ReadFrom(std::cin, file, lines);
    std::ifstream stream(file);
    return stream.is_open() && ReadFrom(stream, file, lines);
  }

  static bool ReadFrom(std::istream& stream,
                       const std::string& source,
                       std::vector<log_line>& lines) {
    std::string text;
    while (std::getline(stream, text)) {
      if (HasTime(text))
        lines.push_back({source, text});
    }
    return !stream.bad();
  }

  std::string id_;
  std::vector<std::string> files_;
  bool context_ = false;
};

constexpr std::array<command_entry, 1> kCommands{{
    {"explain", "Show what happened to a job, from the logs of processes",
     &Create<explain_command>},
}};

}  // namespace

std::span<const command_entry> LogCommands() {
  return kCommands;
}

}  // namespace egretrack::ctl
