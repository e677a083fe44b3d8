#include "entry/config_watcher.h"

#include <utility>

#include "egretrack/objects/check.h"

namespace egretrack::entry {
namespace {

constexpr milliseconds kPeerTimeout{1000};
constexpr unsigned kOk = 200;

}  // namespace

config_watcher::config_watcher(traffic_thread& thread,
                               store::table_client& table,
                               net::http_client& http,
                               std::vector<net::tcp_address> peers,
                               milliseconds interval,
                               on_adopted callback)
    : thread_(thread),
      table_(table),
      http_(http),
      peers_(std::move(peers)),
      interval_(interval),
      on_adopted_(std::move(callback)) {}

void config_watcher::Start() {
  thread_.Post([this] { Poll(); });
}

void config_watcher::Offer(std::uint64_t version, std::string document) {
  thread_.Post([this, version, document = std::move(document)] {
    Adopt(version, document);
  });
}

objects::configuration_ptr config_watcher::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::uint64_t config_watcher::current_version() const {
  const auto configuration = current();
  return configuration ? configuration->version : 0;
}

void config_watcher::Poll() {
  table_.Read(
      kConfigTable, kVersionKey,
      [this](result<std::optional<store::row>> found) {
        thread_.Post([this, found = std::move(found)] { OnVersionRow(found); });
      });
}

void config_watcher::PollLater() {
  thread_.PostAfter(interval_, [this] { Poll(); });
}

void config_watcher::OnVersionRow(
    const result<std::optional<store::row>>& found) {
  if (!found)
    return PollPeer();
  if (!*found)
    return PollLater();
  const auto record = DecodeRecord((*found)->value);
  if (!record) {
    log_.Warn("The version row of the configuration cannot be decoded.");
    return PollLater();
  }
  if (record->version <= current_version())
    return PollLater();
  ReadDocument(record->version);
}

void config_watcher::ReadDocument(std::uint64_t version) {
  table_.Read(kHistoryTable, HistoryKey(version),
              [this](result<std::optional<store::row>> found) {
                thread_.Post(
                    [this, found = std::move(found)] { OnDocumentRow(found); });
              });
}

void config_watcher::OnDocumentRow(
    const result<std::optional<store::row>>& found) {
  if (found && *found)
    AdoptRecord((*found)->value);
  PollLater();
}

void config_watcher::PollPeer() {
  if (peers_.empty())
    return PollLater();
  const net::tcp_address& peer = peers_[next_peer_++ % peers_.size()];
  http_.Call(
      peer, {"GET", "/v1/config", {}, {}}, kPeerTimeout,
      [this](net::http_reply reply) {
        thread_.Post([this, reply = std::move(reply)] { OnPeerReply(reply); });
      });
}

void config_watcher::OnPeerReply(const net::http_reply& reply) {
  if (reply.ok && reply.response.status == kOk)
    AdoptRecord(reply.response.body);
  PollLater();
}

void config_watcher::AdoptRecord(std::string_view text) {
  const auto record = DecodeRecord(text);
  if (!record)
    return log_.Warn("A configuration record cannot be decoded.");
  Adopt(record->version, record->document);
}

void config_watcher::Adopt(std::uint64_t version, std::string_view document) {
  if (version <= this->current_version())
    return;
  auto loaded = objects::LoadConfiguration(version, document);
  if (!loaded) {
    return log_.Warn("Version " + std::to_string(version) +
                     " is not valid: " + loaded.error().ToString() + ".");
  }
  {
    const std::lock_guard lock(mutex_);
    current_ = *loaded;
  }
  log_.Info("Version " + std::to_string(version) + " is in force.");
  on_adopted_(std::move(*loaded));
}

}  // namespace egretrack::entry
