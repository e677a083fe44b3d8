#include "entry/forwarder.h"

#include <gtest/gtest.h>

#include "entry/tests/fake_exchange.h"
#include "net/tests/raw_peer.h"

namespace egretrack::entry {
namespace {

const job_id kJobId{"home", incarnation{1}, 2, 3};

class Forwarder : public testing::Test {
 protected:
  ~Forwarder() override { http_.reset(); }

  // Forwards a submission to the home entry `entry`; only "home" is configured,
  // with the address `home`.
  decision::caller_token Forward(const net::tcp_address& home,
                                 std::string_view entry = "home") {
    forwarder_ = std::make_unique<forwarder>(events_, callers_, *http_,
                                             peer_addresses{{"home", home}});
    const auto token =
        callers_.Add({exchange_, job_operation::kSubmit, milliseconds(2000)});
    forwarder_->Forward({token, std::string(entry), kJobId});
    return token;
  }

  // Waits for the next home_unreachable event and returns its caller.
  decision::caller_token WaitForUnreachableCaller() {
    std::vector<control_event> batch;
    events_.WaitBatch(batch, monotonic_clock::now() + seconds(10));
    if (batch.empty())
      return {};
    return std::get<decision::home_unreachable>(
               std::get<decision::entry_event>(batch[0]))
        .caller;
  }

  control_mailbox events_{8};
  caller_registry callers_;
  std::shared_ptr<fake_exchange> exchange_ = std::make_shared<fake_exchange>(
      net::http_request{"POST", "/v1/jobs", {}, "body"});
  std::unique_ptr<forwarder> forwarder_;
  std::unique_ptr<net::http_client> http_ = net::http_client::Create({});
};

// Guards against a forwarded response that is changed or lacks the job id.
TEST_F(Forwarder, RelaysResponse) {
  const net::raw_server home(
      "HTTP/1.1 503 x\r\nRetry-After: 3\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\nbody",
      1);
  Forward(home.address());
  const auto response = exchange_->WaitForResponse();
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.body, "body");
  EXPECT_EQ(response.Header("Retry-After"), "3");
  EXPECT_EQ(response.Header(kJobIdHeader), kJobId.ToString());
  EXPECT_EQ(response.Header("Connection"), "");
}

// Guards against a lost or truncated response that is passed to the caller, or
// that makes the entry report the job as not run.
TEST_F(Forwarder, ReportsLostResponseAsUnreachableHome) {
  for (const char* const bytes :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"}) {
    const net::raw_server home(bytes, 1);
    const auto token = Forward(home.address());
    EXPECT_EQ(WaitForUnreachableCaller(), token);
    EXPECT_TRUE(callers_.Find(token));
  }
}

// Guards against a response of a later incarnation at the address of the home
// entry, which refuses with 421 as it does not know the job.
TEST_F(Forwarder, ReportsWrongHomeAsUnreachable) {
  const net::raw_server home("HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", 1);
  const auto token = Forward(home.address());
  EXPECT_EQ(WaitForUnreachableCaller(), token);
}

// Guards against a caller that is never answered because the home entry of its
// job is not among the configured peers.
TEST_F(Forwarder, ReportsUnconfiguredEntryAsUnreachable) {
  const auto token = Forward({"127.0.0.1", 1}, "stranger");
  EXPECT_EQ(WaitForUnreachableCaller(), token);
}

}  // namespace
}  // namespace egretrack::entry
