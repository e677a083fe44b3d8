#ifndef EGRETRACK_REVIEW_DEPLOYMENT_H_
#define EGRETRACK_REVIEW_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "egretrack/net/http.h"
#include "platform/standins/row_store.h"
#include "review/standins/record.h"
#include "review/standins/worker.h"
#include "standins/child_process.h"

namespace egretrack::review {

inline constexpr const char* kService = "banco-turni";
inline constexpr int kEntries = 4;
inline constexpr int kWorkers = 11;
inline constexpr const char* kHost = "desk.example";
inline constexpr const char* kPrefix = "/riassegna/";

// What one attempt of a client saw.
struct attempt_result {
  unsigned status = 0;  // 0: no response, or a broken connection.
  std::string body;
};

// One attempt of a client to hand in a job whose steps follow one another.
struct submission {
  int entry = 1;
  std::string job;  // 16 hexadecimal digits.
  int tasks = 1;
  int run_ms = 100;
  milliseconds deadline{1500};
  int cpu = 1600;
  int steps = 1;  // Each with `tasks` tasks.
};

// A small deployment on loopback addresses: the project's entries and agents
// as processes, started with the settings of deploy/*.toml; the store, the
// workers and the clients are stand-ins. All machines use the same ports.
class deployment {
 public:
  // Reads the driver's arguments: PROGRAM WORK_FOLDER RECORD.
  static std::unique_ptr<deployment> Create(int argc, char** argv);
  ~deployment();

  record& log() { return *record_; }

  // Entry and agent numbers start at 1.
  bool StartEntry(int number);
  void SignalEntry(int number, int signal);
  // Default options of the worker beside agent `number`.
  worker_options WorkerOptions(int number) const;
  // Starts the platform, all entries and agents, and waits until the entries
  // are ready. `change` may alter the options of the worker that is started
  // beside each agent.
  bool StartAll(std::vector<std::unique_ptr<worker>>& workers,
                const std::function<void(int, worker_options&)>& change = {});
  // Waits until the entry reports itself ready.
  bool WaitUntilReady(int entry, milliseconds timeout);
  // Sends a job once and waits for the answer.
  attempt_result Submit(const submission& job);
  // Cancels the job at an entry.
  attempt_result Cancel(int entry, const std::string& job);

 private:
  deployment() = default;
  std::string EntryIp(int number) const;
  std::string AgentIp(int number) const;
  void PutConfiguration(std::int64_t version, std::int64_t timeout_ms);
  bool StartPlatform();
  bool StartAgent(int number);
  std::string EntrySettings(int number) const;
  std::string AgentSettings(int number) const;
  std::string Seeds() const;
  bool StartProcess(const std::string& name, const std::string& settings);

  std::string program_;
  std::string folder_;
  std::unique_ptr<record> record_;
  std::unique_ptr<standins::row_store> store_;
  std::string network_;  // First two bytes of all machines' addresses.
  std::uint16_t ports_ = 0;
  std::map<std::string, standins::child_process> processes_;
};

// True unless the environment says TROUBLE=0.
bool Trouble();
void SleepFor(milliseconds time);

}  // namespace egretrack::review

#endif  // EGRETRACK_REVIEW_DEPLOYMENT_H_
