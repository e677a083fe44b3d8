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

// While the last responses of a draining process are being sent.
constexpr milliseconds kIdleCheck{20};
constexpr seconds kSweepInterval{5};
// A forwarded answer may hold 1,200 results.
constexpr std::size_t kMaxForwardedBytes = 256U << 20U;

class entry_process_impl final : public entry_process {
 public:
  entry_process_impl(settings::entry_settings chosen, entry_addresses addresses)
      : settings_(std::move(chosen)),
        addresses_(std::move(addresses)),
        incarnation_(NewIncarnation()),
        events_(settings_.mailbox_capacity),
        agent_transport_(events_),
        http_(net::http_client::Create(
            {.max_response_bytes = kMaxForwardedBytes})),
        table_(store::table_client::Create(addresses_.table,
                                           settings_.table_timeout)),
        forwarder_(events_, waiting_, *http_, addresses_.peers),
        configuration_(table_thread_,
                       *table_,
                       *http_,
                       PeerList(addresses_.peers),
                       settings_.config_poll,
                       [this](objects::configuration_ptr adopted) {
                         OnAdopted(std::move(adopted));
                       }),
        publisher_(table_thread_,
                   *table_,
                   [this](std::uint64_t version, std::string document) {
                     configuration_.Offer(version, std::move(document));
                   }),
        keys_(table_thread_,
              *table_,
              2 * settings_.table_timeout,
              [this](decision::key_bound bound) {
                events_.PushRequired(decision::entry_event(std::move(bound)));
              }),
        sweeper_(table_thread_,
                 *table_,
                 kSweepInterval,
                 [this] { return KeyLifetime(); }),
        command_executor_({answer_thread_, waiting_, agent_transport_,
                           forwarder_, keys_, configuration_,
                           [this] { OnDrainFinished(); }}),
        http_api_({settings_.id, incarnation_, events_, waiting_,
                   configuration_, publisher_, ready_}) {}
  entry_process_impl(const entry_process_impl&) = delete;
  entry_process_impl& operator=(const entry_process_impl&) = delete;

  // The threads end before anything that their tasks use.
  ~entry_process_impl() override {
    server_.reset();
    if (loop_)
      loop_->Stop();
    command_thread_.Stop();
    answer_thread_.Stop();
    table_thread_.Stop();
    table_.reset();
    http_.reset();
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
    configuration_.Start();
    sweeper_.Start();
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
    server_->Drain();
    while (!server_->idle())
      std::this_thread::sleep_for(kIdleCheck);
    log_.Info("Every caller has its answer.");
  }

 private:
  void StartControl(std::unique_ptr<decision::entry_core> core) {
    control_ = std::make_unique<entry_control>(
        std::move(core), [this] { return agent_transport_.malformed_frames(); },
        ready_,
        [this](control_output output) { PostOutput(std::move(output)); });
    loop_ = std::make_unique<control_loop<control_event>>(
        events_, [this](std::span<control_event> batch, monotonic_time now) {
          return control_->HandleBatch(batch, now);
        });
    loop_->Start();
  }

  void PostOutput(control_output output) {
    // A task must be copyable; the output is large and is not copied.
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
    server_ = std::move(*server);
    return {};
  }

  result<void> WritePorts() {
    if (settings_.ports_file.empty())
      return {};
    const std::string text =
        "http = " + std::to_string(server_->local_address().port) +
        "\nagents = " + std::to_string(agent_transport_.local_address().port) +
        "\n";
    return ReplaceFile(settings_.ports_file, text);
  }

  void OnAdopted(objects::configuration_ptr adopted) {
    events_.PushRequired(decision::entry_event(
        decision::configuration_received{std::move(adopted)}));
  }

  void OnDrainFinished() {
    const std::lock_guard lock(mutex_);
    drain_finished_ = true;
    finished_.notify_all();
  }

  // A row must outlive the record of its job, which is kept for the retention
  // time after a deadline. Twice that leaves room for wall clocks that differ.
  microseconds KeyLifetime() const {
    milliseconds longest = settings_.retention;
    if (const auto held = configuration_.current()) {
      for (const objects::request_kind& kind : held->objects.kinds)
        longest = std::max(longest, settings_.retention + kind.max_deadline);
    }
    return 2 * longest;
  }

  const settings::entry_settings settings_;
  const entry_addresses addresses_;
  const incarnation incarnation_;
  const telemetry::logger log_{"entry"};
  std::atomic<bool> ready_ = false;
  control_mailbox events_;
  caller_registry waiting_;
  traffic_thread table_thread_;
  traffic_thread command_thread_;
  traffic_thread answer_thread_;
  agent_transport agent_transport_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<store::table_client> table_;
  forwarder forwarder_;
  config_watcher configuration_;
  config_publisher publisher_;
  key_binder keys_;
  key_sweeper sweeper_;
  command_executor command_executor_;
  http_api http_api_;
  std::unique_ptr<entry_control> control_;
  std::unique_ptr<control_loop<control_event>> loop_;
  std::unique_ptr<net::http_server> server_;

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
