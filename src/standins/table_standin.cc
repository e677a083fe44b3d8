#include <csignal>
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>

#include "egretrack/base/file.h"
#include "standins/table_service.h"

namespace egretrack::standins {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitListenFailed = 3;

int Main(int argc, char** argv) {
  CLI::App app("In-memory stand-in for the platform's table service");
  std::string port_file;
  std::uint16_t port = 0;
  app.add_option("--port-file", port_file, "File to write the port in use to");
  app.add_option("--port", port, "Port to listen on; 0 lets the system choose");
  CLI11_PARSE(app, argc, argv);

  // Blocks the signals before any thread starts, so that only sigwait()
  // receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const auto service = table_service::Listen({"127.0.0.1", port});
  if (!service) {
    std::fprintf(stderr, "%s\n", service.error().ToString().c_str());
    return kExitListenFailed;
  }
  if (!port_file.empty()) {
    const std::uint16_t chosen = (*service)->local_address().port;
    const auto written = ReplaceFile(port_file, std::to_string(chosen) + "\n");
    if (!written) {
      std::fprintf(stderr, "%s\n", written.error().ToString().c_str());
      return kExitListenFailed;
    }
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return kExitOk;
}

}  // namespace
}  // namespace egretrack::standins

int main(int argc, char** argv) {
  return egretrack::standins::Main(argc, argv);
}
