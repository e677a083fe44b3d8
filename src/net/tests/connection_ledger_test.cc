#include "net/connection_ledger.h"

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "net/tests/raw_peer.h"

namespace egretrack::net {
namespace {

constexpr monotonic_time kStart{seconds(10)};

// Replays clients that send a request without end next to callers that wait for
// their answer. Guards against closing the connection of a caller whose job is
// served.
TEST(ConnectionLedger, NeverPicksConnectionThatIsServed) {
  connection_ledger ledger;
  const auto caller = ledger.Add(nullptr, kStart);
  ledger.Update(caller, connection_phase::kServing, 262144, kStart);
  EXPECT_EQ(ledger.FindForBytes(kStart + seconds(5)), std::nullopt);
  EXPECT_EQ(ledger.FindForSlot(nullptr, kStart + seconds(5)), std::nullopt);
  const auto client = ledger.Add(nullptr, kStart);
  ledger.Update(client, connection_phase::kReceiving, 1, kStart);
  EXPECT_EQ(ledger.FindForBytes(kStart + seconds(5)), client);
}

// Guards against closing a request that has just arrived, or an idle connection
// of a caller, in place of a client that trickles bytes.
TEST(ConnectionLedger, PicksWhatHoldsMostForLongest) {
  connection_ledger ledger;
  const auto slow = ledger.Add(nullptr, kStart);
  const auto slower = ledger.Add(nullptr, kStart);
  const auto idle = ledger.Add(nullptr, kStart);
  ledger.Update(slow, connection_phase::kReceiving, 1000, kStart);
  ledger.Update(slower, connection_phase::kReceiving, 16000, kStart);
  ledger.Update(idle, connection_phase::kIdle, 0, kStart);
  const monotonic_time now = kStart + seconds(1);
  const auto recent = ledger.Add(nullptr, now);
  ledger.Update(recent, connection_phase::kReceiving, 262144, now);
  EXPECT_EQ(ledger.FindForSlot(nullptr, now), slower);
  ledger.Remove(slower);
  EXPECT_EQ(ledger.FindForSlot(nullptr, now), slow);
  ledger.Remove(slow);
  EXPECT_EQ(ledger.FindForSlot(nullptr, now), idle);
  ledger.Remove(idle);
  EXPECT_EQ(ledger.FindForSlot(nullptr, now), recent);
}

// Guards against a flood on one port that closes connections of another.
TEST(ConnectionLedger, PicksWithinServer) {
  connection_ledger ledger;
  const int servers[2] = {};
  const auto first = ledger.Add(&servers[0], kStart);
  const auto second = ledger.Add(&servers[1], kStart + seconds(1));
  const monotonic_time now = kStart + seconds(2);
  EXPECT_EQ(ledger.FindForSlot(&servers[1], now), second);
  EXPECT_EQ(ledger.FindForSlot(nullptr, now), first);
}

// Guards against totals that drift, after which the process would refuse every
// connection or none.
TEST(ConnectionLedger, CountsWhatIsHeld) {
  connection_ledger ledger;
  const int server = 0;
  const auto first = ledger.Add(&server, kStart);
  const auto second = ledger.Add(&server, kStart);
  ledger.Update(first, connection_phase::kReceiving, 100, kStart);
  ledger.Update(first, connection_phase::kReceiving, 70, kStart);
  ledger.Update(second, connection_phase::kSending, 5, kStart);
  EXPECT_EQ(ledger.held_bytes(), 75U);
  ledger.Remove(first);
  ledger.Remove(first);
  ledger.Update(first, connection_phase::kReceiving, 9, kStart);
  EXPECT_EQ(ledger.held_bytes(), 5U);
  EXPECT_EQ(ledger.CountOf(&server), 1U);
}

// Guards against a budget that a machine of the platform cannot hold, or that
// its callers meet.
TEST(TrafficGuard, DerivesBudgetFromMachine) {
  const traffic_budget small = BudgetOfMachine(120, 3075);
  EXPECT_EQ(small.held_bytes, 15U << 20U);
  EXPECT_LE(small.connections, 3075U - 200U - 64U);
  EXPECT_GE(small.connections, 2500U);
  EXPECT_GE(BudgetOfMachine(120, 4096).connections, 3000U + 2 * 64U);
}

class LimitedServer : public testing::Test {
 protected:
  LimitedServer() {
    limits_.header_bytes = 1024;
    limits_.body_bytes = 4096;
    limits_.guard = guard_;
  }

  std::unique_ptr<http_server> Serve() {
    return *http_server::Listen(
        {"127.0.0.1", 0}, 1, limits_, [](const http_exchange_ptr& exchange) {
          exchange->Respond({200, {}, exchange->request().body});
        });
  }

  // The answer to a chunked request that goes on with `block`.
  static std::string SendEndless(const http_server& server,
                                 const std::string& start,
                                 const std::string& block) {
    raw_client client(server.local_address());
    client.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                start);
    // Within the buffers of the sockets, so that the answer is not lost.
    for (int count = 0; count < 16; ++count)
      client.Send(block);
    return client.ReadAll();
  }

  http_limits limits_;
  const std::shared_ptr<traffic_guard> guard_ =
      std::make_shared<traffic_guard>(BudgetOfMachine(120, 4096));
};

// Guards against requests whose trailer or chunk extension is kept in memory
// without limit.
TEST_F(LimitedServer, RefusesEndlessFraming) {
  const auto server = Serve();
  const std::string block(4096, 'b');
  for (const std::string start : {"0\r\na: ", "0\r\na: b\r\nc: ", "1;a="}) {
    const std::string answer = SendEndless(*server, start, block);
    EXPECT_NE(answer.find("request_too_large"), std::string::npos) << answer;
  }
  EXPECT_EQ(guard_->count(traffic_limit::kRequestBytes), 3U);
}

// Guards against a sum of chunk extensions without limit, each of which is
// short.
TEST_F(LimitedServer, BoundsSumOfExtensions) {
  const auto server = Serve();
  const std::string chunk = "1;a=" + std::string(500, 'b') + "\r\nx\r\n";
  std::string block;
  while (block.size() < 4096)
    block += chunk;
  const std::string answer = SendEndless(*server, "", block);
  EXPECT_NE(answer.find("request_too_large"), std::string::npos) << answer;
}

// Guards against a limit that a caller within the promised limits meets: the
// largest body in chunks of one byte, after a header of almost the limit.
TEST_F(LimitedServer, ServesLargestBodyInSmallestChunks) {
  const auto server = Serve();
  raw_client client(server->local_address());
  std::string request =
      "POST / HTTP/1.1\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\nA: " +
      std::string(900, 'a') + "\r\n\r\n";
  for (std::size_t count = 0; count < limits_.body_bytes; ++count)
    request += "1\r\nx\r\n";
  client.Send(request + "0\r\n\r\n");
  const std::string answer = client.ReadAll();
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_NE(answer.find(std::string(limits_.body_bytes, 'x')),
            std::string::npos);
}

// Guards against callers that are turned away while clients hold every
// connection with a single byte.
TEST_F(LimitedServer, MakesRoomForCallers) {
  limits_.connections = 4;
  const auto server = Serve();
  std::vector<std::unique_ptr<raw_client>> clients;
  for (int count = 0; count < 8; ++count) {
    clients.push_back(std::make_unique<raw_client>(server->local_address()));
    clients.back()->Send("P");
  }
  raw_client caller(server->local_address());
  caller.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(caller.ReadAll().find(" 200 "), std::string::npos);
  EXPECT_GE(guard_->count(traffic_limit::kConnections), 5U);
}

// Guards against a server whose response grows in the memory of the client
// through a trailer or a chunk extension without end.
TEST(HttpClientLimits, RefusesEndlessFramingOfResponse) {
  for (const std::string start : {"0\r\na: ", "1;a="}) {
    const raw_server server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start +
            std::string(200'000, 'b'),
        1);
    http_request request;
    request.method = "GET";
    request.target = "/";
    const auto reply = http_client::Create({})->CallAndWait(
        server.address(), request, milliseconds(5000));
    ASSERT_FALSE(reply.ok);
    EXPECT_EQ(reply.failure.cause.code, errc::kTooLarge)
        << reply.failure.cause.ToString();
  }
}

}  // namespace
}  // namespace egretrack::net
