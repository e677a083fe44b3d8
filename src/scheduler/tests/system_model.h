#ifndef EGRETRACK_SCHEDULER_TESTS_SYSTEM_MODEL_H_
#define EGRETRACK_SCHEDULER_TESTS_SYSTEM_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "egretrack/scheduler/job_scheduler.h"
#include "egretrack/scheduler/run_supervisor.h"

namespace egretrack::scheduler {

enum class model_fault_kind : std::uint8_t {
  kRestartEntry,
  kRestartAgent,
  kRestartWorker,  // Under its id, with any time of birth.
  kReplaceWorker,  // By one with another id, and perhaps another label.
  kCutWorker,      // The agent cannot connect; the worker runs on.
  kSlowWorker,     // Calls are answered or executed late, or not at all.
  kOddReport,      // Of a worker that does not exist, or of another process.
  kDeregister,     // Sent by another process.
  kCutLink,        // Frames between an entry and an agent are lost.
  kReconnectLink,  // By the transport; frames on the way arrive late.
  kSlowAnswers,  // Calls take effect at once and are answered 0 to 90 ms late.
  kPauseEntry,   // It stands still while some of its callers leave.
  kPauseAgent,
  kSilenceLinks,  // All frames on the open links of an agent are lost.
  // The next task that begins, on one worker or on each, ends its worker before
  // the start is answered. The worker is back under its id.
  kCrashAtStart,
  // Nothing reaches it or leaves it. Requests are held up, and delivered after
  // the cut with the end of their connection a round trip behind them.
  kCutEntry,
  kCount,
};

struct model_fault {
  milliseconds at{0};
  model_fault_kind kind = model_fault_kind::kRestartEntry;
  std::uint32_t target = 0;
  milliseconds duration{0};
};

// Entries and agents without I/O, joined by a model of the network, of workers
// with leases, of callers that resubmit, and of a clock for each process.
// Records every violation of a guarantee.
class system_model {
 public:
  // `seed` determines all delays and losses.
  explicit system_model(std::uint64_t seed);
  ~system_model();
  system_model(const system_model&) = delete;
  system_model& operator=(const system_model&) = delete;

  void Inject(const model_fault& fault);
  void Run(microseconds duration);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t completed_jobs() const { return completed_jobs_; }

 private:
  struct entry;
  struct agent;
  struct worker;
  struct worker_process;
  struct worker_call;
  struct job;

  // ---- Processes ----
  void StartEntry(std::size_t index);
  void StartAgent(std::size_t index);
  void StartWorker(std::size_t index, bool new_id, milliseconds birth_offset);
  template <typename Process>
  void ReadInOrder(const Process& reader,
                   monotonic_time& last_of_source,
                   std::function<void()> read);
  void ReceiveAtEntry(std::size_t index, scheduler_event event);
  void ReceiveAtAgent(std::size_t index, supervisor_event event);
  void HandleEntry(std::size_t index, std::optional<scheduler_event> event);
  void HandleAgent(std::size_t index, std::optional<supervisor_event> event);
  void PerformEntryCommand(std::size_t index, scheduler_command& command);
  void PerformAgentCommand(std::size_t index, supervisor_command& command);
  void KillEntry(std::size_t index, milliseconds down_time);
  void PauseEntry(std::size_t index, milliseconds duration, bool all_leave);
  void PauseAgent(std::size_t index, milliseconds duration);
  void SilenceLinks(std::size_t index);
  void CutEntry(std::size_t index, milliseconds duration);

  // ---- Network ----
  void SendToEntry(std::size_t from, send_to_entry command);
  void DeliverToEntry(std::size_t from,
                      std::uint64_t agent_process,
                      std::uint64_t transport,
                      send_to_entry command);
  void SendToAgent(std::size_t from, send_to_agent command);

  // ---- Workers ----
  void CallWorker(std::size_t from, worker_call call);
  void ExecuteCall(const std::shared_ptr<worker_call>& call);
  void AnswerCall(const std::shared_ptr<worker_call>& call,
                  supervisor_event answer);
  void FailCall(const std::shared_ptr<worker_call>& call,
                worker_call_result result);
  // Ends the worker's process as it begins a task. Returns false if it does not
  // crash.
  bool CrashAtStart(std::size_t index);
  void AnswerPoll(worker_process& process,
                  const std::shared_ptr<worker_call>& call);
  worker_call_result StartRun(worker_process& process, const worker_call& call);
  void ReportWorker(std::size_t index);
  void SendReport(std::size_t index);
  void AdvanceWorkers();
  bool RunsElsewhere(const std::string& task,
                     const worker_process& process) const;

  // ---- Callers ----
  void Submit(std::size_t number);
  // Delivers the submission when TCP repeats it after the cut. By then its
  // caller may have left and sent its job again.
  void HoldUp(std::size_t number, std::size_t index, job_submission submission);
  // The caller's connection is reset, and it sends its job again.
  void LeaveEntry(std::size_t index, std::uint64_t caller);
  void LookAtCaller(std::size_t index, caller_token caller);
  void OnAnswer(const answer_job& answer);

  void At(microseconds delay, std::function<void()> action);
  microseconds RandomTime(milliseconds low, milliseconds high);
  bool Draw(double probability);

  std::mt19937_64 random_;
  monotonic_time now_{seconds(1000)};
  std::multimap<monotonic_time, std::function<void()>> events_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::unique_ptr<job>> jobs_;
  std::map<std::uint64_t, std::size_t> jobs_by_caller_;
  std::map<std::string, std::uint64_t> link_ids_;
  std::map<std::uint64_t, std::function<void(wire::entry_run_frame)>> links_;
  std::set<std::string> started_tasks_;
  std::set<std::string> done_tasks_;
  std::uint64_t last_process_ = 0;
  std::uint64_t last_caller_ = 0;
  std::size_t completed_jobs_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_TESTS_SYSTEM_MODEL_H_
