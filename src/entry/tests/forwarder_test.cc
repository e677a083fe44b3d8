#include "entry/forwarder.h"

#include <gtest/gtest.h>

#include "entry/tests/fake_exchange.h"
#include "net/tests/raw_peer.h"

namespace egretrack::entry {
namespace {

const job_id kId{"home", incarnation{1}, 2, 3};

class Forwarder : public testing::Test {
 protected:
  ~Forwarder() override { http_.reset(); }

  // Forwards one request to a home that sends `response`, if any.
  decision::caller_token Forward(const net::tcp_address& home,
                                 std::string_view entry = "home") {
    forwarder_ = std::make_unique<forwarder>(events_, waiting_, *http_,
                                             peer_addresses{{"home", home}});
    const auto token =
        waiting_.Add({exchange_, job_question::kSubmit, milliseconds(2000)});
    forwarder_->Forward({token, std::string(entry), kId});
    return token;
  }

  // The caller that is reported next as one whose home is unreachable.
  decision::caller_token WaitUnreachable() {
    std::vector<control_event> batch;
    events_.WaitBatch(batch, monotonic_clock::now() + seconds(10));
    if (batch.empty())
      return {};
    return std::get<decision::home_unreachable>(
               std::get<decision::entry_event>(batch[0]))
        .caller;
  }

  control_mailbox events_{8};
  caller_registry waiting_;
  std::shared_ptr<fake_exchange> exchange_ = std::make_shared<fake_exchange>(
      net::http_request{"POST", "/v1/jobs", {}, "body"});
  std::unique_ptr<forwarder> forwarder_;
  std::unique_ptr<net::http_client> http_ = net::http_client::Create({});
};

// Guards against an answer that is changed on its way, or loses its id.
TEST_F(Forwarder, RelaysAnswer) {
  const net::raw_server home(
      "HTTP/1.1 503 x\r\nRetry-After: 3\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\nbody",
      1);
  Forward(home.address());
  const auto response = exchange_->WaitForResponse();
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.body, "body");
  EXPECT_EQ(response.Header("Retry-After"), "3");
  EXPECT_EQ(response.Header(kJobIdHeader), kId.ToString());
  EXPECT_EQ(response.Header("Connection"), "");
}

// Guards against a lost or partial answer that is taken for an answer, or for
// a job that did not run.
TEST_F(Forwarder, LostAnswerLeavesJobUnknown) {
  for (const char* const bytes :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"}) {
    const net::raw_server home(bytes, 1);
    const auto token = Forward(home.address());
    EXPECT_EQ(WaitUnreachable(), token);
    EXPECT_TRUE(waiting_.Find(token));
  }
}

// Guards against a former home's address that now serves another incarnation.
TEST_F(Forwarder, OtherIncarnationIsNoHome) {
  const net::raw_server home("HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", 1);
  const auto token = Forward(home.address());
  EXPECT_EQ(WaitUnreachable(), token);
}

// Guards against a caller that waits for an entry that is not configured.
TEST_F(Forwarder, UnknownEntryIsUnreachable) {
  const auto token = Forward({"127.0.0.1", 1}, "stranger");
  EXPECT_EQ(WaitUnreachable(), token);
}

}  // namespace
}  // namespace egretrack::entry
