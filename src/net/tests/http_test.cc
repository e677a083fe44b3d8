#include "egretrack/net/http.h"

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <ostream>
#include <span>
#include <string_view>
#include <thread>

#include <gtest/gtest.h>

#include "net/tests/raw_peer.h"

namespace egretrack::net {
namespace {

// Guards against a server that accepts connections before it can serve them.
TEST(HttpServer, RefusesConnectionsUntilStartAccepting) {
  auto server = http_server::Bind({"127.0.0.1", 0}, 1, {},
                                  [](const http_exchange_ptr& exchange) {
                                    exchange->Respond({200, {}, "served"});
                                  });
  ASSERT_TRUE(server.has_value());
  const auto client = http_client::Create({});
  http_request request;
  request.method = "GET";
  request.target = "/";
  const auto before = client->CallAndWait((*server)->local_address(), request,
                                          milliseconds(1000));
  EXPECT_FALSE(before.ok);
  EXPECT_EQ(before.failure.stage, call_stage::kNotSent);
  ASSERT_TRUE((*server)->StartAccepting().has_value());
  const auto after = client->CallAndWait((*server)->local_address(), request,
                                         milliseconds(1000));
  ASSERT_TRUE(after.ok);
  EXPECT_EQ(after.response.body, "served");
}

constexpr milliseconds kCallTimeout{5000};
constexpr seconds kWaitTimeout{10};

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

// Polls a condition that another thread fulfils. Returns false after a timeout.
bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = monotonic_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (monotonic_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

std::unique_ptr<http_server> Serve(http_limits limits,
                                   http_server::handler handler) {
  return *http_server::Listen({"127.0.0.1", 0}, 2, limits, std::move(handler));
}

void Echo(const http_exchange_ptr& exchange) {
  exchange->Respond({200, {}, exchange->request().body});
}

// Request handler that keeps its exchanges until the test responds to them.
class pending_exchanges {
 public:
  http_server::handler AsHandler() {
    return [this](http_exchange_ptr exchange) {
      const std::lock_guard lock(mutex_);
      pending_.push_back(std::move(exchange));
    };
  }

  http_exchange_ptr Wait() {
    WaitUntil([this] {
      const std::lock_guard lock(mutex_);
      return !pending_.empty();
    });
    const std::lock_guard lock(mutex_);
    auto exchange = std::move(pending_.front());
    pending_.erase(pending_.begin());
    return exchange;
  }

 private:
  std::mutex mutex_;
  std::vector<http_exchange_ptr> pending_;
};

http_reply CallOnce(const tcp_address& address, http_request request) {
  return http_client::Create({})->CallAndWait(address, std::move(request),
                                              kCallTimeout);
}

const http_request kGet{"GET", "/", {}, {}};

// ---- Messages -------------------------------------------------------------

// Guards against accepting host names, which would need a DNS lookup, and
// incomplete addresses.
TEST(TcpAddress, ParsesIpAddressesOnly) {
  EXPECT_EQ(tcp_address::Parse("127.0.0.1:80")->port, 80);
  EXPECT_EQ(tcp_address::Parse("[::1]:80")->host, "::1");
  EXPECT_EQ(tcp_address::Parse("[::1]:80")->ToString(), "[::1]:80");
  for (const auto* text :
       {"", "127.0.0.1", "127.0.0.1:", "host:80", "::1:80", "127.0.0.1:70000",
        "127.0.0.1:8x", "[127.0.0.1]:80"}) {
    EXPECT_FALSE(tcp_address::Parse(text)) << text;
  }
}

// Guards against a match inside the name or value of another parameter.
TEST(HttpRequest, QueryMatchesWholeNames) {
  const http_request request{"GET", "/a?xbase=1&base=a%20b&id=base", {}, {}};
  EXPECT_EQ(request.path(), "/a");
  EXPECT_EQ(request.Query("base"), "a b");
  EXPECT_EQ(request.Query("id"), "base");
  EXPECT_EQ(request.Query("a"), "");
}

// ---- Server ---------------------------------------------------------------

// Guards against responses without a length, whose end a caller can't detect,
// and against closing the connection after each response.
TEST(HttpServer, SendsContentLengthAndKeepsConnection) {
  const auto server = Serve({}, Echo);
  raw_client caller(server->local_address());
  for (const std::string body : {"one", "two"}) {
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n" + body);
    const std::string answer = caller.ReadUntil(body);
    EXPECT_TRUE(Contains(answer, "200 OK"));
    EXPECT_TRUE(Contains(answer, "Content-Length: 3\r\n"));
  }
}

// Guards against a second pipelined request that is lost, or whose response is
// sent first.
TEST(HttpServer, AnswersPipelinedRequestsInOrder) {
  const auto server = Serve({}, Echo);
  raw_client caller(server->local_address());
  caller.Send(
      "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
      "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\ntwo");
  EXPECT_TRUE(Contains(caller.ReadUntil("one"), "200"));
  EXPECT_TRUE(Contains(caller.ReadUntil("two"), "200"));
}

struct invalid_request {
  const char* name;
  std::string bytes;
  const char* status;
  const char* code;
};

void PrintTo(const invalid_request& input, std::ostream* out) {
  *out << input.name;
}

class HttpServerErrorResponse : public testing::TestWithParam<invalid_request> {
};

// Guards against invalid requests that reach the handler, and against responses
// to them without an error code.
TEST_P(HttpServerErrorResponse, HasStatusAndErrorCode) {
  http_limits limits;
  limits.body_bytes = 16;
  limits.header_bytes = 256;
  limits.receive_timeout = seconds(1);
  const auto server = Serve(limits, [](const http_exchange_ptr&) {
    ADD_FAILURE() << "the handler was called";
  });
  raw_client caller(server->local_address());
  caller.Send(GetParam().bytes);
  const std::string answer = caller.ReadAll();
  EXPECT_TRUE(Contains(answer, GetParam().status)) << answer;
  EXPECT_TRUE(Contains(answer, std::string(R"({"error":")") + GetParam().code +
                                   R"(","message":")"))
      << answer;
  EXPECT_TRUE(Contains(answer, "Connection: close")) << answer;
}

INSTANTIATE_TEST_SUITE_P(
    Inputs,
    HttpServerErrorResponse,
    testing::Values(
        invalid_request{"Malformed", "what is this\r\n\r\n", " 400 ",
                        "malformed_request"},
        invalid_request{"DeclaredTooLarge",
                        "POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n",
                        " 413 ", "body_too_large"},
        invalid_request{"ChunkedTooLarge",
                        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "11\r\n12345678901234567\r\n",
                        " 413 ", "body_too_large"},
        invalid_request{"HeaderTooLarge",
                        "GET / HTTP/1.1\r\nA: " + std::string(300, 'a'),
                        " 431 ", "header_too_large"},
        invalid_request{"SlowHeader", "GET / HT", " 408 ", "request_timeout"},
        invalid_request{"SlowBody",
                        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1",
                        " 408 ", "request_timeout"}),
    [](const auto& info) { return info.param.name; });

// Guards against a receive timeout that restarts with each byte: a caller that
// sends single bytes could then occupy a connection without limit.
TEST(HttpServer, TimesOutRequestSentInSingleBytes) {
  http_limits limits;
  limits.receive_timeout = seconds(1);
  const auto server = Serve(limits, Echo);
  raw_client caller(server->local_address());
  std::atomic<bool> answered = false;
  std::thread sender([&] {
    while (!answered) {
      caller.Send("G");
      std::this_thread::sleep_for(milliseconds(5));
    }
  });
  const std::string answer = caller.ReadUntil("\r\n\r\n");
  answered = true;
  sender.join();
  EXPECT_TRUE(Contains(answer, " 408 ")) << answer;
}

// Guards against idle connections that are never closed.
TEST(HttpServer, ClosesIdleConnection) {
  http_limits limits;
  limits.idle_timeout = seconds(1);
  const auto server = Serve(limits, Echo);
  raw_client caller(server->local_address());
  EXPECT_EQ(caller.ReadAll(), "");
}

// Guards against exceeding the connection limit, and against counting closed
// connections towards it.
TEST(HttpServer, LimitsConnections) {
  http_limits limits;
  limits.connections = 1;
  const auto server = Serve(limits, Echo);
  raw_client first(server->local_address());
  first.Send("GET / HTTP/1.1\r\n\r\n");
  first.ReadUntil("\r\n\r\n");
  raw_client second(server->local_address());
  EXPECT_TRUE(Contains(second.ReadAll(), "too_many_connections"));
  first.Close();
  EXPECT_TRUE(WaitUntil([&] {
    const auto reply = CallOnce(server->local_address(), kGet);
    return reply.ok && reply.response.status == 200;
  }));
}

// Guards against a caller that does not read and so keeps its response in
// memory without limit.
TEST(HttpServer, ClosesConnectionOfCallerThatDoesNotRead) {
  constexpr std::size_t kMoreThanSocketBuffers = 64U << 20U;
  http_limits limits;
  limits.send_timeout = seconds(1);
  std::atomic<int> requests = 0;
  const auto server = Serve(limits, [&](const http_exchange_ptr& exchange) {
    ++requests;
    exchange->Respond({200, {}, std::string(kMoreThanSocketBuffers, 'x')});
  });
  raw_client caller(server->local_address());
  caller.Send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(WaitUntil([&] { return requests == 1; }));
  EXPECT_FALSE(server->idle());
  EXPECT_TRUE(WaitUntil([&] { return server->idle(); }));
}

// Sends a request, which the server does not answer, and further input, then
// closes the connection.
void ExpectDisconnectReported(std::string_view request,
                              std::span<const std::string_view> further) {
  pending_exchanges pending;
  const auto server = Serve({}, pending.AsHandler());
  raw_client caller(server->local_address());
  caller.Send(request);
  const auto exchange = pending.Wait();
  std::promise<void> closed;
  exchange->OnDisconnect([&] { closed.set_value(); });
  for (const std::string_view input : further)
    caller.Send(input);
  caller.Close();
  EXPECT_EQ(closed.get_future().wait_for(kWaitTimeout),
            std::future_status::ready);
}

// Guards against continued work for callers that have disconnected.
TEST(HttpServer, ReportsCallerDisconnect) {
  ExpectDisconnectReported("GET / HTTP/1.1\r\n\r\n", {});
}

// Guards against a process that runs a request which it reads only after its
// caller has given up, as when the process was suspended in between.
TEST(HttpServer, TellsWhetherTheCallerHadLeftBeforeTheRequestWasRead) {
  std::promise<void> resumed;
  std::promise<bool> left_before;
  std::promise<bool> stayed;
  const auto server = *http_server::Listen(
      {"127.0.0.1", 0}, 1, {}, [&](const http_exchange_ptr& exchange) {
        const std::string_view path = exchange->request().path();
        if (path == "/block")
          resumed.get_future().wait_for(kWaitTimeout);
        else if (path == "/left")
          left_before.set_value(exchange->was_disconnected());
        else
          stayed.set_value(exchange->was_disconnected());
        exchange->Respond({200, {}, ""});
      });
  raw_client blocking(server->local_address());
  blocking.Send("GET /block HTTP/1.1\r\n\r\n");
  raw_client leaving(server->local_address());
  leaving.Send("GET /left HTTP/1.1\r\n\r\n");
  leaving.Close();
  raw_client staying(server->local_address());
  staying.Send("GET /stayed HTTP/1.1\r\n\r\n");
  resumed.set_value();
  auto left = left_before.get_future();
  ASSERT_EQ(left.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_TRUE(left.get());
  auto stays = stayed.get_future();
  ASSERT_EQ(stays.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_FALSE(stays.get());
}

// Guards against work for a caller that has left behind the start of a further
// request, which is read only after the response to the first.
TEST(HttpServer, ReportsDisconnectBehindAPipelinedRequest) {
  ExpectDisconnectReported("GET / HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n", {});
}

// The same for input that arrives while the request is served.
TEST(HttpServer, ReportsDisconnectBehindLaterInput) {
  constexpr std::array<std::string_view, 2> kFurther{"GET /next HTTP/1.1\r\n",
                                                     "Header: value\r\n"};
  ExpectDisconnectReported("GET / HTTP/1.1\r\n\r\n", kFurther);
}

// Guards against work that a resumed process begins for a caller whose end of
// the connection is still unread: a look at the connection finds it first.
TEST(HttpServer, FindsOnALookThatTheCallerHasLeft) {
  pending_exchanges pending;
  std::promise<void> blocked;
  std::promise<void> resumed;
  const auto server = *http_server::Listen(
      {"127.0.0.1", 0}, 1, {}, [&](const http_exchange_ptr& exchange) {
        if (exchange->request().path() != "/block")
          return pending.AsHandler()(exchange);
        blocked.set_value();
        resumed.get_future().wait_for(kWaitTimeout);
      });
  raw_client leaving(server->local_address());
  leaving.Send("GET /left HTTP/1.1\r\n\r\n");
  const auto left = pending.Wait();
  raw_client staying(server->local_address());
  staying.Send("GET /stayed HTTP/1.1\r\n\r\n");
  const auto stayed = pending.Wait();
  // The traffic thread stands still while one caller leaves.
  raw_client blocking(server->local_address());
  blocking.Send("GET /block HTTP/1.1\r\n\r\n");
  ASSERT_EQ(blocked.get_future().wait_for(kWaitTimeout),
            std::future_status::ready);
  std::promise<std::string_view> first_news_of_left;
  std::promise<monotonic_time> seen_at;
  const monotonic_time asked_at = monotonic_clock::now();
  left->OnDisconnect([&] { first_news_of_left.set_value("closed"); });
  leaving.Close();
  left->CheckConnection(
      [&](monotonic_time) { first_news_of_left.set_value("open"); });
  stayed->CheckConnection([&](monotonic_time at) { seen_at.set_value(at); });
  resumed.set_value();
  auto news = first_news_of_left.get_future();
  ASSERT_EQ(news.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_EQ(news.get(), "closed");
  auto seen = seen_at.get_future();
  ASSERT_EQ(seen.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_GE(seen.get(), asked_at);
}

// Guards against taking a request for a recent one that may be old: it counts
// from the last response, or from the first of the requests that were sent
// together.
TEST(HttpServer, TellsAfterWhichTimeARequestWasSent) {
  pending_exchanges pending;
  const auto server =
      *http_server::Listen({"127.0.0.1", 0}, 1, {}, pending.AsHandler());
  raw_client caller(server->local_address());
  caller.Send("GET /1 HTTP/1.1\r\n\r\n");
  const auto first = pending.Wait();
  EXPECT_LE(first->sent_after(), monotonic_clock::now());
  const monotonic_time answered_at = monotonic_clock::now();
  first->Respond({200, {}, "one"});
  caller.ReadUntil("one");
  caller.Send(
      "GET /2 HTTP/1.1\r\n\r\n"
      "GET /3 HTTP/1.1\r\n\r\n");
  const auto second = pending.Wait();
  EXPECT_GE(second->sent_after(), answered_at);
  second->Respond({200, {}, "two"});
  caller.ReadUntil("two");
  const auto third = pending.Wait();
  EXPECT_EQ(third->sent_after(), second->sent_after());
  third->Respond({200, {}, ""});
}

// Guards against a job id that reaches the caller only with the final response.
TEST(HttpServer, SendsInformationalResponseFirst) {
  pending_exchanges pending;
  const auto server = Serve({}, pending.AsHandler());
  raw_client caller(server->local_address());
  caller.Send("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  const auto exchange = pending.Wait();
  exchange->SendInformational(102, {{"Egretrack-Job-Id", "a"}});
  const std::string first = caller.ReadUntil("\r\n\r\n");
  EXPECT_TRUE(Contains(first, "HTTP/1.1 102 Processing")) << first;
  EXPECT_TRUE(Contains(first, "Egretrack-Job-Id: a")) << first;
  EXPECT_FALSE(Contains(first, "Content-Length")) << first;
  exchange->Respond({200, {}, "done"});
  EXPECT_TRUE(Contains(caller.ReadUntil("done"), "HTTP/1.1 200 OK"));
}

// Guards against a missing 100 response, without which some callers don't send
// the body.
TEST(HttpServer, AnswersExpectContinue) {
  const auto server = Serve({}, Echo);
  raw_client caller(server->local_address());
  caller.Send(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  EXPECT_TRUE(Contains(caller.ReadUntil("\r\n\r\n"), "100 Continue"));
  caller.Send("one");
  EXPECT_TRUE(Contains(caller.ReadUntil("one"), "200 OK"));
}

// Guards against a request without a response when the handler drops the
// exchange, and against a second response to one request.
TEST(HttpServer, RespondsExactlyOnce) {
  const auto dropping = Serve({}, [](const http_exchange_ptr&) {});
  EXPECT_EQ(CallOnce(dropping->local_address(), kGet).response.status, 500U);
  const auto twice = Serve({}, [](const http_exchange_ptr& exchange) {
    exchange->Respond({201, {}, {}});
    exchange->Respond({202, {}, {}});
  });
  raw_client caller(twice->local_address());
  caller.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string answer = caller.ReadAll();
  EXPECT_TRUE(Contains(answer, "201")) << answer;
  EXPECT_FALSE(Contains(answer, "202")) << answer;
}

// Guards against Abort() that sends a response. Stand-ins use Abort() to
// simulate a lost response.
TEST(HttpServer, AbortClosesWithoutResponse) {
  const auto server =
      Serve({}, [](const http_exchange_ptr& exchange) { exchange->Abort(); });
  raw_client caller(server->local_address());
  caller.Send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_EQ(caller.ReadAll(), "");
}

// Guards against a drain that aborts an open request or accepts connections.
TEST(HttpServer, DrainAnswersOpenRequestsOnly) {
  pending_exchanges pending;
  const auto server = Serve({}, pending.AsHandler());
  raw_client idle(server->local_address());
  raw_client waiting(server->local_address());
  waiting.Send("GET / HTTP/1.1\r\n\r\n");
  const auto exchange = pending.Wait();
  server->Drain();
  EXPECT_EQ(idle.ReadAll(), "");
  EXPECT_TRUE(WaitUntil([&] {
    const auto reply = CallOnce(server->local_address(), kGet);
    return !reply.ok && reply.failure.stage == call_stage::kNotSent;
  }));
  EXPECT_FALSE(server->idle());
  exchange->Respond({200, {}, "whole"});
  const std::string answer = waiting.ReadAll();
  EXPECT_TRUE(Contains(answer, "Connection: close")) << answer;
  EXPECT_TRUE(Contains(answer, "whole")) << answer;
  EXPECT_TRUE(WaitUntil([&] { return server->idle(); }));
}

// Guards against a destructor that waits for open requests, and against access
// to the destroyed server by an exchange that outlives it.
TEST(HttpServer, StopsWithOpenRequest) {
  pending_exchanges pending;
  auto server = Serve({}, pending.AsHandler());
  raw_client caller(server->local_address());
  caller.Send("GET / HTTP/1.1\r\n\r\n");
  const auto exchange = pending.Wait();
  server.reset();
  exchange->Respond({200, {}, {}});
  EXPECT_EQ(caller.ReadAll(), "");
}

// ---- Client ---------------------------------------------------------------

// Guards against a refused connection that is reported as a sent request.
// Callers could then not retry safely.
TEST(HttpClient, ReportsRefusedConnectionAsNotSent) {
  auto server = Serve({}, Echo);
  const tcp_address address = server->local_address();
  server.reset();
  const auto reply = CallOnce(address, kGet);
  EXPECT_FALSE(reply.ok);
  EXPECT_EQ(reply.failure.stage, call_stage::kNotSent);
  EXPECT_EQ(reply.failure.cause.code, errc::kUnavailable);
}

struct bad_response {
  const char* name;
  std::string bytes;
};

void PrintTo(const bad_response& input, std::ostream* out) {
  *out << input.name;
}

class HttpClientFailure : public testing::TestWithParam<bad_response> {};

// Guards against an incomplete or invalid response that is reported as success,
// or as a failure before the request was sent.
TEST_P(HttpClientFailure, IsReportedAsSent) {
  const raw_server server(GetParam().bytes, 1);
  const auto reply = CallOnce(server.address(), kGet);
  EXPECT_FALSE(reply.ok);
  EXPECT_EQ(reply.failure.stage, call_stage::kSent);
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    HttpClientFailure,
    testing::Values(
        bad_response{"None", ""},
        bad_response{"Foreign", "SSH-2.0\r\n\r\n"},
        bad_response{"CutHeader", "HTTP/1.1 200 OK\r\nContent-"},
        bad_response{"CutBody",
                     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12345678"},
        bad_response{"CutChunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "4\r\nabcd\r\n"},
        bad_response{"NoLength", "HTTP/1.1 200 OK\r\n\r\nabcd"},
        bad_response{"TooLarge",
                     "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"}),
    [](const auto& info) { return info.param.name; });

// Guards against an informational response that is returned as the final one.
TEST(HttpClient, SkipsInformationalResponses) {
  const raw_server server(
      "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n",
      1);
  const auto reply = CallOnce(server.address(), kGet);
  ASSERT_TRUE(reply.ok) << reply.failure.cause.ToString();
  EXPECT_EQ(reply.response.status, 204U);
}

// Guards against a call that exceeds its timeout.
TEST(HttpClient, ReportsTimeoutAsSent) {
  pending_exchanges pending;
  const auto server = Serve({}, pending.AsHandler());
  const auto reply = http_client::Create({})->CallAndWait(
      server->local_address(), kGet, milliseconds(50));
  EXPECT_FALSE(reply.ok);
  EXPECT_EQ(reply.failure.cause.code, errc::kTimeout);
  EXPECT_EQ(reply.failure.stage, call_stage::kSent);
}

// Guards against a call that fails because the server has closed the pooled
// connection, although no byte of the request was written.
TEST(HttpClient, ReplacesClosedPooledConnection) {
  http_limits limits;
  limits.idle_timeout = seconds(1);
  const auto server = Serve(limits, Echo);
  const auto client = http_client::Create({});
  ASSERT_TRUE(
      client->CallAndWait(server->local_address(), kGet, kCallTimeout).ok);
  raw_client later_connection(server->local_address());
  // The idle timeout of this later connection ends after the one of the
  // client's connection.
  later_connection.ReadAll();
  EXPECT_TRUE(
      client->CallAndWait(server->local_address(), kGet, kCallTimeout).ok);
}

// Guards against a client that opens a connection for every call.
TEST(HttpClient, ReusesConnection) {
  http_limits limits;
  limits.connections = 1;
  const auto server = Serve(limits, Echo);
  const auto client = http_client::Create({});
  for (int i = 0; i < 3; ++i) {
    const auto reply = client->CallAndWait(
        server->local_address(), {"POST", "/", {}, "body"}, kCallTimeout);
    EXPECT_EQ(reply.response.status, 200U);
    EXPECT_EQ(reply.response.body, "body");
  }
}

// Opens several connections at the same time, which then stay in the pool.
void FillPool(http_client& client, const silenceable_server& server) {
  constexpr int kCalls = 8;
  while (server.connections() < 3) {
    std::atomic<int> ended = 0;
    for (int call = 0; call < kCalls; ++call) {
      client.Call(server.address(), kGet, kCallTimeout,
                  [&](const http_reply&) { ++ended; });
    }
    ASSERT_TRUE(WaitUntil([&] { return ended == kCalls; }));
  }
}

// Guards against one time-out after another, when all open connections have
// gone silent at once and several of them wait in the pool (review, case 10).
TEST(HttpClient, ReplacesAllConnectionsAfterOneWentSilent) {
  silenceable_server server;
  const auto client = http_client::Create({});
  FillPool(*client, server);
  server.Silence();
  const auto lost =
      client->CallAndWait(server.address(), kGet, milliseconds(300));
  EXPECT_EQ(lost.failure.cause.code, errc::kTimeout);
  const auto repeated =
      client->CallAndWait(server.address(), kGet, kCallTimeout);
  EXPECT_TRUE(repeated.ok) << repeated.failure.cause.ToString();
}

// Guards against a call that waits long for its response on a connection that
// is known to be dead.
TEST(HttpClient, EndsAHeldCallWhenItsConnectionIsPresumedDead) {
  silenceable_server server;
  std::promise<http_reply> held;
  const auto client = http_client::Create({.end_silent_calls = true});
  client->Call(server.address(), {"GET", "/hold", {}, {}},
               call_limits{seconds(60), seconds(60)},
               [&](http_reply reply) { held.set_value(std::move(reply)); });
  ASSERT_TRUE(WaitUntil([&] { return server.connections() == 1; }));
  client->CallAndWait(server.address(), {"GET", "/hold", {}, {}},
                      milliseconds(300));
  auto reply = held.get_future();
  ASSERT_EQ(reply.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_EQ(reply.get().failure.cause.code, errc::kTimeout);
}

// Guards against connections that are given up because a server holds a call as
// long as it may and then answers too late: others have shown life since.
TEST(HttpClient, KeepsConnectionsThatAnsweredSinceACallWasDue) {
  silenceable_server server;
  std::promise<http_reply> held;
  const auto client = http_client::Create({});
  client->Call(server.address(), {"GET", "/hold", {}, {}}, milliseconds(300),
               [&](http_reply reply) { held.set_value(std::move(reply)); });
  ASSERT_TRUE(WaitUntil([&] { return server.connections() == 1; }));
  ASSERT_TRUE(client->CallAndWait(server.address(), kGet, kCallTimeout).ok);
  EXPECT_FALSE(held.get_future().get().ok);
  EXPECT_TRUE(client->CallAndWait(server.address(), kGet, kCallTimeout).ok);
  EXPECT_EQ(server.connections(), 2);
}

// Guards against calls whose callback never runs if the client is destroyed.
TEST(HttpClient, DestructorFailsOpenCalls) {
  pending_exchanges pending;
  const auto server = Serve({}, pending.AsHandler());
  auto client = http_client::Create({});
  std::promise<http_reply> reply_promise;
  client->Call(
      server->local_address(), kGet, milliseconds(0),
      [&](http_reply reply) { reply_promise.set_value(std::move(reply)); });
  const auto exchange = pending.Wait();
  client.reset();
  EXPECT_FALSE(reply_promise.get_future().get().ok);
}

}  // namespace
}  // namespace egretrack::net
