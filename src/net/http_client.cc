#include <future>
#include <utility>
#include <vector>

#include "egretrack/net/http.h"
#include "net/http_call.h"

namespace egretrack::net {
namespace {

class http_client_impl final : public http_client {
 public:
  explicit http_client_impl(const client_options& options)
      : state_(std::make_shared<http_client_state>(options)) {}
  http_client_impl(const http_client_impl&) = delete;
  http_client_impl& operator=(const http_client_impl&) = delete;

  ~http_client_impl() override {
    state_->stopping = true;
    AbortCalls();
    state_->io.Finish();
  }

  void Call(const tcp_address& address,
            http_request request,
            call_limits limits,
            callback done) override {
    const auto call = std::make_shared<http_call>(
        state_, address, std::move(request), limits, std::move(done));
    call->Start();
  }

 private:
  // A call that is being created is not among the open ones; it checks
  // `stopping` when it starts.
  void AbortCalls() {
    for (const auto& call : state_->OpenCalls())
      call->Abort();
  }

  const std::shared_ptr<http_client_state> state_;
};

}  // namespace

std::unique_ptr<http_client> http_client::Create(client_options options) {
  return std::make_unique<http_client_impl>(options);
}

http_reply http_client::CallAndWait(const tcp_address& address,
                                    http_request request,
                                    milliseconds timeout) {
  std::promise<http_reply> reply_promise;
  std::future<http_reply> reply = reply_promise.get_future();
  Call(address, std::move(request), timeout,
       [&reply_promise](http_reply received) {
         reply_promise.set_value(std::move(received));
       });
  return reply.get();
}

}  // namespace egretrack::net
