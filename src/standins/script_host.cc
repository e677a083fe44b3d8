#include "standins/script_host.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <lua.hpp>

#include "egretrack/net/http.h"
#include "standins/child_process.h"
#include "standins/ledger.h"
#include "standins/raw_connection.h"
#include "standins/relay.h"

namespace egretrack::standins {
namespace {

// Lua instructions between two checks of the time limit.
constexpr int kHookInstructions = 10000;
constexpr milliseconds kDefaultCallTimeout{30000};
// The extra space of the Lua state holds the address of the host.
constexpr std::size_t kHostPointerBytes = LUA_EXTRASPACE;
static_assert(kHostPointerBytes == sizeof(void*));

// ---- Arguments and results ------------------------------------------------
// lua_error() leaves a function by longjmp(), which skips destructors. The
// functions below therefore make only calls that raise no Lua error and return
// failures as result. Dispatch() raises the Lua error when no object is left to
// destroy.

std::string TextArgument(lua_State* lua, int index) {
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, index, &size);
  return text == nullptr ? std::string() : std::string(text, size);
}

lua_Integer NumberArgument(lua_State* lua,
                           int index,
                           lua_Integer default_value) {
  if (lua_isnumber(lua, index) == 0)
    return default_value;
  return static_cast<lua_Integer>(lua_tonumber(lua, index));
}

milliseconds DurationArgument(lua_State* lua,
                              int index,
                              milliseconds default_value) {
  return milliseconds(NumberArgument(lua, index, default_value.count()));
}

std::vector<std::string> ListArgument(lua_State* lua, int index) {
  std::vector<std::string> items;
  if (!lua_istable(lua, index))
    return items;
  const auto count = static_cast<lua_Integer>(lua_rawlen(lua, index));
  for (lua_Integer i = 1; i <= count; ++i) {
    lua_rawgeti(lua, index, i);
    items.push_back(TextArgument(lua, -1));
    lua_pop(lua, 1);
  }
  return items;
}

// A list of {name, value} pairs.
std::vector<net::header> HeadersArgument(lua_State* lua, int index) {
  std::vector<net::header> headers;
  if (!lua_istable(lua, index))
    return headers;
  const auto count = static_cast<lua_Integer>(lua_rawlen(lua, index));
  for (lua_Integer i = 1; i <= count; ++i) {
    lua_rawgeti(lua, index, i);
    const auto pair = ListArgument(lua, lua_gettop(lua));
    if (pair.size() == 2)
      headers.push_back({pair[0], pair[1]});
    lua_pop(lua, 1);
  }
  return headers;
}

void PushText(lua_State* lua, std::string_view text) {
  lua_pushlstring(lua, text.data(), text.size());
}

void SetField(lua_State* lua, const char* key, std::string_view text) {
  PushText(lua, text);
  lua_setfield(lua, -2, key);
}

void SetField(lua_State* lua, const char* key, lua_Integer number) {
  lua_pushinteger(lua, number);
  lua_setfield(lua, -2, key);
}

void PushJson(lua_State* lua, const boost::json::value& value);

void PushJsonArray(lua_State* lua, const boost::json::array& items) {
  lua_createtable(lua, static_cast<int>(items.size()), 0);
  lua_Integer position = 0;
  for (const auto& item : items) {
    PushJson(lua, item);
    lua_rawseti(lua, -2, ++position);
  }
}

void PushJsonObject(lua_State* lua, const boost::json::object& members) {
  lua_createtable(lua, 0, static_cast<int>(members.size()));
  for (const auto& member : members) {
    PushText(lua, {member.key().data(), member.key().size()});
    PushJson(lua, member.value());
    lua_rawset(lua, -3);
  }
}

void PushJson(lua_State* lua, const boost::json::value& value) {
  // The parser limits the nesting depth to 32.
  lua_checkstack(lua, 4);
  switch (value.kind()) {
    case boost::json::kind::null:
      lua_pushnil(lua);
      return;
    case boost::json::kind::bool_:
      lua_pushboolean(lua, value.get_bool() ? 1 : 0);
      return;
    case boost::json::kind::int64:
      lua_pushinteger(lua, value.get_int64());
      return;
    case boost::json::kind::uint64:
      lua_pushinteger(lua, static_cast<lua_Integer>(value.get_uint64()));
      return;
    case boost::json::kind::double_:
      lua_pushnumber(lua, value.get_double());
      return;
    case boost::json::kind::string:
      PushText(lua, {value.get_string().data(), value.get_string().size()});
      return;
    case boost::json::kind::array:
      PushJsonArray(lua, value.get_array());
      return;
    case boost::json::kind::object:
      PushJsonObject(lua, value.get_object());
      return;
  }
}

// Pushes the status, body and headers (names in lower case); for a failed call,
// nil, the error message and whether bytes were sent.
int PushReply(lua_State* lua, const net::http_reply& reply) {
  if (!reply.ok) {
    lua_pushnil(lua);
    PushText(lua, reply.failure.cause.ToString());
    lua_pushboolean(lua, reply.failure.stage == net::call_stage::kSent ? 1 : 0);
    return 3;
  }
  lua_pushinteger(lua, reply.response.status);
  PushText(lua, reply.response.body);
  lua_createtable(lua, 0, static_cast<int>(reply.response.headers.size()));
  for (const auto& header : reply.response.headers) {
    std::string name = header.name;
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
      return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    PushText(lua, name);
    PushText(lua, header.value);
    lua_rawset(lua, -3);
  }
  return 3;
}

result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return MakeError(errc::kNotFound, path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// An HTTP call that runs while the script continues.
class pending_call {
 public:
  void Complete(net::http_reply reply) {
    const std::lock_guard lock(mutex_);
    reply_ = std::move(reply);
    done_.notify_all();
  }

  // Returns null if the call has not completed within the timeout.
  const net::http_reply* Wait(milliseconds timeout) {
    std::unique_lock lock(mutex_);
    done_.wait_for(lock, timeout, [this] { return reply_.has_value(); });
    return reply_ ? &*reply_ : nullptr;
  }

 private:
  std::mutex mutex_;
  std::condition_variable done_;
  std::optional<net::http_reply> reply_;
};

struct signal_name {
  std::string_view name;
  int signal;
};
constexpr std::array<signal_name, 5> kSignals = {{{"KILL", SIGKILL},
                                                  {"TERM", SIGTERM},
                                                  {"STOP", SIGSTOP},
                                                  {"CONT", SIGCONT},
                                                  {"INT", SIGINT}}};

struct lua_closer {
  void operator()(lua_State* lua) const { lua_close(lua); }
};

class script_host_impl final : public script_host {
 public:
  explicit script_host_impl(script_options options)
      : options_(std::move(options)),
        deadline_(monotonic_clock::now() + options_.timeout),
        client_(net::http_client::Create({.threads = 2})),
        relay_hub_(relay_hub::Create()),
        lua_(luaL_newstate()) {
    lua_State* lua = lua_.get();
    luaL_openlibs(lua);
    script_host_impl* self = this;
    std::memcpy(lua_getextraspace(lua), &self, kHostPointerBytes);
    lua_sethook(lua, CheckTimeLimit, LUA_MASKCOUNT, kHookInstructions);
    Register();
  }

  result<void> RunFile(const std::string& path) override {
    lua_State* lua = lua_.get();
    lua_pushcfunction(lua, AddTraceback);
    int status = luaL_loadfile(lua, path.c_str());
    if (status == LUA_OK)
      status = lua_pcall(lua, 0, 0, -2);
    if (status == LUA_OK) {
      lua_settop(lua, 0);
      return {};
    }
    const std::string message = TextArgument(lua, -1);
    lua_settop(lua, 0);
    return MakeError(errc::kInvalidArgument, message);
  }

  const std::string& output() const override { return output_; }

  std::vector<std::string> CheckLedgers() const override {
    auto lines = ReadLedgers();
    if (!lines)
      return {lines.error().ToString()};
    return CheckLedger(*lines, not_run_jobs_, retryable_jobs_);
  }

  void EndProcesses() override { children_.clear(); }

 private:
  using method = result<int> (script_host_impl::*)(lua_State*);
  struct native_function {
    const char* name;
    method function;
  };
  static const std::array<native_function, 33> kFunctions;

  static script_host_impl* HostOf(lua_State* lua) {
    script_host_impl* self = nullptr;
    std::memcpy(&self, lua_getextraspace(lua), kHostPointerBytes);
    return self;
  }

  static void CheckTimeLimit(lua_State* lua, lua_Debug* /*event*/) {
    if (HostOf(lua)->Remaining().count() <= 0)
      luaL_error(lua, "scenario exceeded its time limit");
  }

  static int AddTraceback(lua_State* lua) {
    luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
    return 1;
  }

  static int Dispatch(lua_State* lua) {
    {
      const auto index =
          static_cast<std::size_t>(lua_tointeger(lua, lua_upvalueindex(1)));
      script_host_impl* self = HostOf(lua);
      const result<int> result_count = (self->*kFunctions[index].function)(lua);
      if (result_count)
        return *result_count;
      PushText(lua, std::string(kFunctions[index].name) + ": " +
                        result_count.error().ToString());
    }
    return lua_error(lua);
  }

  void Register() {
    lua_State* lua = lua_.get();
    lua_createtable(lua, 0, static_cast<int>(kFunctions.size()));
    for (std::size_t i = 0; i < kFunctions.size(); ++i) {
      lua_pushinteger(lua, static_cast<lua_Integer>(i));
      lua_pushcclosure(lua, Dispatch, 1);
      lua_setfield(lua, -2, kFunctions[i].name);
    }
    lua_setglobal(lua, "native");
  }

  milliseconds Remaining() const {
    return std::chrono::duration_cast<milliseconds>(deadline_ -
                                                    monotonic_clock::now());
  }

  // Limits a wait to the remaining time, so that a script ends soon after its
  // time limit.
  milliseconds LimitToRemaining(milliseconds timeout) const {
    return std::clamp(timeout, milliseconds(0),
                      std::max(Remaining(), milliseconds(1)));
  }

  template <typename Item>
  static result<Item*> FindByHandle(std::deque<Item>& items,
                                    lua_State* lua,
                                    const char* type_name) {
    const lua_Integer handle = NumberArgument(lua, 1, 0);
    if (handle < 1 || handle > static_cast<lua_Integer>(items.size()))
      return MakeError(errc::kNotFound, type_name);
    return &items[static_cast<std::size_t>(handle - 1)];
  }

  template <typename Item>
  static int PushHandle(lua_State* lua, const std::deque<Item>& items) {
    lua_pushinteger(lua, static_cast<lua_Integer>(items.size()));
    return 1;
  }

  // ---- Processes ----

  // spawn(program, output file, {arguments}, error file) -> process
  // Without an error file, standard error also goes to the output file.
  result<int> Spawn(lua_State* lua) {
    const std::string program =
        options_.programs_directory + "/" + TextArgument(lua, 1);
    const auto arguments = ListArgument(lua, 3);
    const std::string output = TextArgument(lua, 2);
    const std::string errors = TextArgument(lua, 4);
    auto child = child_process::Start(program, arguments, output,
                                      errors.empty() ? output : errors);
    if (!child)
      return child.error();
    children_.push_back(std::move(*child));
    return PushHandle(lua, children_);
  }

  // signal(process, name)
  result<int> Signal(lua_State* lua) {
    auto child = FindByHandle(children_, lua, "process");
    if (!child)
      return child.error();
    const std::string name = TextArgument(lua, 2);
    for (const auto& candidate : kSignals) {
      if (candidate.name == name)
        (*child)->Signal(candidate.signal);
    }
    return 0;
  }

  // exit_code(process) -> number, or nil while the process runs
  result<int> ExitCode(lua_State* lua) {
    auto child = FindByHandle(children_, lua, "process");
    if (!child)
      return child.error();
    if ((*child)->IsRunning())
      lua_pushnil(lua);
    else
      lua_pushinteger(lua, (*child)->exit_code().value_or(-1));
    return 1;
  }

  // ---- Relays ----

  // relay() -> relay, port
  result<int> OpenRelay(lua_State* lua) {
    relays_.push_back(relay_hub_->Open());
    lua_pushinteger(lua, static_cast<lua_Integer>(relays_.size()));
    lua_pushinteger(lua, relays_.back()->port());
    return 2;
  }

  result<int> WithRelay(lua_State* lua,
                        const std::function<int(relay&)>& action) {
    auto found = FindByHandle(relays_, lua, "relay");
    if (!found)
      return found.error();
    return action(***found);
  }

  // relay_target(relay, port)
  result<int> RelayTarget(lua_State* lua) {
    const auto port = static_cast<std::uint16_t>(NumberArgument(lua, 2, 0));
    return WithRelay(lua, [port](relay& found) {
      found.SetTarget(port);
      return 0;
    });
  }

  // relay_cut(relay)
  result<int> RelayCut(lua_State* lua) {
    return WithRelay(lua, [](relay& found) {
      found.CloseConnections();
      return 0;
    });
  }

  // relay_silence(relay)
  result<int> RelaySilence(lua_State* lua) {
    return WithRelay(lua, [](relay& found) {
      found.BlackholeConnections();
      return 0;
    });
  }

  // relay_block(relay, blocked)
  result<int> RelayBlock(lua_State* lua) {
    const bool blocked = lua_toboolean(lua, 2) != 0;
    return WithRelay(lua, [blocked](relay& found) {
      found.BlackholeNewConnections(blocked);
      return 0;
    });
  }

  // relay_delay(relay, milliseconds)
  result<int> RelayDelay(lua_State* lua) {
    const milliseconds delay = DurationArgument(lua, 2, milliseconds(0));
    return WithRelay(lua, [delay](relay& found) {
      found.SetDelay(delay);
      return 0;
    });
  }

  // relay_duplicate(relay, duplicate)
  result<int> RelayDuplicate(lua_State* lua) {
    const bool duplicate = lua_toboolean(lua, 2) != 0;
    return WithRelay(lua, [duplicate](relay& found) {
      found.SetDuplicate(duplicate);
      return 0;
    });
  }

  // relay_connections(relay) -> count
  result<int> RelayConnections(lua_State* lua) {
    return WithRelay(lua, [lua](relay& found) {
      lua_pushinteger(lua, static_cast<lua_Integer>(found.connection_count()));
      return 1;
    });
  }

  // ---- HTTP ----

  // http(address, method, target, headers, body, timeout) -> see PushReply()
  result<int> Http(lua_State* lua) {
    const auto address = net::tcp_address::Parse(TextArgument(lua, 1));
    if (!address)
      return address.error();
    const net::http_reply reply =
        client_->CallAndWait(*address, RequestArguments(lua), CallTimeout(lua));
    return PushReply(lua, reply);
  }

  // http_start(same arguments as http) -> call
  // Does not wait for the response.
  result<int> HttpStart(lua_State* lua) {
    const auto address = net::tcp_address::Parse(TextArgument(lua, 1));
    if (!address)
      return address.error();
    auto call = std::make_shared<pending_call>();
    client_->Call(
        *address, RequestArguments(lua), CallTimeout(lua),
        [call](net::http_reply reply) { call->Complete(std::move(reply)); });
    pending_calls_.push_back(std::move(call));
    return PushHandle(lua, pending_calls_);
  }

  // http_wait(call, milliseconds) -> same as http, or nothing if the call has
  // not completed within this time
  result<int> HttpWait(lua_State* lua) {
    auto call = FindByHandle(pending_calls_, lua, "call");
    if (!call)
      return call.error();
    const auto timeout =
        LimitToRemaining(DurationArgument(lua, 2, kDefaultCallTimeout));
    const net::http_reply* reply = (**call)->Wait(timeout);
    return reply == nullptr ? 0 : PushReply(lua, *reply);
  }

  static net::http_request RequestArguments(lua_State* lua) {
    net::http_request request;
    request.method = TextArgument(lua, 2);
    request.target = TextArgument(lua, 3);
    request.headers = HeadersArgument(lua, 4);
    request.body = TextArgument(lua, 5);
    return request;
  }

  milliseconds CallTimeout(lua_State* lua) const {
    return LimitToRemaining(DurationArgument(lua, 6, kDefaultCallTimeout));
  }

  // ---- Raw connections ----

  // tcp_open(address) -> connection, or nil and the error message
  result<int> TcpOpen(lua_State* lua) {
    const auto address = net::tcp_address::Parse(TextArgument(lua, 1));
    if (!address)
      return address.error();
    auto opened = raw_connection::Open(*address);
    if (!opened) {
      lua_pushnil(lua);
      PushText(lua, opened.error().ToString());
      return 2;
    }
    raw_connections_.push_back(
        std::make_unique<raw_connection>(std::move(*opened)));
    return PushHandle(lua, raw_connections_);
  }

  // tcp_send(connection, bytes) -> whether all bytes were sent
  result<int> TcpSend(lua_State* lua) {
    auto found = FindByHandle(raw_connections_, lua, "connection");
    if (!found)
      return found.error();
    const bool sent =
        **found != nullptr && (**found)->Send(TextArgument(lua, 2)).has_value();
    lua_pushboolean(lua, sent ? 1 : 0);
    return 1;
  }

  // tcp_receive(connection, milliseconds) -> bytes (empty if the peer closed
  // the connection), or nil and the error message
  result<int> TcpReceive(lua_State* lua) {
    auto found = FindByHandle(raw_connections_, lua, "connection");
    if (!found)
      return found.error();
    if (**found == nullptr)
      return MakeError(errc::kNotFound, "closed connection");
    const auto timeout =
        LimitToRemaining(DurationArgument(lua, 2, kDefaultCallTimeout));
    auto bytes = (**found)->Receive(timeout);
    if (!bytes) {
      lua_pushnil(lua);
      PushText(lua, bytes.error().ToString());
      return 2;
    }
    PushText(lua, *bytes);
    return 1;
  }

  // tcp_close(connection)
  result<int> TcpClose(lua_State* lua) {
    auto found = FindByHandle(raw_connections_, lua, "connection");
    if (!found)
      return found.error();
    (*found)->reset();
    return 0;
  }

  // ---- Time, files, output ----

  // now() -> milliseconds of a monotonic clock
  result<int> Now(lua_State* lua) {
    const auto now = monotonic_clock::now().time_since_epoch();
    lua_pushnumber(lua, static_cast<double>(now.count()) / 1000);
    return 1;
  }

  // wall() -> microseconds since the Unix epoch
  result<int> Wall(lua_State* lua) {
    lua_pushinteger(lua, WallNow().time_since_epoch().count());
    return 1;
  }

  // pause(milliseconds)
  // Scripts call it between two checks of a condition.
  result<int> Pause(lua_State* lua) {
    if (Remaining().count() <= 0)
      return MakeError(errc::kTimeout, "scenario exceeded its time limit");
    std::this_thread::sleep_for(
        LimitToRemaining(DurationArgument(lua, 1, milliseconds(10))));
    return 0;
  }

  // read_file(path) -> text, or nil if the file cannot be read
  result<int> ReadText(lua_State* lua) {
    const auto text = ReadFile(TextArgument(lua, 1));
    if (text)
      PushText(lua, *text);
    else
      lua_pushnil(lua);
    return 1;
  }

  // write_file(path, text)
  result<int> WriteText(lua_State* lua) {
    const std::string path = TextArgument(lua, 1);
    std::ofstream file(path, std::ios::binary);
    file << TextArgument(lua, 2);
    if (!file.flush())
      return MakeError(errc::kSystem, path);
    return 0;
  }

  // remove_file(path)
  result<int> RemoveFile(lua_State* lua) {
    std::remove(TextArgument(lua, 1).c_str());
    return 0;
  }

  // directory() -> directory for the files of this run
  result<int> Directory(lua_State* lua) {
    PushText(lua, options_.run_directory);
    return 1;
  }

  // scenario() -> directory of the scenario
  result<int> Scenario(lua_State* lua) {
    PushText(lua, options_.scenario_directory);
    return 1;
  }

  // json(text) -> value, or nil and the error message
  result<int> Json(lua_State* lua) {
    boost::system::error_code code;
    const auto value = boost::json::parse(TextArgument(lua, 1), code);
    if (code) {
      lua_pushnil(lua);
      PushText(lua, code.message());
      return 2;
    }
    PushJson(lua, value);
    return 1;
  }

  // print(text)
  // The output is compared with the reference output.
  result<int> Print(lua_State* lua) {
    const std::string line = TextArgument(lua, 1) + "\n";
    output_ += line;
    if (options_.verbose) {
      std::fputs(line.c_str(), stdout);
      std::fflush(stdout);
    }
    return 0;
  }

  // log(text)
  // Writes to standard error, which is not compared.
  result<int> Log(lua_State* lua) {
    const auto now = monotonic_clock::now().time_since_epoch();
    std::fprintf(stderr, "%8.3f %s\n", static_cast<double>(now.count()) / 1e6,
                 TextArgument(lua, 1).c_str());
    return 0;
  }

  // ---- Ledgers ----

  // add_ledger(path)
  result<int> AddLedger(lua_State* lua) {
    const std::string path = TextArgument(lua, 1);
    if (std::find(ledger_paths_.begin(), ledger_paths_.end(), path) ==
        ledger_paths_.end())
      ledger_paths_.push_back(path);
    return 0;
  }

  // ledger() -> list of {event, time, job, task, word}
  result<int> Ledger(lua_State* lua) {
    const auto lines = ReadLedgers();
    if (!lines)
      return lines.error();
    lua_createtable(lua, static_cast<int>(lines->size()), 0);
    lua_Integer position = 0;
    for (const auto& line : *lines) {
      lua_createtable(lua, 0, 5);
      SetField(lua, "event",
               line.event == ledger_event::kStart ? "start" : "end");
      SetField(lua, "time", line.time.time_since_epoch().count());
      SetField(lua, "job", line.job);
      SetField(lua, "task", static_cast<lua_Integer>(line.task));
      SetField(lua, "word", line.detail);
      lua_rawseti(lua, -2, ++position);
    }
    return 1;
  }

  // not_run(job)
  // Declares that the answer of the job said "not run".
  result<int> NotRun(lua_State* lua) {
    not_run_jobs_.push_back(TextArgument(lua, 1));
    return 0;
  }

  // allow_retry(job)
  // Declares a job whose single task is of an idempotent kind and may be
  // retried.
  result<int> AllowRetry(lua_State* lua) {
    retryable_jobs_.push_back(TextArgument(lua, 1));
    return 0;
  }

  result<std::vector<ledger_line>> ReadLedgers() const {
    std::vector<ledger_line> all_lines;
    for (const auto& path : ledger_paths_) {
      const auto text = ReadFile(path);
      // A stand-in that has not started yet has no ledger file.
      if (!text)
        continue;
      auto lines = ParseLedger(*text);
      if (!lines)
        return MakeError(lines.error().code, path);
      all_lines.insert(all_lines.end(), lines->begin(), lines->end());
    }
    return all_lines;
  }

  script_options options_;
  monotonic_time deadline_;
  std::unique_ptr<net::http_client> client_;
  std::unique_ptr<relay_hub> relay_hub_;
  std::deque<std::unique_ptr<relay>> relays_;
  std::deque<std::shared_ptr<pending_call>> pending_calls_;
  std::deque<std::unique_ptr<raw_connection>> raw_connections_;
  std::vector<std::string> ledger_paths_;
  std::vector<std::string> not_run_jobs_;
  std::vector<std::string> retryable_jobs_;
  std::string output_;
  std::deque<child_process> children_;
  std::unique_ptr<lua_State, lua_closer> lua_;
};

const std::array<script_host_impl::native_function, 33>
    script_host_impl::kFunctions = {{
        {"spawn", &script_host_impl::Spawn},
        {"signal", &script_host_impl::Signal},
        {"exit_code", &script_host_impl::ExitCode},
        {"relay", &script_host_impl::OpenRelay},
        {"relay_target", &script_host_impl::RelayTarget},
        {"relay_cut", &script_host_impl::RelayCut},
        {"relay_silence", &script_host_impl::RelaySilence},
        {"relay_block", &script_host_impl::RelayBlock},
        {"relay_delay", &script_host_impl::RelayDelay},
        {"relay_duplicate", &script_host_impl::RelayDuplicate},
        {"relay_connections", &script_host_impl::RelayConnections},
        {"http", &script_host_impl::Http},
        {"http_start", &script_host_impl::HttpStart},
        {"http_wait", &script_host_impl::HttpWait},
        {"tcp_open", &script_host_impl::TcpOpen},
        {"tcp_send", &script_host_impl::TcpSend},
        {"tcp_receive", &script_host_impl::TcpReceive},
        {"tcp_close", &script_host_impl::TcpClose},
        {"now", &script_host_impl::Now},
        {"wall", &script_host_impl::Wall},
        {"pause", &script_host_impl::Pause},
        {"read_file", &script_host_impl::ReadText},
        {"write_file", &script_host_impl::WriteText},
        {"remove_file", &script_host_impl::RemoveFile},
        {"directory", &script_host_impl::Directory},
        {"scenario", &script_host_impl::Scenario},
        {"json", &script_host_impl::Json},
        {"print", &script_host_impl::Print},
        {"log", &script_host_impl::Log},
        {"add_ledger", &script_host_impl::AddLedger},
        {"ledger", &script_host_impl::Ledger},
        {"not_run", &script_host_impl::NotRun},
        {"allow_retry", &script_host_impl::AllowRetry},
    }};

}  // namespace

std::unique_ptr<script_host> script_host::Create(script_options options) {
  return std::make_unique<script_host_impl>(std::move(options));
}

}  // namespace egretrack::standins
