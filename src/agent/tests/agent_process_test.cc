#include "egretrack/agent/agent.h"

#include <unistd.h>

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "egretrack/base/file.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"
#include "egretrack/wire/codec.h"

namespace egretrack::agent {
namespace {

constexpr seconds kTimeout{10};

// Minimal entry: replies to heartbeats and records all messages of the agent.
class fake_entry {
 public:
  fake_entry()
      : router_(net::frame_router::Bind({"127.0.0.1", 0},
                                        [this](net::peer_id peer, auto bytes) {
                                          OnFrame(peer, bytes);
                                        })
                    .value()) {}

  std::string address() const { return router_->local_address().ToString(); }

  void Send(wire::entry_message message) {
    const std::lock_guard lock(mutex_);
    SendLocked(std::move(message));
  }

  // Waits for a message of this type that satisfies `predicate` and returns the
  // first one, or nothing after kTimeout.
  template <typename Message, typename Predicate>
  std::optional<Message> WaitFor(Predicate predicate) {
    std::unique_lock lock(mutex_);
    std::optional<Message> found;
    message_arrived_.wait_for(lock, kTimeout, [&] {
      for (const wire::agent_message& message : messages_) {
        const auto* candidate = std::get_if<Message>(&message);
        if (!found && candidate != nullptr && predicate(*candidate))
          found = *candidate;
      }
      return found.has_value();
    });
    return found;
  }

 private:
  void OnFrame(net::peer_id peer, std::span<const std::byte> bytes) {
    const auto frame = wire::DecodeAgentFrame(bytes).value();
    const std::lock_guard lock(mutex_);
    peer_ = peer;
    connection_ = frame.connection;
    for (const wire::agent_message& message : frame.messages) {
      messages_.push_back(message);
      if (const auto* heartbeat = std::get_if<wire::heartbeat>(&message)) {
        SendLocked(wire::heartbeat_reply{"e1", incarnation{1},
                                         heartbeat->sequence,
                                         monotonic_clock::now(), 0, "", 1});
      }
    }
    message_arrived_.notify_all();
  }

  void SendLocked(wire::entry_message message) {
    router_->Send(peer_,
                  wire::EncodeEntryFrame(connection_, std::span(&message, 1)));
  }

  std::mutex mutex_;
  std::condition_variable message_arrived_;
  net::peer_id peer_{};
  connection_number connection_{};
  std::vector<wire::agent_message> messages_;
  // Declared last, so that its thread ends before the members that it uses are
  // destroyed.
  std::unique_ptr<net::frame_router> router_;
};

class AgentProcess : public testing::Test {
 protected:
  AgentProcess() {
    endpoint_ =
        net::http_server::Listen(
            {"127.0.0.1", 0}, 1, {},
            [](const auto& exchange) {
              exchange->Respond({200, {}, "did " + exchange->request().body});
            })
            .value();
    settings::agent_settings settings;
    settings.id = "a1";
    settings.failure_domain = "palermo-1";
    settings.http = "127.0.0.1:0";
    settings.entries = {entry_.address()};
    settings.ports_file = testing::TempDir() + "agent_process_test." +
                          std::to_string(getpid()) + ".ports";
    agent_ = agent_process::Start(settings).value();
    const std::string ports = ReadFile(settings.ports_file).value();
    http_address_.port = static_cast<std::uint16_t>(std::stoi(ports.substr(7)));
  }

  net::http_response Call(std::string method,
                          std::string target,
                          std::string body = {}) {
    return client_
        ->CallAndWait(
            http_address_,
            {std::move(method), std::move(target), {}, std::move(body)},
            kTimeout)
        .response;
  }

  unsigned Announce() {
    return Call("PUT", "/v1/announcement",
                R"({"endpoint":"turni","address":"127.0.0.1","port":)" +
                    std::to_string(endpoint_->local_address().port) + "}")
        .status;
  }

  fake_entry entry_;
  std::unique_ptr<net::http_server> endpoint_;
  std::unique_ptr<agent_process> agent_;
  net::tcp_address http_address_{"127.0.0.1", 0};
  std::unique_ptr<net::http_client> client_ = net::http_client::Create({});
};

// Guards against a break between the steps of a task: announcement, credit,
// dispatch, endpoint call, report and drain.
TEST_F(AgentProcess, RunsATaskAndDrains) {
  EXPECT_EQ(Call("GET", "/v1/health").status, 200U);
  EXPECT_EQ(Call("GET", "/v1/ready").status, 503U);
  EXPECT_EQ(Announce(), 200U);
  const auto heartbeat =
      entry_.WaitFor<wire::heartbeat>([](const auto& message) {
        return message.endpoint == "turni" && message.granted_total > 0;
      });
  ASSERT_TRUE(heartbeat.has_value());
  EXPECT_EQ(Call("GET", "/v1/ready").status, 200U);

  const job_id job{"e1", incarnation{1}, 1, 1};
  entry_.Send(wire::dispatch{job, 0, 1, dispatch_number{1}, "find",
                             monotonic_clock::now() + seconds(30), 0, "work"});
  const auto report =
      entry_.WaitFor<wire::task_report>([](const auto& message) {
        return message.dispatch == dispatch_number{1};
      });
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->state, wire::task_state::kFinished);
  EXPECT_EQ(report->result, "did work");

  const std::string status = Call("GET", "/v1/status").body;
  EXPECT_NE(status.find("\"id\":\"a1\""), std::string::npos) << status;
  EXPECT_NE(Call("GET", "/metrics").body.find("egretrack_agent_starts_total 1"),
            std::string::npos);
  EXPECT_EQ(Call("POST", "/v1/drain").status, 202U);
  agent_->Drain();
  agent_->Wait();
}

// Guards against accepting an announcement with a malformed endpoint name,
// address or port, and against error responses without an error code.
TEST_F(AgentProcess, RejectsMalformedRequestsWithErrorCodes) {
  const std::string bodies[] = {
      "", "[]", R"({"endpoint":"No Name","address":"127.0.0.1","port":1})",
      R"({"endpoint":"turni","address":"localhost","port":1})",
      R"({"endpoint":"turni","address":"127.0.0.1","port":70000})"};
  for (const std::string& body : bodies) {
    const auto response = Call("PUT", "/v1/announcement", body);
    EXPECT_EQ(response.status, 400U) << body;
    EXPECT_NE(response.body.find("\"error\":\"invalid_announcement\""),
              std::string::npos);
  }
  EXPECT_EQ(Call("POST", "/v1/announcement").status, 405U);
  EXPECT_EQ(Call("GET", "/v1/nothing").status, 404U);
  EXPECT_EQ(Call("GET", "/v1/ready").status, 503U);
}

}  // namespace
}  // namespace egretrack::agent
