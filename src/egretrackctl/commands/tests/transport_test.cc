#include "egretrackctl/commands/transport.h"

#include <atomic>
#include <sstream>

#include <gtest/gtest.h>

#include "egretrackctl/commands/command_line.h"

namespace egretrack::ctl {
namespace {

// Guards against requests that an HTTP server does not accept, with a real
// connection.
TEST(HttpTransport, CarriesRequestAndAnswer) {
  const auto server = net::http_server::Listen(
      {"127.0.0.1", 0}, 1, {}, [](const net::http_exchange_ptr& exchange) {
        net::http_response response;
        response.body = "{\"asked\":\"" + exchange->request().target + "\"}";
        exchange->Respond(std::move(response));
      });
  ASSERT_TRUE(server.has_value());
  const auto network = MakeHttpTransport();
  std::ostringstream out;
  std::ostringstream err;
  const std::vector<std::string> arguments{
      "--json", "history", "--entry", (*server)->local_address().ToString()};
  EXPECT_EQ(RunCommandLine(arguments, *network, out, err), exit_code::kOk)
      << err.str();
  EXPECT_EQ(out.str(), "{\"asked\":\"/v1/config/history\"}\n");
}

// Guards against a silent entry (F11) that is taken for one that was never
// asked: the time limit ends the call after the request was sent.
TEST(HttpTransport, SilentEntryMayHaveActed) {
  std::atomic<int> asked = 0;
  std::vector<net::http_exchange_ptr> held;
  const auto server = net::http_server::Listen(
      {"127.0.0.1", 0}, 1, {}, [&](net::http_exchange_ptr exchange) {
        held.push_back(std::move(exchange));
        ++asked;
      });
  ASSERT_TRUE(server.has_value());
  const auto network = MakeHttpTransport();
  std::ostringstream out;
  std::ostringstream err;
  const std::vector<std::string> arguments{
      "drain", "--timeout-ms", "100", "--entry",
      (*server)->local_address().ToString()};
  EXPECT_EQ(RunCommandLine(arguments, *network, out, err),
            exit_code::kOutcomeUnknown);
  EXPECT_EQ(asked, 2);
}

}  // namespace
}  // namespace egretrack::ctl
