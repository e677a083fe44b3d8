// Stand-in for an endpoint. It announces itself to its agent and simulates each
// task with a timer, as the directives in the payload request. It uses Beast
// directly because net::http_server cannot send a truncated response.
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <CLI/CLI.hpp>

#include "egretrack/base/time.h"
#include "egretrack/net/http.h"
#include "standins/ledger.h"
#include "standins/task_script.h"

namespace egretrack::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kLoopback = "127.0.0.1";
constexpr seconds kAnnounceInterval{1};
constexpr milliseconds kAnnounceTimeout{1000};
// Interval at which a stopping stand-in checks for running tasks.
constexpr milliseconds kIdleCheckInterval{20};
// Bytes by which the Content-Length of a truncated response exceeds the full
// body.
constexpr std::size_t kTruncatedBytes = 64;

struct endpoint_options {
  std::string agent;
  std::string endpoint;
  std::string ledger;
  std::string port_file;
  double speed = 1;
  bool fail_all = false;
};

// State shared by all connections, accessed only by the thread that runs the
// io_context.
struct endpoint_state {
  endpoint_options options;
  ledger_writer ledger;
  std::size_t running_tasks = 0;
  bool stopping = false;
};

std::string ResponseText(std::string_view status,
                         std::string_view extra_header,
                         std::size_t content_length,
                         std::string_view body) {
  std::string text = "HTTP/1.1 ";
  text += status;
  text += "\r\n";
  text += extra_header;
  text += "Content-Length: " + std::to_string(content_length) + "\r\n\r\n";
  text += body;
  return text;
}

// One connection from the agent; runs one task at a time.
class agent_connection : public std::enable_shared_from_this<agent_connection> {
 public:
  agent_connection(tcp::socket socket, endpoint_state& state)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        state_(state) {}

  void ReadRequest() {
    parser_.emplace();
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& code, std::size_t) {
          if (!code)
            self->HandleRequest();
        });
  }

 private:
  using request_parser = http::request_parser<http::string_body>;

  void HandleRequest() {
    const auto& request = parser_->get();
    if (request.method() != http::verb::post || request.target() != "/v1/run") {
      Send(ResponseText("404 Not Found", "", 0, ""));
      return;
    }
    job_ = std::string(request["Egretrack-Job"]);
    task_ = std::string(request["Egretrack-Task"]);
    script_ = ParseTaskScript(request.body());
    if (state_.options.fail_all)
      script_.ending = task_ending::kFail;
    if (script_.ending == task_ending::kRefuse) {
      Send(ResponseText("503 Service Unavailable",
                        "Egretrack-Not-Run: true\r\n", 0, ""));
      return;
    }
    StartTask(std::string(request["Egretrack-Kind"]));
  }

  void StartTask(const std::string& kind) {
    if (!Record(ledger_event::kStart, kind)) {
      Send(ResponseText("500 Internal Server Error", "", 0, ""));
      return;
    }
    ++state_.running_tasks;
    const std::chrono::duration<double, std::milli> run_time(
        static_cast<double>(script_.sleep.count()) / state_.options.speed);
    timer_.expires_after(std::chrono::duration_cast<microseconds>(run_time));
    timer_.async_wait(
        [self = shared_from_this()](const error_code&) { self->EndTask(); });
  }

  void EndTask() {
    Record(ledger_event::kEnd, std::string(TaskEndingName(script_.ending)));
    --state_.running_tasks;
    const std::string body = job_ + "/" + task_ + ":" + script_.echo;
    const std::string_view half =
        std::string_view(body).substr(0, body.size() / 2);
    switch (script_.ending) {
      case task_ending::kResult:
        Send(ResponseText("200 OK", "", body.size(), body));
        return;
      case task_ending::kFail:
        Send(ResponseText("500 Internal Server Error", "", 0, ""));
        return;
      case task_ending::kReset:
      case task_ending::kTruncate:
        close_after_send_ = true;
        Send(ResponseText("200 OK", "", body.size() + kTruncatedBytes, half));
        return;
      case task_ending::kRefuse:
        return;
    }
  }

  bool Record(ledger_event event, const std::string& detail) {
    ledger_line line;
    line.event = event;
    line.time = WallNow();
    line.job = job_;
    line.task =
        static_cast<task_index>(std::strtoul(task_.c_str(), nullptr, 10));
    line.detail = detail;
    return state_.ledger.Append(line).has_value();
  }

  void Send(std::string text) {
    output_ = std::move(text);
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this()](const error_code& code, std::size_t) {
          if (code)
            return;
          if (self->close_after_send_) {
            self->CloseEarly();
            return;
          }
          self->ReadRequest();
        });
  }

  void CloseEarly() {
    error_code ignored;
    if (script_.ending == task_ending::kReset)
      socket_.set_option(tcp::socket::linger(true, 0), ignored);
    else
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  endpoint_state& state_;
  boost::beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  std::string job_;
  std::string task_;
  task_script script_;
  std::string output_;
  bool close_after_send_ = false;
};

// Accepts connections, announces the endpoint to its agent and stops on SIGTERM
// or SIGINT.
class endpoint_server {
 public:
  endpoint_server(asio::io_context& context,
                  endpoint_state& state,
                  net::tcp_address agent)
      : context_(context),
        state_(state),
        agent_(std::move(agent)),
        acceptor_(context, tcp::endpoint(asio::ip::make_address(kLoopback), 0)),
        announce_timer_(context),
        stop_timer_(context),
        signals_(context, SIGTERM, SIGINT),
        client_(net::http_client::Create({})) {}

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void Start() {
    Accept();
    Announce();
    signals_.async_wait([this](const error_code& code, int) {
      if (!code)
        Stop();
    });
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const error_code& code, tcp::socket socket) {
      if (code)
        return;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<agent_connection>(std::move(socket), state_)
          ->ReadRequest();
      Accept();
    });
  }

  void Announce() {
    boost::json::object body;
    body["endpoint"] = state_.options.endpoint;
    body["address"] = kLoopback;
    body["port"] = port();
    net::http_request request;
    request.method = "PUT";
    request.target = "/v1/announcement";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = boost::json::serialize(body);
    client_->Call(agent_, std::move(request), kAnnounceTimeout,
                  [](const net::http_reply&) {});
    announce_timer_.expires_after(kAnnounceInterval);
    announce_timer_.async_wait([this](const error_code& code) {
      if (!code && !state_.stopping)
        Announce();
    });
  }

  void Stop() {
    state_.stopping = true;
    announce_timer_.cancel();
    net::http_request request;
    request.method = "DELETE";
    request.target = "/v1/announcement";
    client_->Call(agent_, std::move(request), kAnnounceTimeout,
                  [this](const net::http_reply&) {
                    asio::post(context_, [this] { StopWhenIdle(); });
                  });
  }

  // Stops the event loop once no task is running. Called after the call that
  // withdraws the announcement has ended.
  void StopWhenIdle() {
    if (state_.running_tasks == 0) {
      context_.stop();
      return;
    }
    stop_timer_.expires_after(kIdleCheckInterval);
    stop_timer_.async_wait([this](const error_code&) { StopWhenIdle(); });
  }

  asio::io_context& context_;
  endpoint_state& state_;
  net::tcp_address agent_;
  tcp::acceptor acceptor_;
  asio::steady_timer announce_timer_;
  asio::steady_timer stop_timer_;
  asio::signal_set signals_;
  std::unique_ptr<net::http_client> client_;
};

// Writes a temporary file and renames it, so that a reader never sees a partial
// file.
bool WritePortFile(const std::string& path, std::uint16_t port) {
  const std::string temporary_path = path + ".partial";
  {
    std::ofstream file(temporary_path);
    file << port << '\n';
    if (!file.flush())
      return false;
  }
  return std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

int Fail(const std::string& message) {
  std::fprintf(stderr, "endpoint_standin: %s\n", message.c_str());
  return 1;
}

int Run(const endpoint_options& options) {
  auto agent = net::tcp_address::Parse(options.agent);
  if (!agent)
    return Fail("--agent " + options.agent + ": " + agent.error().ToString());
  auto ledger = ledger_writer::Open(options.ledger);
  if (!ledger)
    return Fail(ledger.error().ToString());
  asio::io_context context(1);
  endpoint_state state{options, std::move(*ledger), 0, false};
  endpoint_server server(context, state, std::move(*agent));
  if (!options.port_file.empty() &&
      !WritePortFile(options.port_file, server.port()))
    return Fail("cannot write port file " + options.port_file);
  server.Start();
  context.run();
  return 0;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  endpoint_options options;
  CLI::App app("Stand-in for an endpoint, for tests");
  app.add_option("--agent", options.agent, "Agent's HTTP address, host:port")
      ->required();
  app.add_option("--endpoint", options.endpoint, "Name of the endpoint object")
      ->required();
  app.add_option("--ledger", options.ledger, "File that records every start")
      ->required();
  app.add_option("--port-file", options.port_file,
                 "File to write the chosen port to");
  app.add_option("--speed", options.speed, "Divides every run time")
      ->check(CLI::PositiveNumber);
  app.add_flag("--fail-all", options.fail_all, "Fail every task");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}

}  // namespace
}  // namespace egretrack::standins

int main(int argc, char** argv) {
  return egretrack::standins::Main(argc, argv);
}
