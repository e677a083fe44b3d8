#ifndef EGRETRACK_ENTRY_TESTS_FAKE_EXCHANGE_H_
#define EGRETRACK_ENTRY_TESTS_FAKE_EXCHANGE_H_

#include <functional>
#include <future>
#include <utility>
#include <vector>

#include "egretrack/net/http.h"

namespace egretrack::entry {

// HTTP exchange without a connection, whose response a test waits for.
class fake_exchange final : public net::http_exchange {
 public:
  fake_exchange() = default;
  explicit fake_exchange(net::http_request request)
      : request_(std::move(request)) {}

  const net::http_request& request() const override { return request_; }
  void SendInformational(unsigned /*status*/,
                         std::vector<net::header> /*headers*/) override {}
  void Respond(net::http_response response) override {
    response_.set_value(std::move(response));
  }
  void Abort() override {}
  bool was_disconnected() const override { return false; }
  monotonic_time sent_after() const override { return monotonic_clock::now(); }
  monotonic_time connection_checked_at() const override {
    return monotonic_clock::now();
  }
  void CheckConnection(std::function<void(monotonic_time)> /*open*/) override {}
  void OnDisconnect(std::function<void()> callback) override {
    closed_callback_ = std::move(callback);
  }

  net::http_response WaitForResponse() { return response_.get_future().get(); }
  void Close() { closed_callback_(); }

 private:
  const net::http_request request_;
  std::promise<net::http_response> response_;
  std::function<void()> closed_callback_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_TESTS_FAKE_EXCHANGE_H_
