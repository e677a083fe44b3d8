#include "hostile_clients/attack_table.h"

#include <array>
#include <string>

namespace egretrack::hostile_clients {
namespace {

constexpr std::size_t kMebibyte = 1U << 20U;
// Size of the block that a stream repeats, which is sent with one system call.
constexpr std::size_t kBlockBytes = 65536;
// Largest body that callers are promised.
constexpr std::size_t kJobBodyBytes = 262144;
// Largest body that the readiness and internal ports accepted before the
// limits.
constexpr std::size_t kLargeBodyBytes = 32 * kMebibyte;

std::string Repeat(std::string_view unit, std::size_t bytes) {
  std::string text;
  text.reserve(bytes + unit.size());
  while (text.size() < bytes)
    text += unit;
  return text;
}

std::string_view PathOf(attacked_port port) {
  switch (port) {
    case attacked_port::kJobs:
      return "/find/hostile";
    case attacked_port::kReadiness:
      return "/ready";
    case attacked_port::kReports:
      return "/instances/w0/heartbeat";
    default:
      return "/metrics";
  }
}

std::string RequestLine(std::string_view method, std::string_view path) {
  return std::string(method) + " " + std::string(path) +
         " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
}

std::string ChunkedHead(attacked_port port) {
  return RequestLine("POST", PathOf(port)) +
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string PostWithBody(std::string_view path, const std::string& body) {
  return RequestLine("POST", path) +
         "X-Deadline-Ms: 86400000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

byte_stream EndlessTrailers(attacked_port port, std::size_t /*number*/) {
  return {ChunkedHead(port) + "1\r\nx\r\n0\r\n",
          Repeat("a: " + std::string(1000, 'b') + "\r\n", kBlockBytes),
          64 * kMebibyte};
}

byte_stream EndlessTrailerLine(attacked_port port, std::size_t /*number*/) {
  return {ChunkedHead(port) + "1\r\nx\r\n0\r\na: ",
          std::string(kBlockBytes, 'b'), 64 * kMebibyte};
}

byte_stream EndlessChunkExtension(attacked_port port, std::size_t /*number*/) {
  return {ChunkedHead(port) + "1;a=", std::string(kBlockBytes, 'b'),
          64 * kMebibyte};
}

byte_stream OneByteChunks(attacked_port port, std::size_t /*number*/) {
  return {ChunkedHead(port), Repeat("1\r\nx\r\n", kBlockBytes),
          128 * kMebibyte};
}

// All of a body but its last byte, so that it stays in memory.
byte_stream LargeBodies(attacked_port port, std::size_t /*number*/) {
  const std::string head =
      RequestLine("POST", PathOf(port)) +
      "Content-Length: " + std::to_string(kLargeBodyBytes) + "\r\n\r\n";
  return {head, std::string(kBlockBytes, 'b'),
          head.size() + kLargeBodyBytes - 1};
}

byte_stream OneByte(attacked_port /*port*/, std::size_t /*number*/) {
  return {"P", "P", 1};
}

// Pipelined requests with a method that the response repeats.
byte_stream UnreadResponses(attacked_port /*port*/, std::size_t /*number*/) {
  const std::string request =
      RequestLine(std::string(6000, 'M'), "/find/") + "\r\n";
  return {"", Repeat(request, kBlockBytes), kMebibyte};
}

byte_stream JsonBodies(attacked_port port, std::size_t number) {
  constexpr std::string_view kStart = R"({"best_effort":true,"steps":[)";
  const std::size_t room =
      (port == attacked_port::kReports ? 65536 : kJobBodyBytes) - 100;
  const std::array bodies{
      std::string(room, '['),
      std::string(kStart) + Repeat("{},", room) + "{}]}",
      std::string(kStart) + R"({"count":1,"after":[)" + Repeat("0,", room) +
          "0]}]}",
      Repeat(R"({"a":)", room),
  };
  const std::string request =
      PostWithBody(PathOf(port), bodies[number % bodies.size()]);
  return {"", request, 40 * request.size()};
}

// Jobs that wait: the tasks of the second step need the first one to be done,
// which takes longer than the test.
byte_stream WideJobs(attacked_port /*port*/, std::size_t number) {
  const std::string request = PostWithBody(
      "/find/wide-" + std::to_string(number),
      R"({"best_effort":true,"spec":"{\"ms\":600000,\"cpu\":1600,\"pad\":\")" +
          std::string(3900, 'p') +
          R"(\"}","steps":[{"count":1,"cpu":1600,"estimate_ms":600000},)"
          R"({"count":1199,"cpu":1600,"estimate_ms":600000,"after":[0]}]})");
  return {request, request, request.size()};
}

// The greeting of ZMTP 3.0 without security and the READY command of a dealer.
std::string ZmtpHandshake() {
  using namespace std::string_literals;
  std::string greeting = "\xff\0\0\0\0\0\0\0\1\x7f\3\0NULL"s;
  greeting.resize(64, '\0');
  const std::string ready =
      "\5READY\13Socket-Type\0\0\0\6DEALER\10Identity\0\0\0\0"s;
  return greeting + '\4' + static_cast<char>(ready.size()) + ready;
}

// All of a frame of 60 MiB but its last byte.
byte_stream OversizedFrames(attacked_port /*port*/, std::size_t /*number*/) {
  using namespace std::string_literals;
  constexpr std::uint32_t kFrameBytes = 60 * kMebibyte;
  std::string head = ZmtpHandshake() + "\2\0\0\0\0"s;
  for (const unsigned shift : {24U, 16U, 8U, 0U})
    head += static_cast<char>((kFrameBytes >> shift) & 0xffU);
  return {head, std::string(kBlockBytes, 'z'), head.size() + kFrameBytes - 1};
}

// A message of small frames without a last one.
byte_stream EndlessFrameParts(attacked_port /*port*/, std::size_t /*number*/) {
  return {ZmtpHandshake(),
          Repeat(std::string("\1\xc8") + std::string(200, 'z'), kBlockBytes),
          64 * kMebibyte};
}

constexpr std::array kHttpPorts{attacked_port::kJobs, attacked_port::kReadiness,
                                attacked_port::kEntryInternal,
                                attacked_port::kReports,
                                attacked_port::kAgentInternal};
constexpr std::array kJobsPort{attacked_port::kJobs};
constexpr std::array kJsonPorts{attacked_port::kJobs, attacked_port::kReports};
constexpr std::array kAgentsPort{attacked_port::kAgents};

// A machine with 400 descriptors, of which the platform keeps 200 for files.
constexpr std::string_view kFewConnections =
    "connections = 100\nmemory_mb = 120\nmax_fds = 400\n";
constexpr std::size_t kFewDescriptors = 200;
// Each wide job needs a connection of its caller.
constexpr std::string_view kManyConnections =
    "connections = 2000\nmemory_mb = 120\n";
constexpr std::size_t kManyDescriptors = 2200;

constexpr attack FewClients(std::string_view name,
                            std::span<const attacked_port> ports,
                            std::size_t connections_per_port,
                            byte_stream (*make_stream)(attacked_port,
                                                       std::size_t)) {
  return {name,        ports,           connections_per_port,
          make_stream, kFewConnections, kFewDescriptors};
}

constexpr std::array kAttacks{
    FewClients("endless_trailers", kHttpPorts, 4, &EndlessTrailers),
    FewClients("endless_trailer_line", kHttpPorts, 4, &EndlessTrailerLine),
    FewClients("endless_chunk_extension",
               kHttpPorts,
               4,
               &EndlessChunkExtension),
    FewClients("one_byte_chunks", kHttpPorts, 4, &OneByteChunks),
    FewClients("large_bodies", kHttpPorts, 4, &LargeBodies),
    FewClients("one_byte_connections", kHttpPorts, 400, &OneByte),
    FewClients("unread_responses", kHttpPorts, 200, &UnreadResponses),
    FewClients("json_bodies", kJsonPorts, 16, &JsonBodies),
    attack{"wide_jobs", kJobsPort, 1500, &WideJobs, kManyConnections,
           kManyDescriptors, false},
    FewClients("oversized_frames", kAgentsPort, 4, &OversizedFrames),
    FewClients("endless_frame_parts", kAgentsPort, 4, &EndlessFrameParts),
};

}  // namespace

std::span<const attack> AllAttacks() {
  return kAttacks;
}

}  // namespace egretrack::hostile_clients
