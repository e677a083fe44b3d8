#include "egretrackctl/commands/transport.h"

#include <atomic>
#include <sstream>

#include <gtest/gtest.h>

#include "egretrackctl/commands/command_line.h"

namespace egretrack::ctl {
namespace {

// Guards against requests that an HTTP server rejects. Uses a real connection.
TEST(HttpTransport, SendsRequestAndReturnsResponse) {
  const auto server = net::http_server::Listen(
      {"127.0.0.1", 0}, 1, {}, [](const net::http_exchange_ptr& exchange) {
        net::http_response response;
        response.body = "{\"asked\":\"" + exchange->request().target + "\"}";
        exchange->Respond(std::move(response));
      });
  ASSERT_TRUE(server.has_value());
  const auto transport = MakeHttpTransport();
  std::ostringstream out;
  std::ostringstream err;
  const std::vector<std::string> arguments{
      "--json", "history", "--entry", (*server)->local_address().ToString()};
  EXPECT_EQ(RunCommandLine(arguments, *transport, out, err), exit_code::kOk)
      << err.str();
  EXPECT_EQ(out.str(), "{\"asked\":\"/v1/config/history\"}\n");
}

// Guards against "unreachable" being reported for an entry that received the
// request but did not respond (F11): the call times out after it was sent.
TEST(HttpTransport, ReportsUnknownOutcomeWhenEntryDoesNotRespond) {
  std::atomic<int> request_count = 0;
  std::vector<net::http_exchange_ptr> open_exchanges;
  const auto server = net::http_server::Listen(
      {"127.0.0.1", 0}, 1, {}, [&](net::http_exchange_ptr exchange) {
        open_exchanges.push_back(std::move(exchange));
        ++request_count;
      });
  ASSERT_TRUE(server.has_value());
  const auto transport = MakeHttpTransport();
  std::ostringstream out;
  std::ostringstream err;
  const std::vector<std::string> arguments{
      "drain", "--timeout-ms", "100", "--entry",
      (*server)->local_address().ToString()};
  EXPECT_EQ(RunCommandLine(arguments, *transport, out, err),
            exit_code::kOutcomeUnknown);
  EXPECT_EQ(request_count, 2);
}

}  // namespace
}  // namespace egretrack::ctl
