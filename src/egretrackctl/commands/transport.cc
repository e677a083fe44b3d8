#include "egretrackctl/commands/transport.h"

namespace egretrack::ctl {
namespace {

// 256 MiB, as the answer of a job holds the results of up to 1,200 tasks.
constexpr std::size_t kMaxResponseBytes = 256U << 20U;

class http_transport final : public transport {
 public:
  net::http_reply Call(const net::tcp_address& entry,
                       const net::http_request& request,
                       milliseconds timeout) override {
    // Many commands work on local files only and need neither the client nor
    // its thread.
    if (client_ == nullptr)
      client_ =
          net::http_client::Create({.max_response_bytes = kMaxResponseBytes});
    return client_->CallAndWait(entry, request, timeout);
  }

 private:
  std::unique_ptr<net::http_client> client_;
};

}  // namespace

std::unique_ptr<transport> MakeHttpTransport() {
  return std::make_unique<http_transport>();
}

}  // namespace egretrack::ctl
