#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "agent/agent_control.h"
#include "agent/agent_event.h"
#include "agent/agent_http.h"
#include "agent/endpoint_client.h"
#include "egretrack/agent/agent.h"
#include "egretrack/base/control_loop.h"
#include "egretrack/base/file.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"
#include "egretrack/telemetry/log.h"
#include "egretrack/wire/codec.h"

namespace egretrack::agent {
namespace {

constexpr unsigned kHttpThreads = 1;
constexpr std::size_t kMaxRequestBytes = 65536;
// Time allowed after the drain for writing outstanding HTTP responses.
constexpr milliseconds kResponseTimeout{500};
constexpr milliseconds kResponsePollInterval{10};

decision::agent_options ToOptions(const settings::agent_settings& settings) {
  decision::agent_options options;
  options.agent = settings.id;
  options.agent_incarnation = NewIncarnation();
  options.failure_domain = settings.failure_domain;
  options.entries = static_cast<std::uint32_t>(settings.entries.size());
  options.slots = settings.slots;
  options.overcommit = settings.overcommit;
  options.credit_floor = settings.credit_floor;
  options.push = settings.push;
  options.retention = settings.retention;
  options.max_records = settings.max_records;
  options.heartbeat_interval = settings.heartbeat_interval;
  options.reconnect_after = settings.reconnect_after;
  options.credit_lease = settings.credit_lease;
  options.announcement_lease = settings.announcement_lease;
  return options;
}

result<std::vector<net::tcp_address>> ParseAddresses(
    std::span<const std::string> texts) {
  std::vector<net::tcp_address> addresses;
  for (const std::string& text : texts) {
    auto parsed = net::tcp_address::Parse(text);
    if (!parsed)
      return parsed.error();
    addresses.push_back(std::move(*parsed));
  }
  return addresses;
}

class process final : public agent_process {
 public:
  explicit process(const settings::agent_settings& settings)
      : events_(settings.mailbox_capacity), http_(events_), log_("agent") {}

  // Stops the threads before the objects that they use are destroyed.
  ~process() override {
    if (loop_)
      loop_->Stop();
    control_.reset();  // Its pending exchanges refer to the server.
    server_.reset();
    endpoint_client_.reset();
    dealer_.reset();
  }

  result<void> Begin(const settings::agent_settings& settings);

  void Drain() override {
    events_.PushRequired(decision::agent_event(decision::agent_drain{}));
  }
  void Wait() override;

 private:
  result<void> ConnectToEntries(const settings::agent_settings& settings);
  result<void> Listen(const settings::agent_settings& settings);
  result<void> WritePortsFile(const settings::agent_settings& settings) const;
  void CreateEndpointClient(const settings::agent_settings& settings);
  void OnFrame(std::uint32_t link, std::span<const std::byte> bytes);
  void OnDrained();

  control_mailbox events_;
  traffic_counters traffic_;
  agent_http http_;
  const telemetry::logger log_;
  std::unique_ptr<net::frame_dealer> dealer_;
  std::unique_ptr<endpoint_client> endpoint_client_;
  std::unique_ptr<net::http_server> server_;
  std::unique_ptr<agent_control> control_;
  std::unique_ptr<control_loop<control_event>> loop_;

  std::mutex mutex_;
  std::condition_variable drained_changed_;
  bool drained_ = false;  // Guarded by mutex_.
};

result<void> process::Begin(const settings::agent_settings& settings) {
  auto core = decision::agent_core::Create(ToOptions(settings));
  if (!core)
    return core.error();
  if (auto connected = ConnectToEntries(settings); !connected)
    return connected;
  CreateEndpointClient(settings);
  if (auto listening = Listen(settings); !listening)
    return listening;
  control_ = std::make_unique<agent_control>(
      std::move(*core), *dealer_, settings.entries.size(), *endpoint_client_,
      traffic_, [this] { OnDrained(); });
  loop_ = std::make_unique<control_loop<control_event>>(
      events_, [this](std::span<control_event> batch, monotonic_time now) {
        return control_->OnBatch(batch, now);
      });
  loop_->Start();
  return WritePortsFile(settings);
}

result<void> process::ConnectToEntries(
    const settings::agent_settings& settings) {
  const auto addresses = ParseAddresses(settings.entries);
  if (!addresses)
    return addresses.error();
  auto dealer = net::frame_dealer::Create(
      *addresses, [this](std::uint32_t link, std::span<const std::byte> bytes) {
        OnFrame(link, bytes);
      });
  if (!dealer)
    return dealer.error();
  dealer_ = std::move(*dealer);
  return {};
}

void process::CreateEndpointClient(const settings::agent_settings& settings) {
  net::client_options options;
  options.connections_per_address = settings.connections;
  // PushRequired() ignores the mailbox capacity; the number of these events is
  // bounded by the number of accepted tasks.
  endpoint_client_ = std::make_unique<endpoint_client>(
      net::http_client::Create(options), settings.task_timeout,
      [this](decision::task_ended ended) {
        events_.PushRequired(decision::agent_event(std::move(ended)));
      });
}

result<void> process::Listen(const settings::agent_settings& settings) {
  const auto address = net::tcp_address::Parse(settings.http);
  if (!address)
    return address.error();
  net::http_limits limits;
  limits.body_bytes = kMaxRequestBytes;
  auto server =
      net::http_server::Listen(*address, kHttpThreads, limits,
                               [this](const net::http_exchange_ptr& exchange) {
                                 http_.Handle(exchange);
                               });
  if (!server)
    return server.error();
  server_ = std::move(*server);
  log_.Info("Listening on " + server_->local_address().ToString() + ".");
  return {};
}

result<void> process::WritePortsFile(
    const settings::agent_settings& settings) const {
  if (settings.ports_file.empty())
    return {};
  const auto port = std::to_string(server_->local_address().port);
  return ReplaceFile(settings.ports_file, "http = " + port + "\n");
}

// Dropping a frame is safe: the entry queries the state of its unanswered
// dispatches.
void process::OnFrame(std::uint32_t link, std::span<const std::byte> bytes) {
  auto frame = wire::DecodeEntryFrame(bytes);
  if (!frame) {
    ++traffic_.malformed_frames;
    return;
  }
  decision::entry_frame_received received{link, std::move(*frame)};
  if (!events_.TryPush(decision::agent_event(std::move(received))))
    ++traffic_.dropped_frames;
}

void process::OnDrained() {
  const std::lock_guard lock(mutex_);
  drained_ = true;
  drained_changed_.notify_all();
}

void process::Wait() {
  {
    std::unique_lock lock(mutex_);
    drained_changed_.wait(lock, [this] { return drained_; });
  }
  server_->Drain();
  const monotonic_time deadline = monotonic_clock::now() + kResponseTimeout;
  while (!server_->idle() && monotonic_clock::now() < deadline)
    std::this_thread::sleep_for(kResponsePollInterval);
}

}  // namespace

result<std::unique_ptr<agent_process>> agent_process::Start(
    const settings::agent_settings& settings) {
  auto started = std::make_unique<process>(settings);
  if (auto begun = started->Begin(settings); !begun)
    return begun.error();
  return started;
}

}  // namespace egretrack::agent
