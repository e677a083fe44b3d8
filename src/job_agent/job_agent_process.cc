#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "egretrack/base/control_loop.h"
#include "egretrack/base/file.h"
#include "egretrack/job_agent/job_agent.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"
#include "egretrack/net/traffic_guard.h"
#include "egretrack/scheduler/deployment_limits.h"
#include "egretrack/wire/run_codec.h"
#include "job_agent/job_agent_control.h"
#include "job_agent/worker_client.h"
#include "platform/store_client.h"
#include "platform/worker_api.h"

namespace egretrack::job_agent {
namespace {

constexpr unsigned kHttpThreads = 1;
constexpr std::size_t kMaxRequestBytes = 65536;
constexpr std::uint32_t kMaxHeaderBytes = 16384;
constexpr std::size_t kMaxInternalBodyBytes = 4096;
constexpr std::size_t kMaxConnections = 32;
constexpr milliseconds kHeaderTimeout{4000};
// All tasks of a job may come in one frame: 1,200 with 4,000 bytes each. As at
// an entry, an agent without processor time must not reach the limit of frames.
constexpr net::frame_limits kFrameLimits{.frame_bytes = 8U << 20U,
                                         .received_frames = 512,
                                         .sent_frames = 1024,
                                         .queued_bytes = 8U << 20U};
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;
// Time for a drained process to send its last frames and responses.
constexpr milliseconds kDrainFlushDelay{100};

// Uses only the hosts of the seeds. All entries listen for agents on the same
// port.
std::vector<wire::entry_member> SeedMembers(
    const settings::job_agent_settings& settings) {
  std::vector<wire::entry_member> members;
  for (const std::string& seed : settings.seeds) {
    if (const auto address = net::tcp_address::Parse(seed)) {
      members.push_back(
          {"",
           net::tcp_address{address->host, settings.entry_port}.ToString()});
    }
  }
  return members;
}

// The current time in milliseconds, which exceeds the tokens of earlier
// incarnations unless the clock was set back. The supervisor raises a token
// that the worker refuses.
std::uint64_t FirstFence() {
  const auto elapsed = WallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(elapsed).count());
}

scheduler::supervisor_options ToOptions(
    const settings::job_agent_settings& settings) {
  scheduler::supervisor_options options;
  options.agent = settings.id;
  options.agent_incarnation = NewIncarnation();
  options.failure_domain = settings.failure_domain;
  options.first_fence = FirstFence();
  options.entry_silence = settings.entry_silence;
  options.lease = settings.lease;
  options.renew_interval = settings.renew_interval;
  options.drain_bound = settings.drain_bound;
  ApplyLimits(scheduler::deployment_limits::Create(settings.longest_lease_ms,
                                                   settings.resubmit_after_ms,
                                                   settings.stop_grace_s),
              options);
  return options;
}

class process final : public job_agent_process {
 public:
  explicit process(settings::job_agent_settings settings)
      : settings_(std::move(settings)),
        events_(settings_.mailbox_capacity),
        guard_(std::make_shared<net::traffic_guard>(
            net::BudgetOfMachine(settings_.memory_mb, settings_.max_fds))) {}
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Stops the traffic threads and the control thread before the objects they
  // use.
  ~process() override {
    if (loop_)
      loop_->Stop();
    reports_server_.reset();
    internal_server_.reset();
    worker_.reset();
    dealer_.reset();
    store_.reset();
    control_.reset();
  }

  result<void> Begin() {
    const auto store = net::tcp_address::Parse(settings_.store);
    if (!store)
      return store.error();
    store_ = platform::store_client::Create(*store, settings_.store_timeout);
    auto core = scheduler::run_supervisor::Create(ToOptions(settings_));
    if (!core)
      return core.error();
    auto dealer = net::frame_dealer::Create(
        {},
        [this](std::uint32_t link, std::span<const std::byte> bytes) {
          OnFrame(link, bytes);
        },
        kFrameLimits);
    if (!dealer)
      return dealer.error();
    dealer_ = std::move(*dealer);
    worker_ = std::make_unique<worker_client>(
        [this](scheduler::supervisor_event event) {
          events_.PushRequired(std::move(event));
        });
    StartControl(std::move(*core));
    if (auto listening = Listen(); !listening)
      return listening;
    return WritePortsFile();
  }

  void Drain() override {
    events_.PushRequired(
        scheduler::supervisor_event(scheduler::agent_drain_requested{}));
  }

  void Reload(const settings::job_agent_settings& settings) override {
    events_.PushRequired(seeds_changed{SeedMembers(settings)});
  }

  void Wait() override {
    std::unique_lock lock(mutex_);
    drained_changed_.wait(lock, [this] { return drained_; });
    drained_changed_.wait_for(lock, kDrainFlushDelay, [] { return false; });
  }

 private:
  void StartControl(std::unique_ptr<scheduler::run_supervisor> core) {
    control_ = std::make_unique<job_agent_control>(
        std::move(core),
        control_dependencies{settings_.id, events_, *store_, *dealer_, *worker_,
                             traffic_, *guard_, [this] { OnDrained(); }});
    events_.PushRequired(scheduler::supervisor_event(
        scheduler::entries_discovered{SeedMembers(settings_)}));
    loop_ = std::make_unique<control_loop<control_event>>(
        events_, [this](std::span<control_event> batch, monotonic_time now) {
          return control_->OnBatch(batch, now);
        });
    loop_->Start();
  }

  result<void> Listen() {
    const auto reports = net::tcp_address::Parse(settings_.reports);
    if (!reports)
      return reports.error();
    const auto internal = net::tcp_address::Parse(settings_.internal);
    if (!internal)
      return internal.error();
    net::http_limits limits;
    limits.body_bytes = kMaxRequestBytes;
    limits.header_bytes = kMaxHeaderBytes;
    limits.header_timeout = kHeaderTimeout;
    limits.connections = kMaxConnections;
    limits.guard = guard_;
    auto reports_server = net::http_server::Listen(
        *reports, kHttpThreads, limits,
        [this](const net::http_exchange_ptr& exchange) {
          OnWorkerRequest(exchange);
        });
    if (!reports_server)
      return reports_server.error();
    reports_server_ = std::move(*reports_server);
    limits.body_bytes = kMaxInternalBodyBytes;
    auto internal_server =
        net::http_server::Listen(*internal, kHttpThreads, limits,
                                 [this](net::http_exchange_ptr exchange) {
                                   OnInternalRequest(std::move(exchange));
                                 });
    if (!internal_server)
      return internal_server.error();
    internal_server_ = std::move(*internal_server);
    return {};
  }

  result<void> WritePortsFile() const {
    if (settings_.ports_file.empty())
      return {};
    return ReplaceFile(
        settings_.ports_file,
        "reports = " + std::to_string(reports_server_->local_address().port) +
            "\ninternal = " +
            std::to_string(internal_server_->local_address().port) + "\n");
  }

  // Acknowledges a report only after it was queued, so that the control thread
  // handles it before any later event.
  void OnWorkerRequest(const net::http_exchange_ptr& exchange) {
    auto decoded = platform::DecodeRequestFromWorker(exchange->request());
    if (!decoded) {
      ++traffic_.bad_reports;
      const bool unknown = decoded.error().code == errc::kNotFound;
      return exchange->Respond({unknown ? kNotFound : kBadRequest, {}, ""});
    }
    const bool pushed = events_.TryPush(std::move(*decoded));
    exchange->Respond({pushed ? kOk : kServiceUnavailable,
                       {{"Content-Type", "application/json"}},
                       "{}"});
  }

  void OnInternalRequest(net::http_exchange_ptr exchange) {
    if (exchange->request().path() != "/metrics")
      return exchange->Respond({kNotFound, {}, ""});
    // If the mailbox is full, dropping the exchange sends a response.
    static_cast<void>(events_.TryPush(metrics_request{std::move(exchange)}));
  }

  // A malformed frame is dropped. The entry recovers from the loss through its
  // timeouts.
  void OnFrame(std::uint32_t link, std::span<const std::byte> bytes) {
    auto frame = wire::DecodeEntryRunFrame(bytes);
    if (!frame) {
      ++traffic_.malformed_frames;
      return;
    }
    events_.PushRequired(scheduler::supervisor_event(
        scheduler::entry_frame{link, std::move(*frame)}));
  }

  void OnDrained() {
    const std::lock_guard lock(mutex_);
    drained_ = true;
    drained_changed_.notify_all();
  }

  const settings::job_agent_settings settings_;
  control_mailbox events_;
  traffic_counters traffic_;
  const std::shared_ptr<net::traffic_guard> guard_;
  std::unique_ptr<platform::store_client> store_;
  std::unique_ptr<net::frame_dealer> dealer_;
  std::unique_ptr<worker_client> worker_;
  std::unique_ptr<job_agent_control> control_;
  std::unique_ptr<control_loop<control_event>> loop_;
  std::unique_ptr<net::http_server> reports_server_;
  std::unique_ptr<net::http_server> internal_server_;

  std::mutex mutex_;
  std::condition_variable drained_changed_;
  bool drained_ = false;  // Guarded by mutex_.
};

}  // namespace

result<std::unique_ptr<job_agent_process>> job_agent_process::Start(
    const settings::job_agent_settings& settings) {
  auto started = std::make_unique<process>(settings);
  if (auto started_up = started->Begin(); !started_up)
    return started_up.error();
  return std::unique_ptr<job_agent_process>(std::move(started));
}

}  // namespace egretrack::job_agent
