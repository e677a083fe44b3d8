#ifndef REVIEW_THIRD_DEPLOYMENT_H_
#define REVIEW_THIRD_DEPLOYMENT_H_

#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "http.h"
#include "record.h"
#include "store_standin.h"
#include "worker_standin.h"

namespace review {

// Bounds of the site turni-gas that the cases use.
inline constexpr milliseconds kCancelBound{3000};
inline constexpr milliseconds kConfigApplyBound{2000};
// Added to the bounds, for the time between a bound and its observation.
inline constexpr milliseconds kSlack{500};

struct answer {
  response result;
  steady::time_point at;
};

// A small deployment: the platform's store, machines for entries, machines
// with an agent and a worker each. Every machine has a loopback address of its
// own, and ports are the same on all machines.
class deployment {
 public:
  // `folder` takes settings and logs of the processes.
  deployment(std::string folder, record& log);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Both start the process; an entry gets its settings' seeds from the entries
  // known by then. The entry's links to all others pass relays if `relayed`.
  void AddEntry(const std::string& id, bool relayed = false);
  void AddWorker(const std::string& id,
                 milliseconds work,
                 const std::string& label = "a");
  // Starts the worker again under its id, after a crash.
  void RestartWorker(const std::string& id);
  // Ends the worker without notice. Another one, of another kind, takes its
  // place on the machine.
  void ReplaceWorker(const std::string& id,
                     const std::string& new_id,
                     const std::string& label);
  // Stops the process of an entry, or lets it go on.
  void Freeze(const std::string& entry, bool frozen);
  // Cuts a relayed entry off from all others, or ends the cut.
  void Cut(const std::string& entry, bool cut);
  // Waits until callers can use all entries; ends the program with 2 if not.
  void WaitUntilReady();

  // Writes a configuration with the given queues.
  void Configure(int version, const std::vector<std::string>& queues);

  // Opens a caller's connection to an entry, for Send().
  int Open(const std::string& entry) const;
  // Sends a request and records it with its answer.
  answer Send(const std::string& entry,
              const std::string& method,
              const std::string& queue,
              const std::string& job,
              const std::string& body,
              milliseconds deadline,
              int connection = -1);
  std::future<answer> SendAsync(const std::string& entry,
                                const std::string& method,
                                const std::string& queue,
                                const std::string& job,
                                const std::string& body,
                                milliseconds deadline,
                                int connection = -1);

  start_list& starts() { return starts_; }
  worker_standin& worker(const std::string& id) { return *workers_.at(id); }
  // True while all processes of the project run.
  bool AllRunning() const;

 private:
  struct entry_machine {
    address jobs;   // For callers.
    address ready;  // Not relayed.
    std::vector<std::unique_ptr<relay>> relays;
  };

  std::string NextHost();
  address At(const std::string& host, int port_offset) const;
  std::string Seeds() const;
  void StartProcess(const std::string& id, const std::string& settings);

  const std::string folder_;
  record& log_;
  start_list starts_;
  const int base_port_;
  const std::string network_;  // First three numbers of the addresses.
  int hosts_ = 0;
  std::unique_ptr<store_standin> store_;
  address store_address_;
  std::vector<std::string> seed_hosts_;
  std::map<std::string, entry_machine> entries_;
  std::map<std::string, worker_options> worker_options_;
  std::map<std::string, std::unique_ptr<worker_standin>> workers_;
  std::map<std::string, pid_t> processes_;
};

// One step of tasks.
std::string Tasks(int count, milliseconds estimate);

// A chain of steps with one task each; every step waits for the one before.
std::string ChainOfTasks(int steps, milliseconds estimate);

// Tasks that may run only on workers with the label.
std::string TasksWithLabel(int count,
                           milliseconds estimate,
                           const std::string& label);

}  // namespace review

#endif  // REVIEW_THIRD_DEPLOYMENT_H_
