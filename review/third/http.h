#ifndef REVIEW_THIRD_HTTP_H_
#define REVIEW_THIRD_HTTP_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

// A small blocking HTTP/1.1 server and client for the stand-ins.
namespace review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

struct address {
  std::string host;
  int port = 0;
  std::string ToString() const { return host + ":" + std::to_string(port); }
};

struct request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Path() const { return target.substr(0, target.find('?')); }
  // Decoded value of a query parameter; empty if absent.
  std::string Query(const std::string& name) const;
};

struct response {
  int status = 200;
  std::string body;
};

// Status 0: no response; `body` then names the failure. Uses and closes
// `socket`, an open connection, or opens one if it is negative.
response Call(const address& to,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              milliseconds timeout,
              int socket = -1);

int Listen(const address& at);
// Returns -1 after a failure.
int Connect(const address& to);
// Closes a socket so that the peer gets a reset.
void Reset(int socket);

// Serves each connection with a thread of its own. A handler that returns
// nullopt resets the connection without an answer.
class http_server {
 public:
  using handler = std::function<std::optional<response>(const request&)>;

  http_server(const address& at, handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Resets all connections and refuses new ones.
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  const handler handle_;
  int listener_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::atomic<int> serving_ = 0;
  std::thread accepting_;
};

// Forwards connections to another address. While it is cut, nothing passes.
// Bytes of established connections are passed on at the first retransmission by
// TCP after the cut, and the end of the connection behind them a round trip
// later. A connection attempt that its client gives up before the end of the
// cut never reaches the target.
class relay {
 public:
  relay(const address& at, address to);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  void Cut(bool cut) { cut_ = cut; }

 private:
  void Accept();
  void Open(int client);
  void Forward(int from, int to);
  // Waits for input and returns whether it was held up by a cut.
  bool AwaitInput(int from);

  const address to_;
  int listener_;
  std::atomic<bool> cut_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> running_ = 0;
  std::thread accepting_;
};

}  // namespace review

#endif  // REVIEW_THIRD_HTTP_H_
