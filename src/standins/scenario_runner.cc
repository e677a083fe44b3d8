// Runs one scenario: a Lua script that starts the real programs, injects faults
// and prints its observations. The output is compared with the reference
// output.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

#include <CLI/CLI.hpp>

#include "egretrack/base/ids.h"
#include "standins/script_host.h"

namespace egretrack::standins {
namespace {

namespace fs = std::filesystem;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kDefaultTimeoutSeconds = 110;
// Size of the end of each log that is printed when a scenario fails.
constexpr std::size_t kLogTailBytes = 3000;

struct runner_options {
  std::string programs_directory;
  std::string library_directory;
  std::string scenario_directory;
  int timeout = kDefaultTimeoutSeconds;
  bool verbose = false;
  bool compare = true;
  bool keep = false;
};

// Creates an empty directory, which the destructor deletes unless `keep` is
// set.
class temporary_directory {
 public:
  explicit temporary_directory(bool keep) : keep_(keep) {
    path_ = fs::temp_directory_path() /
            ("egretrack-" + std::to_string(RandomNumber()));
    fs::create_directories(path_);
  }
  ~temporary_directory() {
    std::error_code ignored;
    if (!keep_)
      fs::remove_all(path_, ignored);
  }
  temporary_directory(const temporary_directory&) = delete;
  temporary_directory& operator=(const temporary_directory&) = delete;

  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
  bool keep_;
};

std::string ReadAll(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void PrintLogs(const fs::path& directory) {
  for (const auto& entry : fs::directory_iterator(directory)) {
    if (entry.path().extension() != ".log")
      continue;
    const std::string text = ReadAll(entry.path());
    const std::size_t from =
        text.size() > kLogTailBytes ? text.size() - kLogTailBytes : 0;
    std::fprintf(stderr, "---- %s\n%s", entry.path().filename().c_str(),
                 text.c_str() + from);
  }
}

bool CompareOutput(const fs::path& reference, const std::string& output) {
  const std::string expected = ReadAll(reference);
  if (expected == output)
    return true;
  std::fprintf(stderr, "---- expected (%s)\n%s---- printed\n%s",
               reference.c_str(), expected.c_str(), output.c_str());
  return false;
}

bool RunScripts(script_host& host, const runner_options& options) {
  for (const std::string& script :
       {options.library_directory + "/cluster.lua",
        options.library_directory + "/load.lua",
        options.scenario_directory + "/scenario.lua"}) {
    const auto completed = host.RunFile(script);
    if (!completed) {
      std::fprintf(stderr, "%s\n", completed.error().detail.c_str());
      return false;
    }
  }
  return true;
}

bool CheckLedgers(const script_host& host, std::string& output) {
  const auto violations = host.CheckLedgers();
  for (const auto& violation : violations)
    std::fprintf(stderr, "ledger: %s\n", violation.c_str());
  output += violations.empty() ? "ledger: ok\n" : "ledger: faulty\n";
  return violations.empty();
}

int Run(const runner_options& options) {
  const temporary_directory directory(options.keep);
  script_options script;
  script.programs_directory = options.programs_directory;
  script.run_directory = directory.path();
  script.scenario_directory = options.scenario_directory;
  script.timeout = seconds(options.timeout);
  script.verbose = options.verbose;
  const auto host = script_host::Create(script);

  bool passed = RunScripts(*host, options);
  std::string output = host->output();
  passed = CheckLedgers(*host, output) && passed;
  host->EndProcesses();
  if (options.verbose)
    std::printf("%s", output.substr(host->output().size()).c_str());
  if (options.compare) {
    passed =
        CompareOutput(options.scenario_directory + "/expected.txt", output) &&
        passed;
  }
  if (!passed)
    PrintLogs(directory.path());
  return passed ? kExitOk : kExitFailed;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  runner_options options;
  CLI::App app("Runs a scenario against the real programs");
  app.add_option("--bin", options.programs_directory, "Folder of the programs")
      ->required();
  app.add_option("--library", options.library_directory,
                 "Folder of cluster.lua")
      ->required();
  app.add_option("--timeout", options.timeout, "Time limit in seconds");
  app.add_flag("--verbose", options.verbose, "Print the output immediately");
  app.add_flag("!--no-compare", options.compare,
               "Do not compare with expected.txt");
  app.add_flag("--keep", options.keep, "Keep the folder with logs and ledgers");
  app.add_option("scenario", options.scenario_directory,
                 "Folder of the scenario")
      ->required();
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}

}  // namespace
}  // namespace egretrack::standins

int main(int argc, char** argv) {
  return egretrack::standins::Main(argc, argv);
}
