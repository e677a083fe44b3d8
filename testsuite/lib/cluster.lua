-- Functions for scenarios. A run has one cluster at a time: the table stand-in
-- "table", entries "e1"..., agents "a1"..., and an endpoint stand-in "w1"...
-- beside each agent. Processes get the addresses of relays of the runner
-- instead of each other's addresses, so that a restarted process may listen on
-- another port and a scenario can disturb connections. Times are in
-- milliseconds.

local kStartTimeoutMs = 20000
local kReadyTimeoutMs = 20000
local kPollIntervalMs = 10

local processes = {}
local options = {}
-- Number of the current cluster of a run; a prefix of its file names.
local cluster_number = 0

function log(...)
  local parts = {}
  for i = 1, select("#", ...) do
    parts[i] = tostring((select(i, ...)))
  end
  native.log(table.concat(parts, " "))
end

function print(...)
  local parts = {}
  for i = 1, select("#", ...) do
    parts[i] = tostring((select(i, ...)))
  end
  native.print(table.concat(parts, " "))
end

function expect(condition, description)
  if not condition then
    error("expected: " .. description, 2)
  end
  return condition
end

-- Polls the function until it returns a true value, and returns that value.
function wait_until(condition, timeout, description)
  local deadline = native.now() + timeout
  while true do
    local value = condition()
    if value then
      return value
    end
    if native.now() > deadline then
      error("timed out: " .. description, 2)
    end
    native.pause(kPollIntervalMs)
  end
end

-- Polls the condition for the duration; true when it was true at each poll.
function holds_for(condition, duration)
  local deadline = native.now() + duration
  while native.now() < deadline do
    if not condition() then
      return false
    end
    native.pause(kPollIntervalMs)
  end
  return true
end

-- ---- Processes -------------------------------------------------------------

local function file_path(name)
  return native.directory() .. "/" .. cluster_number .. "-" .. name
end

local function find_process(name)
  return processes[name] or error("unknown process " .. tostring(name), 3)
end

local function new_relay()
  local handle, port = native.relay()
  return {handle = handle, port = port, address = "127.0.0.1:" .. port}
end

local function toml_value(value)
  if type(value) == "string" then
    return string.format("%q", value)
  end
  if type(value) == "table" then
    local items = {}
    for i, item in ipairs(value) do
      items[i] = toml_value(item)
    end
    return "[" .. table.concat(items, ", ") .. "]"
  end
  return tostring(value)
end

local function toml_lines(keys)
  local names = {}
  for name in pairs(keys) do
    names[#names + 1] = name
  end
  table.sort(names)
  local lines = {}
  for i, name in ipairs(names) do
    lines[i] = name .. " = " .. toml_value(keys[name])
  end
  return table.concat(lines, "\n") .. "\n"
end

local function merge_tables(...)
  local all = {}
  for i = 1, select("#", ...) do
    for key, value in pairs((select(i, ...)) or {}) do
      all[key] = value
    end
  end
  return all
end

local function entry_settings(process)
  local settings = options.settings or {}
  local keys = merge_tables({
    id = process.name,
    failure_domain = "domain-" .. process.index,
    http = "127.0.0.1:0",
    agents = "127.0.0.1:0",
    table = processes.table.http_relay.address,
    ports_file = process.ports_file,
  }, settings.entry, settings[process.name])
  local text = 'role = "entry"\n[entry]\n' .. toml_lines(keys)
  for i = 1, options.entries do
    local peer = processes["e" .. i]
    if peer ~= process then
      text = text .. "[[entry.peers]]\n"
        .. toml_lines({id = peer.name, http = peer.http_relay.address})
    end
  end
  return text
end

local function agent_settings(process)
  local settings = options.settings or {}
  local addresses = {}
  for i = 1, options.entries do
    local entry = processes["e" .. i]
    if options.direct then
      addresses[i] = "127.0.0.1:" .. entry.agents_port
    else
      addresses[i] = process.entry_relays[entry.name].address
    end
  end
  local keys = merge_tables({
    id = process.name,
    failure_domain = "domain-" .. process.index,
    http = "127.0.0.1:0",
    entries = addresses,
    slots = options.slots,
    ports_file = process.ports_file,
  }, settings.agent, settings[process.name])
  return 'role = "agent"\n[agent]\n' .. toml_lines(keys)
end

-- Returns the port of a line `key = "127.0.0.1:80"` or `key = 80`.
local function read_port(text, key)
  for line in text:gmatch("[^\n]+") do
    local name, port = line:match("^%s*([%w_]+)%s*=.-(%d+)\"?%s*$")
    if name == key then
      return math.tointeger(port)
    end
  end
end

local function wait_for_file(process, path)
  return wait_until(function()
    local code = native.exit_code(process.handle)
    if code then
      error(process.name .. " exited with code " .. code .. " during startup")
    end
    local text = native.read_file(path)
    return text and text ~= "" and text
  end, kStartTimeoutMs, process.name .. " listens")
end

local function spawn(process, program, arguments)
  process.handle =
    native.spawn(program, file_path(process.name .. ".log"), arguments)
end

local function spawn_daemon(process, settings)
  process.ports_file = file_path(process.name .. ".ports")
  native.remove_file(process.ports_file)
  local path = file_path(process.name .. ".toml")
  native.write_file(path, settings(process))
  spawn(process, "egretrackd", {path})
end

local process_kinds = {}

process_kinds.table = {
  spawn = function(process)
    process.ports_file = file_path("table.port")
    native.remove_file(process.ports_file)
    spawn(process, "table_standin", {"--port-file", process.ports_file})
  end,
  wait_listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = math.tointeger(text:match("(%d+)%s*$"))
    native.relay_target(process.http_relay.handle, process.port)
  end,
}

process_kinds.entry = {
  spawn = function(process)
    spawn_daemon(process, entry_settings)
  end,
  wait_listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = read_port(text, "http")
    process.agents_port = read_port(text, "agents")
    native.relay_target(process.http_relay.handle, process.port)
    for i = 1, options.agents do
      local relay = processes["a" .. i].entry_relays[process.name]
      native.relay_target(relay.handle, process.agents_port)
    end
  end,
}

process_kinds.agent = {
  spawn = function(process)
    spawn_daemon(process, agent_settings)
  end,
  wait_listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = read_port(text, "http")
    native.relay_target(process.http_relay.handle, process.port)
  end,
}

process_kinds.worker = {
  spawn = function(process)
    process.ports_file = file_path(process.name .. ".port")
    process.ledger = file_path(process.name .. ".ledger")
    native.remove_file(process.ports_file)
    native.add_ledger(process.ledger)
    local arguments = {
      "--agent", processes["a" .. process.index].http_relay.address,
      "--endpoint", process.endpoint, "--ledger", process.ledger,
      "--port-file", process.ports_file,
      "--speed", tostring(process.speed),
    }
    if process.fail_all then
      arguments[#arguments + 1] = "--fail-all"
    end
    spawn(process, "endpoint_standin", arguments)
  end,
  wait_listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = math.tointeger(text:match("%d+"))
  end,
}

-- Starts a process that is not running, and waits until it listens.
function start(name)
  local process = find_process(name)
  expect(not running(name), name .. " is not running")
  process_kinds[process.kind].spawn(process)
  process_kinds[process.kind].wait_listening(process)
end

function running(name)
  local process = find_process(name)
  return process.handle and native.exit_code(process.handle) == nil
end

function exit_code(name)
  return native.exit_code(find_process(name).handle)
end

local function send_signal(name, signal_name)
  native.signal(find_process(name).handle, signal_name)
end

function kill(name)
  send_signal(name, "KILL")
  wait_until(function() return not running(name) end, 5000,
    name .. " exits after SIGKILL")
end

function term(name) send_signal(name, "TERM") end
function freeze(name) send_signal(name, "STOP") end
function thaw(name) send_signal(name, "CONT") end

function wait_exit(name, timeout)
  wait_until(function() return not running(name) end, timeout,
    name .. " exits")
  return exit_code(name)
end

-- Changes options of an endpoint stand-in (speed, fail_all). They take effect
-- at its next start.
function set_worker(name, changes)
  local process = find_process(name)
  for key, value in pairs(changes) do
    process[key] = value
  end
end

-- ---- Connections -----------------------------------------------------------

-- Returns the relay between an agent and an entry. Without `to`, returns the
-- relay in front of the HTTP address of an entry, agent or the table.
local function find_relay(from, to)
  if to == nil then
    return find_process(from).http_relay
  end
  local agent = find_process(from)
  expect(agent.entry_relays, from .. " is an agent")
  return agent.entry_relays[to] or error("no relay to entry " .. to, 3)
end

function cut(from, to) native.relay_cut(find_relay(from, to).handle) end
function silence(from, to) native.relay_silence(find_relay(from, to).handle) end
function block(from, to)
  native.relay_block(find_relay(from, to).handle, true)
end
function delay(from, to, delay_ms)
  native.relay_delay(find_relay(from, to).handle, delay_ms)
end
-- Forwards every message twice, see relay.h.
function duplicate(from, to, on)
  native.relay_duplicate(find_relay(from, to).handle, on)
end
-- Blocks and silences the relay: no bytes pass in either direction until
-- heal().
function partition(from, to)
  block(from, to)
  silence(from, to)
end
-- Ends all faults of the relay: new connections pass without delay. Existing
-- connections, also silenced ones, are closed.
function heal(from, to)
  local handle = find_relay(from, to).handle
  native.relay_block(handle, false)
  native.relay_delay(handle, 0)
  native.relay_duplicate(handle, false)
  native.relay_cut(handle)
end

-- ---- HTTP ------------------------------------------------------------------

local function listen_address(name)
  return "127.0.0.1:" .. find_process(name).port
end

function http(name, method, target, headers, body, timeout)
  return native.http(listen_address(name), method, target, headers or {},
    body or "", timeout or 30000)
end

function http_async(name, method, target, headers, body, timeout)
  return native.http_start(listen_address(name), method, target,
    headers or {}, body or "", timeout or 60000)
end

-- Returns the status code, or 0 when the process does not answer.
function http_status(name, target)
  local code = http(name, "GET", target, nil, nil, 2000)
  return code or 0
end

-- Returns the class of a status code, such as "4xx", or "none" without a code.
function status_class(code)
  return code and tostring(code):sub(1, 1) .. "xx" or "none"
end

function get_json(name, target, timeout)
  local code, body = http(name, "GET", target, nil, nil, timeout or 2000)
  if code ~= 200 then
    return nil, code
  end
  return native.json(body)
end

function status(name)
  return get_json(name, "/v1/status")
end

-- Returns the value of a metric without labels: 0 when the metric is absent,
-- nil when the process does not answer.
function metric(name, metric_name)
  local code, body = http(name, "GET", "/metrics", nil, nil, 2000)
  if code ~= 200 then
    return nil
  end
  local value = ("\n" .. body):match("\n" .. metric_name .. " ([%d%.e+]+)")
  return math.tointeger(tonumber(value or 0)) or tonumber(value)
end

function open_raw(name, port_name)
  local port = port_name == "agents" and find_process(name).agents_port
    or find_process(name).port
  return native.tcp_open("127.0.0.1:" .. port)
end

-- Returns all bytes that the peer sends until it closes or the timeout passes,
-- and whether it closed.
function receive_all(connection, timeout)
  local deadline = native.now() + timeout
  local parts = {}
  while native.now() < deadline do
    local bytes, error_text =
      native.tcp_receive(connection, math.floor(deadline - native.now()))
    if not bytes then
      -- A connection reset counts as closed.
      return table.concat(parts), not error_text:find("timed out", 1, true)
    end
    if bytes == "" then
      return table.concat(parts), true
    end
    parts[#parts + 1] = bytes
  end
  return table.concat(parts), false
end

-- ---- Jobs ------------------------------------------------------------------

local json_escapes = {['"'] = '\\"', ["\\"] = "\\\\", ["\n"] = "\\n"}

local function quote_json(text)
  return '"' .. text:gsub('["\\\n]', json_escapes) .. '"'
end

-- job{kind=, team=, deadline_ms=, tasks={payload...}}: returns a request body.
function job(fields)
  local tasks = {}
  for i, payload in ipairs(fields.tasks or {""}) do
    tasks[i] = '{"payload":' .. quote_json(payload) .. "}"
  end
  local members = {
    '"kind":' .. quote_json(fields.kind or "find-engineer"),
    '"team":' .. quote_json(fields.team or "palermo"),
    '"tasks":[' .. table.concat(tasks, ",") .. "]",
  }
  if fields.deadline_ms then
    members[#members + 1] = '"deadline_ms":' .. fields.deadline_ms
  end
  return "{" .. table.concat(members, ",") .. "}"
end

-- Returns `count` payloads that echo their position, each with the prefix.
function echoes(count, prefix)
  local tasks = {}
  for i = 1, count do
    tasks[i] = (prefix or "") .. " echo=t" .. (i - 1)
  end
  return tasks
end

local kJsonHeader = {"Content-Type", "application/json"}

-- Returns the answer as a caller sees it: the members of the body, with status,
-- headers and body added. Reports a "not run" answer to the runner.
local function parse_answer(code, body, headers)
  if not code then
    return {status = 0, outcome = "none", error = body}
  end
  local answer = native.json(body) or {}
  if type(answer) ~= "table" then
    answer = {}
  end
  answer.status = code
  answer.headers = headers
  answer.body = body
  if answer.not_run and answer.id then
    native.not_run(answer.id)
  end
  return answer
end

function reserve(name, count)
  local answer = parse_answer(
    http(name, "POST", "/v1/jobs/reserve?count=" .. (count or 1)))
  expect(answer.ids, "ids from " .. name .. ", got status " .. answer.status
    .. " " .. tostring(answer.body or answer.error))
  return count and answer.ids or answer.ids[1]
end

-- Submits a job under a reserved id and returns the pending request.
function submit_id_async(name, id, fields, timeout)
  return {
    id = id,
    call = http_async(name, "PUT", "/v1/jobs/" .. id, {kJsonHeader},
      job(fields), timeout),
  }
end

function submit_async(name, fields, timeout)
  return submit_id_async(name, reserve(name), fields, timeout)
end

-- Submits a job without an id, with additional headers if given.
function post_async(name, fields, headers, timeout)
  local all = {kJsonHeader}
  for _, header in ipairs(headers or {}) do
    all[#all + 1] = header
  end
  return {call = http_async(name, "POST", "/v1/jobs", all, job(fields),
    timeout)}
end

-- Returns the answer, or nil when none arrives within the timeout.
function poll(request, timeout)
  if not request.answer then
    local code, body, headers = native.http_wait(request.call, timeout or 0)
    if code == nil and body == nil then
      return nil
    end
    request.answer = parse_answer(code, body, headers)
    if not request.answer.id then
      request.answer.id = request.id
    end
  end
  return request.answer
end

function wait(request, timeout)
  return poll(request, timeout or 60000)
    or error("timed out: answer to " .. tostring(request.id), 2)
end

function submit(name, fields, timeout)
  return wait(submit_async(name, fields, timeout))
end

function submit_id(name, id, fields, timeout)
  return wait(submit_id_async(name, id, fields, timeout))
end

resubmit = submit_id

function post(name, fields, headers, timeout)
  return wait(post_async(name, fields, headers, timeout))
end

function get(name, id)
  return parse_answer(http(name, "GET", "/v1/jobs/" .. id))
end

function cancel(name, id)
  return (http(name, "DELETE", "/v1/jobs/" .. id))
end

-- True when the answer holds the results of all of the job's tasks, in order.
function whole(answer, tasks)
  if answer.outcome ~= "answered" or #answer.results ~= #tasks then
    return false
  end
  for i, payload in ipairs(tasks) do
    local echo = payload:match("echo=(%S*)") or ""
    if answer.results[i] ~= answer.id .. "/" .. (i - 1) .. ":" .. echo then
      return false
    end
  end
  return true
end

-- Returns the number of tasks for each outcome as text, sorted by outcome.
function task_outcomes(answer)
  local counts = {}
  for _, task in ipairs(answer.tasks or {}) do
    counts[task.outcome] = (counts[task.outcome] or 0) + 1
  end
  local names = {}
  for name in pairs(counts) do
    names[#names + 1] = name
  end
  table.sort(names)
  for i, name in ipairs(names) do
    names[i] = name .. "=" .. counts[name]
  end
  return table.concat(names, " ")
end

-- ---- Ledgers ---------------------------------------------------------------

-- Returns all recorded starts, or those of one job.
function ledger(id)
  local starts = {}
  for _, line in ipairs(native.ledger()) do
    if line.event == "start" and (not id or line.job == id) then
      starts[#starts + 1] = line
    end
  end
  return starts
end

function wait_started(id, count)
  wait_until(function() return #ledger(id) >= (count or 1) end, 10000,
    "start of tasks of job " .. id)
end

-- Allows more than one start for a single request of an idempotent kind.
function allow_retry(id) native.allow_retry(id) end

function ledger_path(name) return find_process(name).ledger end

-- Returns the number of starts that one endpoint stand-in recorded.
function worker_starts(name)
  local text = native.read_file(ledger_path(name)) or ""
  local count = 0
  for _ in text:gmatch("start %d+ ") do
    count = count + 1
  end
  return count
end

-- ---- Table stand-in --------------------------------------------------------

-- control_table{down=, slow_ms=, lose_answers=}: sets the faults of the table
-- stand-in. An absent field turns its fault off.
function control_table(fields)
  local body = string.format(
    '{"down":%s,"slow_ms":%d,"lose_answers":%s}',
    tostring(fields.down or false), fields.slow_ms or 0,
    tostring(fields.lose_answers or false))
  local code = http("table", "POST", "/control", {kJsonHeader}, body)
  expect(code == 200 or code == 204, "the table accepts POST /control, got "
    .. tostring(code))
end

-- ---- Configuration ---------------------------------------------------------

default_config = [[
[desk.banco-turni]
objective = 0.999
[request_kind.find-engineer]
desk = "banco-turni"
deadline_ms = 10000
max_deadline_ms = 60000
expected_ms = 50
[request_kind.look-up]
desk = "banco-turni"
idempotent = true
deadline_ms = 10000
max_deadline_ms = 60000
expected_ms = 50
[endpoint.turni]
desk = "banco-turni"
kinds = ["find-engineer", "look-up"]
slots = 8
connections = 64
[limit.team-palermo]
desk = "banco-turni"
team = "palermo"
]]

-- Returns the configuration version that a process has in force, or nil.
function config_version(name)
  local report = status(name)
  return report and report.config_version
end

local publication_count = 0

-- Publishes a document on top of version `base`, by default the version that
-- the entry has in force.
function publish(name, document, base, publication)
  publication_count = publication_count + 1
  base = base or config_version(name) or 0
  publication = publication or "publication-" .. publication_count
  return parse_answer(http(name, "PUT",
    "/v1/config?base=" .. base .. "&publication=" .. publication,
    {{"Content-Type", "application/toml"}}, document))
end

function names(prefix, count)
  local list = {}
  for i = 1, count do
    list[i] = prefix .. i
  end
  return list
end

function all_daemons()
  local list = names("e", options.entries)
  for _, name in ipairs(names("a", options.agents)) do
    list[#list + 1] = name
  end
  return list
end

-- Waits until each named process has the version, or a later one, in force.
function wait_version(list, version, timeout)
  wait_until(function()
    for _, name in ipairs(list) do
      if (config_version(name) or 0) < version then
        return false
      end
    end
    return true
  end, timeout, "version " .. version .. " in force in every named process")
end

-- ---- The cluster -----------------------------------------------------------

-- Returns the number of agents that an entry can use: reachable, with an
-- endpoint announced, not draining.
function usable_agents(name)
  local report = status(name)
  local count = 0
  for _, agent in ipairs(report and report.agents or {}) do
    if agent.reachable and not agent.draining and agent.endpoint ~= "" then
      count = count + 1
    end
  end
  return count
end

function wait_usable(name, count)
  wait_until(function()
    return http_status(name, "/v1/ready") == 200
      and usable_agents(name) == count
  end, kReadyTimeoutMs, name .. " has " .. count .. " usable agents")
end

local function add_process(kind, name, index, fields)
  local process = merge_tables({kind = kind, name = name, index = index,
    http_relay = new_relay()}, fields)
  processes[name] = process
  return process
end

local function declare_processes(fields)
  cluster_number = cluster_number + 1
  processes = {}
  options = merge_tables({entries = 2, agents = 3, slots = 8}, fields)
  add_process("table", "table", 0)
  for i = 1, options.entries do
    add_process("entry", "e" .. i, i)
  end
  for i = 1, options.agents do
    local entry_relays = {}
    for e = 1, options.entries do
      entry_relays["e" .. e] = new_relay()
    end
    add_process("agent", "a" .. i, i, {entry_relays = entry_relays})
    add_process("worker", "w" .. i, i, {
      endpoint = options.endpoints and options.endpoints[i]
        or options.endpoint or "turni",
      speed = options.speeds and options.speeds[i] or 1,
      fail_all = options.failing_worker == i,
    })
  end
end

local function start_all(prefix, count)
  local list = names(prefix, count)
  for _, name in ipairs(list) do
    local process = find_process(name)
    process_kinds[process.kind].spawn(process)
  end
  for _, name in ipairs(list) do
    local process = find_process(name)
    process_kinds[process.kind].wait_listening(process)
  end
end

local function read_config(config)
  if not config:find("\n") then
    return native.read_file(native.scenario() .. "/" .. config)
      or error("configuration file not found: " .. config, 3)
  end
  return config
end

-- Starts the table, all entries, agents and endpoint stand-ins, publishes the
-- configuration and waits until every entry can use every agent.
-- Fields:
--   entries, agents, slots: numbers of processes, and slots of each agent
--   config: text, or a file of the scenario; false: none is published
--   settings: by role "entry" or "agent", or by process name
--   endpoint, or endpoints (by worker)
--   speeds: by worker
--   failing_worker: position of the worker that fails all tasks
--   direct: agents connect to entries without relays
--   workers: false starts no endpoint stand-ins
function cluster(fields)
  declare_processes(fields or {})
  start("table")
  start_all("e", options.entries)
  start_all("a", options.agents)
  if options.workers ~= false then
    start_all("w", options.agents)
  end
  if options.config == false then
    return
  end
  local config = read_config(options.config or default_config)
  wait_until(function() return http_status("e1", "/v1/health") == 200 end,
    kStartTimeoutMs, "e1 is healthy")
  local answer = publish("e1", config, 0, "initial")
  expect(answer.status == 200, "initial configuration is published, got "
    .. answer.status .. " " .. tostring(answer.body or answer.error))
  if options.workers == false then
    return
  end
  for _, name in ipairs(names("e", options.entries)) do
    wait_usable(name, options.agents)
  end
end

-- Kills every process of the cluster, so that another cluster can be started.
function stop_cluster()
  for _, process in pairs(processes) do
    if process.handle then
      native.signal(process.handle, "KILL")
    end
  end
  for name, process in pairs(processes) do
    if process.handle then
      wait_exit(name, 5000)
    end
  end
end

-- Runs another program until it exits and returns its exit code.
function run_program(name, program, arguments, timeout)
  processes[name] = {kind = "program", name = name}
  spawn(processes[name], program, arguments)
  return wait_exit(name, timeout)
end

local ctl_run_count = 0

-- Runs egretrackctl with these arguments until it exits. Returns its exit code,
-- standard output and standard error as {code, out, err}.
function ctl(arguments, timeout)
  return wait_ctl(ctl_async(arguments), timeout)
end

function ctl_async(arguments)
  ctl_run_count = ctl_run_count + 1
  local run = {out_path = file_path("ctl-" .. ctl_run_count .. ".out"),
    err_path = file_path("ctl-" .. ctl_run_count .. ".err")}
  run.handle = native.spawn("egretrackctl", run.out_path, arguments,
    run.err_path)
  return run
end

function wait_ctl(run, timeout)
  wait_until(function() return native.exit_code(run.handle) end,
    timeout or 30000, "egretrackctl exits")
  return {code = native.exit_code(run.handle),
    out = native.read_file(run.out_path),
    err = native.read_file(run.err_path)}
end

-- Returns the HTTP address of a process without its relay, for programs that a
-- scenario runs.
function direct_address(name) return listen_address(name) end

function output_path(name) return file_path(name) end
