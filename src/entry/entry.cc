#include "egretrack/entry/entry.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "egretrack/base/control_loop.h"
#include "egretrack/base/file.h"
#include "egretrack/telemetry/log.h"
#include "entry/command_executor.h"
#include "entry/http_api.h"
#include "entry/key_sweeper.h"
#include "entry/settings_conversion.h"

namespace egretrack::entry {
namespace {

// Interval of the check whether a draining process has sent its last responses.
constexpr milliseconds kIdleCheckInterval{20};
constexpr seconds kSweepInterval{5};
// A forwarded answer may hold 1,200 results.
constexpr std::size_t kMaxForwardedBytes = 256U << 20U;

class entry_process_impl final : public entry_process {
 public:
  entry_process_impl(settings::entry_settings settings,
                     entry_addresses addresses)
      : settings_(std::move(settings)),
        addresses_(std::move(addresses)),
        incarnation_(NewIncarnation()),
        events_(settings_.mailbox_capacity),
        agent_transport_(events_),
        http_client_(net::http_client::Create(
            {.max_response_bytes = kMaxForwardedBytes})),
        table_(store::table_client::Create(addresses_.table,
                                           settings_.table_timeout)),
        forwarder_(events_, caller_registry_, *http_client_, addresses_.peers),
        config_watcher_(table_thread_,
                        *table_,
                        *http_client_,
                        PeerList(addresses_.peers),
                        settings_.config_poll,
                        [this](objects::configuration_ptr adopted) {
                          OnConfigurationAdopted(std::move(adopted));
                        }),
        config_publisher_(table_thread_,
                          *table_,
                          [this](std::uint64_t version, std::string document) {
                            config_watcher_.Offer(version, std::move(document));
                          }),
        key_binder_(
            table_thread_,
            *table_,
            2 * settings_.table_timeout,
            [this](decision::key_bound bound) {
              events_.PushRequired(decision::entry_event(std::move(bound)));
            }),
        key_sweeper_(table_thread_,
                     *table_,
                     kSweepInterval,
                     [this] { return KeyLifetime(); }),
        command_executor_({answer_thread_, caller_registry_, agent_transport_,
                           forwarder_, key_binder_, config_watcher_,
                           [this] { OnDrainFinished(); }}),
        http_api_({settings_.id, incarnation_, events_, caller_registry_,
                   config_watcher_, config_publisher_, ready_}) {}
  entry_process_impl(const entry_process_impl&) = delete;
  entry_process_impl& operator=(const entry_process_impl&) = delete;

  // Stops the threads before the objects that their tasks use are destroyed.
  ~entry_process_impl() override {
    http_server_.reset();
    if (control_loop_)
      control_loop_->Stop();
    command_thread_.Stop();
    answer_thread_.Stop();
    table_thread_.Stop();
    table_.reset();
    http_client_.reset();
  }

  result<void> Start() {
    auto core =
        decision::entry_core::Create(MakeCoreOptions(settings_, incarnation_));
    if (!core)
      return core.error();
    if (auto bound = agent_transport_.Bind(addresses_.agents); !bound)
      return bound;
    StartControl(std::move(*core));
    if (auto listening = Listen(); !listening)
      return listening;
    config_watcher_.Start();
    key_sweeper_.Start();
    return WritePorts();
  }

  void Drain() override {
    events_.PushRequired(decision::entry_event(decision::drain_entry{}));
  }

  void Wait() override {
    {
      std::unique_lock lock(mutex_);
      finished_.wait(lock, [this] { return drain_finished_; });
    }
    http_server_->Drain();
    while (!http_server_->idle())
      std::this_thread::sleep_for(kIdleCheckInterval);
    log_.Info("All callers have been answered.");
  }

 private:
  void StartControl(std::unique_ptr<decision::entry_core> core) {
    entry_control_ = std::make_unique<entry_control>(
        std::move(core), [this] { return agent_transport_.malformed_frames(); },
        ready_,
        [this](control_output output) { PostOutput(std::move(output)); });
    control_loop_ = std::make_unique<control_loop<control_event>>(
        events_, [this](std::span<control_event> batch, monotonic_time now) {
          return entry_control_->HandleBatch(batch, now);
        });
    control_loop_->Start();
  }

  void PostOutput(control_output output) {
    // Tasks must be copyable; the shared pointer avoids copies of the output,
    // which is large.
    const auto shared = std::make_shared<control_output>(std::move(output));
    command_thread_.Post(
        [this, shared] { command_executor_.Execute(std::move(*shared)); });
  }

  result<void> Listen() {
    auto server = net::http_server::Listen(
        addresses_.http, settings_.http_threads, {},
        [this](const net::http_exchange_ptr& exchange) {
          http_api_.Handle(exchange);
        });
    if (!server)
      return server.error();
    http_server_ = std::move(*server);
    return {};
  }

  result<void> WritePorts() {
    if (settings_.ports_file.empty())
      return {};
    const std::string text =
        "http = " + std::to_string(http_server_->local_address().port) +
        "\nagents = " + std::to_string(agent_transport_.local_address().port) +
        "\n";
    return ReplaceFile(settings_.ports_file, text);
  }

  void OnConfigurationAdopted(objects::configuration_ptr adopted) {
    events_.PushRequired(decision::entry_event(
        decision::configuration_received{std::move(adopted)}));
  }

  void OnDrainFinished() {
    const std::lock_guard lock(mutex_);
    drain_finished_ = true;
    finished_.notify_all();
  }

  // A row must outlive the record of its job, which is kept for the retention
  // time after the deadline. The factor 2 allows for differences between the
  // wall clocks of the entries.
  microseconds KeyLifetime() const {
    milliseconds max_record_age = settings_.retention;
    if (const auto configuration = config_watcher_.current()) {
      for (const objects::request_kind& kind : configuration->objects.kinds)
        max_record_age =
            std::max(max_record_age, settings_.retention + kind.max_deadline);
    }
    return 2 * max_record_age;
  }

  const settings::entry_settings settings_;
  const entry_addresses addresses_;
  const incarnation incarnation_;
  const telemetry::logger log_{"entry"};
  std::atomic<bool> ready_ = false;
  control_mailbox events_;
  caller_registry caller_registry_;
  traffic_thread table_thread_;
  traffic_thread command_thread_;
  traffic_thread answer_thread_;
  agent_transport agent_transport_;
  std::unique_ptr<net::http_client> http_client_;
  std::unique_ptr<store::table_client> table_;
  forwarder forwarder_;
  config_watcher config_watcher_;
  config_publisher config_publisher_;
  key_binder key_binder_;
  key_sweeper key_sweeper_;
  command_executor command_executor_;
  http_api http_api_;
  std::unique_ptr<entry_control> entry_control_;
  std::unique_ptr<control_loop<control_event>> control_loop_;
  std::unique_ptr<net::http_server> http_server_;

  std::mutex mutex_;
  std::condition_variable finished_;
  bool drain_finished_ = false;  // Guarded by `mutex_`.
};

}  // namespace

result<std::unique_ptr<entry_process>> entry_process::Start(
    const settings::entry_settings& settings) {
  auto addresses = ParseAddresses(settings);
  if (!addresses)
    return addresses.error();
  auto process =
      std::make_unique<entry_process_impl>(settings, std::move(*addresses));
  if (const auto started = process->Start(); !started)
    return started.error();
  return std::unique_ptr<entry_process>(std::move(process));
}

}  // namespace egretrack::entry
