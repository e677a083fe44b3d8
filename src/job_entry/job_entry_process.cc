#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "egretrack/base/control_loop.h"
#include "egretrack/base/file.h"
#include "egretrack/job_entry/job_entry.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"
#include "egretrack/net/traffic_guard.h"
#include "egretrack/scheduler/deployment_limits.h"
#include "egretrack/wire/run_codec.h"
#include "job_entry/job_entry_control.h"
#include "platform/job_api.h"
#include "platform/store_client.h"

namespace egretrack::job_entry {
namespace {

constexpr unsigned kHttpThreads = 1;
// The load balancer, other entries and operators open few connections and send
// no bodies.
constexpr std::size_t kMaxInternalConnections = 64;
constexpr std::size_t kMaxJobBodyBytes = 262144;  // Of a job submission.
constexpr std::uint32_t kMaxHeaderBytes = 16384;
// Probes, other entries and operators send a few headers and no body.
constexpr std::size_t kMaxInternalBodyBytes = 4096;
constexpr std::uint32_t kMaxInternalHeaderBytes = 8192;
// Callers are promised 3 s for the header.
constexpr milliseconds kHeaderTimeout{4000};
// A frame of an agent lists the ends of runs of one entry, at some 100 bytes
// each and 500 at most. An entry that gets no processor time for seconds must
// not reach the limit of received frames: libzmq 4.3.4 aborts the process when
// a connection fails whose input it has stopped for that limit.
constexpr net::frame_limits kFrameLimits{.frame_bytes = 128U << 10U,
                                         .received_frames = 512,
                                         .sent_frames = 1024,
                                         .queued_bytes = 32U << 20U};
// The configuration of another entry.
constexpr std::size_t kMaxPeerResponseBytes = 4U << 20U;
// Share of the machine's memory that live jobs may take.
constexpr std::size_t kJobMemoryShare = 4;
// Longest wait of a drained process for its last responses to be sent.
constexpr milliseconds kFinalResponsesTimeout{500};
constexpr milliseconds kIdlePollInterval{20};
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;

struct addresses {
  net::tcp_address jobs;
  net::tcp_address readiness;
  net::tcp_address agents;
  net::tcp_address internal;
  net::tcp_address store;
};

result<addresses> ParseAddresses(const settings::job_entry_settings& from) {
  addresses parsed;
  struct address_field {
    const std::string& text;
    net::tcp_address& address;
  };
  const address_field fields[] = {{from.jobs, parsed.jobs},
                                  {from.readiness, parsed.readiness},
                                  {from.agents, parsed.agents},
                                  {from.internal, parsed.internal},
                                  {from.store, parsed.store}};
  for (const address_field& each : fields) {
    auto address = net::tcp_address::Parse(each.text);
    if (!address)
      return address.error();
    each.address = std::move(*address);
  }
  return parsed;
}

std::vector<std::string> HostsOf(std::span<const std::string> seeds) {
  std::vector<std::string> hosts;
  for (const std::string& seed : seeds) {
    if (const auto address = net::tcp_address::Parse(seed))
      hosts.push_back(address->host);
  }
  return hosts;
}

scheduler::scheduler_options ToOptions(
    const settings::job_entry_settings& settings) {
  scheduler::scheduler_options options;
  options.entry = settings.id;
  options.entry_incarnation = NewIncarnation();
  options.failure_domain = settings.failure_domain;
  options.max_jobs = settings.max_jobs;
  options.max_job_bytes = (settings.memory_mb << 20U) / kJobMemoryShare;
  options.drain_grace = settings.drain_grace;
  options.drain_bound = settings.drain_bound;
  options.drain_end = settings.drain_end;
  options.far_run_time_factor = settings.far_run_time_factor;
  ApplyLimits(scheduler::deployment_limits::Create(
                  0, settings.resubmit_after_ms, settings.stop_grace_s),
              options);
  return options;
}

class process final : public job_entry_process {
 public:
  process(settings::job_entry_settings settings, addresses listen)
      : settings_(std::move(settings)),
        addresses_(std::move(listen)),
        events_(settings_.mailbox_capacity),
        store_(platform::store_client::Create(addresses_.store,
                                              settings_.store_timeout)),
        guard_(std::make_shared<net::traffic_guard>(
            net::BudgetOfMachine(settings_.memory_mb, settings_.max_fds))),
        peers_(net::http_client::Create(
            {.connections_per_address = 1,
             .max_response_bytes = kMaxPeerResponseBytes,
             .max_header_bytes = kMaxHeaderBytes,
             .end_silent_calls = true})) {}
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  // Stops the control thread and the traffic threads before the objects that
  // they use are destroyed.
  ~process() override {
    if (loop_)
      loop_->Stop();
    jobs_server_.reset();
    readiness_server_.reset();
    internal_server_.reset();
    agents_.reset();
    store_.reset();
    peers_.reset();
    control_.reset();
  }

  result<void> Begin() {
    auto core = scheduler::job_scheduler::Create(ToOptions(settings_));
    if (!core)
      return core.error();
    if (auto bound = BindAgents(); !bound)
      return bound;
    if (auto listening = ListenHttp(); !listening)
      return listening;
    StartControl(std::move(*core));
    return WritePortsFile();
  }

  void Drain() override {
    jobs_server_->DisableKeepAlive();
    events_.PushRequired(
        scheduler::scheduler_event(scheduler::drain_requested{}));
  }

  void Reload(const settings::job_entry_settings& settings) override {
    events_.PushRequired(seeds_changed{HostsOf(settings.seeds)});
  }

  void Wait() override {
    {
      std::unique_lock lock(mutex_);
      drained_changed_.wait(lock, [this] { return drained_; });
    }
    const monotonic_time deadline =
        monotonic_clock::now() + kFinalResponsesTimeout;
    while (!jobs_server_->idle() && monotonic_clock::now() < deadline)
      std::this_thread::sleep_for(kIdlePollInterval);
  }

 private:
  result<void> BindAgents() {
    auto bound = net::frame_router::Bind(
        addresses_.agents,
        [this](net::peer_id peer, std::span<const std::byte> bytes) {
          OnFrame(peer, bytes);
        },
        kFrameLimits);
    if (!bound)
      return bound.error();
    agents_ = std::move(*bound);
    return {};
  }

  void StartControl(std::unique_ptr<scheduler::job_scheduler> core) {
    control_ = std::make_unique<job_entry_control>(
        std::move(core),
        control_dependencies{
            .self = {settings_.id, settings_.advertised.empty()
                                       ? agents_->local_address().ToString()
                                       : settings_.advertised},
            .internal_port = addresses_.internal.port,
            .events = events_,
            .store = *store_,
            .peers = *peers_,
            .agents = *agents_,
            .traffic = traffic_,
            .guard = *guard_,
            .ready = ready_,
            .open_front = [this] { return jobs_server_->StartAccepting(); },
            .close_front = [this] { jobs_server_->Drain(); },
            .on_drained = [this] { OnDrained(); },
            .store_watch = settings_.store_watch,
            .seed_hosts = HostsOf(settings_.seeds)});
    loop_ = std::make_unique<control_loop<control_event>>(
        events_, [this](std::span<control_event> batch, monotonic_time now) {
          return control_->OnBatch(batch, now);
        });
    loop_->Start();
  }

  result<void> ListenHttp() {
    net::http_limits limits;
    limits.connections = kMaxInternalConnections;
    limits.body_bytes = kMaxInternalBodyBytes;
    limits.header_bytes = kMaxInternalHeaderBytes;
    limits.header_timeout = kHeaderTimeout;
    limits.guard = guard_;
    auto internal =
        net::http_server::Listen(addresses_.internal, kHttpThreads, limits,
                                 [this](net::http_exchange_ptr exchange) {
                                   OnInternalRequest(std::move(exchange));
                                 });
    if (!internal)
      return internal.error();
    internal_server_ = std::move(*internal);
    auto readiness = net::http_server::Listen(
        addresses_.readiness, kHttpThreads, limits,
        [this](const net::http_exchange_ptr& exchange) {
          exchange->Respond(platform::EncodeReadiness(ready_));
        });
    if (!readiness)
      return readiness.error();
    readiness_server_ = std::move(*readiness);
    limits.connections = settings_.connections;
    limits.body_bytes = kMaxJobBodyBytes;
    limits.header_bytes = kMaxHeaderBytes;
    auto jobs =
        net::http_server::Bind(addresses_.jobs, kHttpThreads, limits,
                               [this](const net::http_exchange_ptr& exchange) {
                                 OnJobRequest(exchange);
                               });
    if (!jobs)
      return jobs.error();
    jobs_server_ = std::move(*jobs);
    return {};
  }

  result<void> WritePortsFile() const {
    if (settings_.ports_file.empty())
      return {};
    const auto line = [](std::string_view name, std::uint16_t port) {
      return std::string(name) + " = " + std::to_string(port) + "\n";
    };
    return ReplaceFile(
        settings_.ports_file,
        line("jobs", jobs_server_->local_address().port) +
            line("readiness", readiness_server_->local_address().port) +
            line("agents", agents_->local_address().port) +
            line("internal", internal_server_->local_address().port));
  }

  void OnJobRequest(const net::http_exchange_ptr& exchange) {
    const scheduler::caller_token caller{++last_caller_};
    auto decoded = platform::DecodeJobRequest(exchange->request(), caller);
    if (!decoded) {
      ++traffic_.bad_requests;
      exchange->Respond(platform::EncodeBadRequest(decoded.error()));
      return;
    }
    if (auto* job = std::get_if<scheduler::job_submission>(&*decoded)) {
      // The caller may have submitted the job to another entry since it left.
      if (exchange->was_disconnected()) {
        ++traffic_.abandoned_requests;
        return exchange->Abort();
      }
      job->caller_seen_at = exchange->connection_checked_at();
      job->sent_after = exchange->sent_after();
    }
    caller_request request{caller, exchange, std::move(*decoded)};
    if (!events_.TryPush(std::move(request))) {
      ++traffic_.dropped_requests;
      exchange->Respond({kServiceUnavailable, {{"Retry-After", "1"}}, ""});
      return;
    }
    exchange->OnDisconnect([this, caller] {
      events_.PushRequired(
          scheduler::scheduler_event(scheduler::caller_disconnected{caller}));
    });
  }

  void OnInternalRequest(net::http_exchange_ptr exchange) {
    const std::string_view path = exchange->request().path();
    if (path == kCancelPath)
      return OnForwardedCancellation(std::move(exchange));
    internal_request request;
    if (path == "/metrics")
      request.query = internal_query::kMetrics;
    else if (path == "/v1/configuration")
      request.query = internal_query::kConfiguration;
    else if (path == "/v1/evacuations")
      request.query = internal_query::kEvacuations;
    else
      return exchange->Respond({kNotFound, {}, ""});
    request.exchange = std::move(exchange);
    // If the mailbox is full, the exchange is destroyed, which sends a
    // response.
    static_cast<void>(events_.TryPush(std::move(request)));
  }

  void OnForwardedCancellation(net::http_exchange_ptr exchange) {
    const net::http_request& request = exchange->request();
    const scheduler::caller_token caller{++last_caller_};
    scheduler::job_cancellation cancellation{caller, request.Query("host"),
                                             request.Query("path"), true};
    // If the mailbox is full, dropping the exchange sends a response.
    static_cast<void>(events_.TryPush(
        caller_request{caller, std::move(exchange), std::move(cancellation)}));
  }

  // A malformed frame is dropped; the agent's next heartbeat and the deadlines
  // of jobs make up for a lost frame.
  void OnFrame(net::peer_id peer, std::span<const std::byte> bytes) {
    auto frame = wire::DecodeAgentRunFrame(bytes);
    if (!frame) {
      ++traffic_.malformed_frames;
      return;
    }
    const scheduler::link_id link{static_cast<std::uint64_t>(peer)};
    events_.PushRequired(scheduler::scheduler_event(
        scheduler::agent_frame{link, std::move(*frame)}));
  }

  void OnDrained() {
    const std::lock_guard lock(mutex_);
    drained_ = true;
    drained_changed_.notify_all();
  }

  const settings::job_entry_settings settings_;
  const addresses addresses_;
  control_mailbox events_;
  traffic_counters traffic_;
  std::atomic<bool> ready_ = false;
  std::atomic<std::uint64_t> last_caller_ = 0;
  std::unique_ptr<platform::store_client> store_;
  const std::shared_ptr<net::traffic_guard> guard_;
  std::unique_ptr<net::http_client> peers_;
  std::unique_ptr<net::frame_router> agents_;
  std::unique_ptr<job_entry_control> control_;
  std::unique_ptr<control_loop<control_event>> loop_;
  std::unique_ptr<net::http_server> internal_server_;
  std::unique_ptr<net::http_server> readiness_server_;
  std::unique_ptr<net::http_server> jobs_server_;

  std::mutex mutex_;
  std::condition_variable drained_changed_;
  bool drained_ = false;  // Guarded by mutex_.
};

}  // namespace

result<std::unique_ptr<job_entry_process>> job_entry_process::Start(
    const settings::job_entry_settings& settings) {
  auto parsed = ParseAddresses(settings);
  if (!parsed)
    return parsed.error();
  auto started = std::make_unique<process>(settings, std::move(*parsed));
  if (auto begun = started->Begin(); !begun)
    return begun.error();
  return std::unique_ptr<job_entry_process>(std::move(started));
}

}  // namespace egretrack::job_entry
