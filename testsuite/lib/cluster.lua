-- Verbs of the scenarios. One cluster per run: table stand-in "table", entries
-- "e1"..., agents "a1"..., and beside each agent an endpoint stand-in "w1"....
-- Every address that a process is told is a relay of the runner, so that a
-- restarted process may listen on another port and connections can be
-- disturbed.

local kStartTimeout = 20000
local kReadyTimeout = 20000
local kPoll = 10

local processes = {}
local options = {}
-- Counts the clusters of one run, so that each has files of its own.
local generation = 0

function log(...)
  local words = {}
  for i = 1, select("#", ...) do
    words[i] = tostring((select(i, ...)))
  end
  native.log(table.concat(words, " "))
end

function print(...)
  local words = {}
  for i = 1, select("#", ...) do
    words[i] = tostring((select(i, ...)))
  end
  native.print(table.concat(words, " "))
end

function expect(condition, text)
  if not condition then
    error("expected: " .. text, 2)
  end
  return condition
end

-- Waits until the function returns a true value, and returns it.
function wait_until(condition, timeout, what)
  local deadline = native.now() + timeout
  while true do
    local value = condition()
    if value then
      return value
    end
    if native.now() > deadline then
      error("timed out: " .. what, 2)
    end
    native.pause(kPoll)
  end
end

-- True when the condition held at every look during the time.
function holds_for(condition, time)
  local deadline = native.now() + time
  while native.now() < deadline do
    if not condition() then
      return false
    end
    native.pause(kPoll)
  end
  return true
end

-- ---- Processes -------------------------------------------------------------

local function file(name)
  return native.directory() .. "/" .. generation .. "-" .. name
end

local function find(name)
  return processes[name] or error("no process " .. tostring(name), 3)
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

local function merged(...)
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
  local keys = merged({
    id = process.name,
    failure_domain = "domain-" .. process.index,
    http = "127.0.0.1:0",
    agents = "127.0.0.1:0",
    table = processes.table.front.address,
    ports_file = process.ports_file,
  }, settings.entry, settings[process.name])
  local text = 'role = "entry"\n[entry]\n' .. toml_lines(keys)
  for i = 1, options.entries do
    local peer = processes["e" .. i]
    if peer ~= process then
      text = text .. "[[entry.peers]]\n"
        .. toml_lines({id = peer.name, http = peer.front.address})
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
      addresses[i] = process.links[entry.name].address
    end
  end
  local keys = merged({
    id = process.name,
    failure_domain = "domain-" .. process.index,
    http = "127.0.0.1:0",
    entries = addresses,
    slots = options.slots,
    ports_file = process.ports_file,
  }, settings.agent, settings[process.name])
  return 'role = "agent"\n[agent]\n' .. toml_lines(keys)
end

-- The port in a line `key = "127.0.0.1:80"` or `key = 80`.
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
      error(process.name .. " ended with code " .. code .. " at its start")
    end
    local text = native.read_file(path)
    return text and text ~= "" and text
  end, kStartTimeout, process.name .. " listens")
end

local function spawn(process, program, arguments)
  process.handle =
    native.spawn(program, file(process.name .. ".log"), arguments)
end

local function spawn_daemon(process, settings)
  process.ports_file = file(process.name .. ".ports")
  native.remove_file(process.ports_file)
  local path = file(process.name .. ".toml")
  native.write_file(path, settings(process))
  spawn(process, "egretrackd", {path})
end

local kinds = {}

kinds.table = {
  spawn = function(process)
    process.ports_file = file("table.port")
    native.remove_file(process.ports_file)
    spawn(process, "table_standin", {"--port-file", process.ports_file})
  end,
  listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = math.tointeger(text:match("(%d+)%s*$"))
    native.relay_target(process.front.handle, process.port)
  end,
}

kinds.entry = {
  spawn = function(process)
    spawn_daemon(process, entry_settings)
  end,
  listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = read_port(text, "http")
    process.agents_port = read_port(text, "agents")
    native.relay_target(process.front.handle, process.port)
    for i = 1, options.agents do
      local link = processes["a" .. i].links[process.name]
      native.relay_target(link.handle, process.agents_port)
    end
  end,
}

kinds.agent = {
  spawn = function(process)
    spawn_daemon(process, agent_settings)
  end,
  listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = read_port(text, "http")
    native.relay_target(process.front.handle, process.port)
  end,
}

kinds.worker = {
  spawn = function(process)
    process.ports_file = file(process.name .. ".port")
    process.ledger = file(process.name .. ".ledger")
    native.remove_file(process.ports_file)
    native.add_ledger(process.ledger)
    local arguments = {
      "--agent", processes["a" .. process.index].front.address,
      "--endpoint", process.endpoint, "--ledger", process.ledger,
      "--port-file", process.ports_file,
      "--speed", tostring(process.speed),
    }
    if process.fail_all then
      arguments[#arguments + 1] = "--fail-all"
    end
    spawn(process, "endpoint_standin", arguments)
  end,
  listening = function(process)
    local text = wait_for_file(process, process.ports_file)
    process.port = math.tointeger(text:match("%d+"))
  end,
}

-- Starts a process that is not running, and waits until it listens.
function start(name)
  local process = find(name)
  expect(not running(name), name .. " is not running")
  kinds[process.kind].spawn(process)
  kinds[process.kind].listening(process)
end

function running(name)
  local process = find(name)
  return process.handle and native.exit_code(process.handle) == nil
end

function exit_code(name)
  return native.exit_code(find(name).handle)
end

local function signal(name, which)
  native.signal(find(name).handle, which)
end

function kill(name)
  signal(name, "KILL")
  wait_until(function() return not running(name) end, 5000, name .. " is dead")
end

function term(name) signal(name, "TERM") end
function freeze(name) signal(name, "STOP") end
function thaw(name) signal(name, "CONT") end

function wait_exit(name, timeout)
  wait_until(function() return not running(name) end, timeout,
    name .. " exits")
  return exit_code(name)
end

-- Changes how an endpoint stand-in runs from its next start: speed, fail_all.
function set_worker(name, changes)
  local process = find(name)
  for key, value in pairs(changes) do
    process[key] = value
  end
end

-- ---- Connections -----------------------------------------------------------

-- The relay between an agent and an entry, an entry and the others (its HTTP
-- address), or all processes and the table.
local function link(from, to)
  if to == nil then
    return find(from).front
  end
  local agent = find(from)
  expect(agent.links, from .. " is an agent")
  return agent.links[to] or error("no link to " .. to, 3)
end

function cut(from, to) native.relay_cut(link(from, to).handle) end
function silence(from, to) native.relay_silence(link(from, to).handle) end
function block(from, to) native.relay_block(link(from, to).handle, true) end
function delay(from, to, time)
  native.relay_delay(link(from, to).handle, time)
end
-- Passes everything on twice, see relay.h.
function duplicate(from, to, on)
  native.relay_duplicate(link(from, to).handle, on)
end
-- Both: nothing passes in either direction until heal().
function partition(from, to)
  block(from, to)
  silence(from, to)
end
-- New connections pass without delay; silenced ones are closed.
function heal(from, to)
  local handle = link(from, to).handle
  native.relay_block(handle, false)
  native.relay_delay(handle, 0)
  native.relay_duplicate(handle, false)
  native.relay_cut(handle)
end

-- ---- HTTP ------------------------------------------------------------------

local function address(name)
  return "127.0.0.1:" .. find(name).port
end

function http(name, method, target, headers, body, timeout)
  return native.http(address(name), method, target, headers or {}, body or "",
    timeout or 30000)
end

function http_async(name, method, target, headers, body, timeout)
  return native.http_start(address(name), method, target, headers or {},
    body or "", timeout or 60000)
end

-- Status code, or 0 when the process does not answer.
function http_status(name, target)
  local code = http(name, "GET", target, nil, nil, 2000)
  return code or 0
end

-- "4xx" for 400 and the like; "none" without a status.
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

-- Value of a metric without labels, 0 when absent.
function metric(name, metric_name)
  local code, body = http(name, "GET", "/metrics", nil, nil, 2000)
  if code ~= 200 then
    return nil
  end
  local value = ("\n" .. body):match("\n" .. metric_name .. " ([%d%.e+]+)")
  return math.tointeger(tonumber(value or 0)) or tonumber(value)
end

function open_raw(name, which)
  local port = which == "agents" and find(name).agents_port or find(name).port
  return native.tcp_open("127.0.0.1:" .. port)
end

-- All that the peer sends until it closes or the time is over, and whether it
-- closed.
function receive_all(connection, timeout)
  local deadline = native.now() + timeout
  local parts = {}
  while native.now() < deadline do
    local bytes, why =
      native.tcp_receive(connection, math.floor(deadline - native.now()))
    if not bytes then
      -- A reset closes the connection as well.
      return table.concat(parts), not why:find("timed out", 1, true)
    end
    if bytes == "" then
      return table.concat(parts), true
    end
    parts[#parts + 1] = bytes
  end
  return table.concat(parts), false
end

-- ---- Jobs ------------------------------------------------------------------

local escapes = {['"'] = '\\"', ["\\"] = "\\\\", ["\n"] = "\\n"}

local function quote(text)
  return '"' .. text:gsub('["\\\n]', escapes) .. '"'
end

-- job{kind=, team=, deadline_ms=, tasks={payload...}} as a body.
function job(fields)
  local tasks = {}
  for i, payload in ipairs(fields.tasks or {""}) do
    tasks[i] = '{"payload":' .. quote(payload) .. "}"
  end
  local members = {
    '"kind":' .. quote(fields.kind or "find-engineer"),
    '"team":' .. quote(fields.team or "palermo"),
    '"tasks":[' .. table.concat(tasks, ",") .. "]",
  }
  if fields.deadline_ms then
    members[#members + 1] = '"deadline_ms":' .. fields.deadline_ms
  end
  return "{" .. table.concat(members, ",") .. "}"
end

-- `count` payloads that echo their position, each with `words`.
function echoes(count, words)
  local tasks = {}
  for i = 1, count do
    tasks[i] = (words or "") .. " echo=t" .. (i - 1)
  end
  return tasks
end

local kJson = {"Content-Type", "application/json"}

-- What a caller saw: status, and the members of the answer.
local function read_answer(code, body, headers)
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
  local answer = read_answer(
    http(name, "POST", "/v1/jobs/reserve?count=" .. (count or 1)))
  expect(answer.ids, "ids from " .. name .. ", got status " .. answer.status
    .. " " .. tostring(answer.body or answer.error))
  return count and answer.ids or answer.ids[1]
end

-- Submits a job under a reserved id and returns the pending request.
function submit_id_async(name, id, fields, timeout)
  return {
    id = id,
    call = http_async(name, "PUT", "/v1/jobs/" .. id, {kJson}, job(fields),
      timeout),
  }
end

function submit_async(name, fields, timeout)
  return submit_id_async(name, reserve(name), fields, timeout)
end

-- Submits without an id of the caller's, with more headers if given.
function post_async(name, fields, headers, timeout)
  local all = {kJson}
  for _, header in ipairs(headers or {}) do
    all[#all + 1] = header
  end
  return {call = http_async(name, "POST", "/v1/jobs", all, job(fields),
    timeout)}
end

-- The answer, or nil when there is none within the time.
function poll(request, timeout)
  if not request.answer then
    local code, body, headers = native.http_wait(request.call, timeout or 0)
    if code == nil and body == nil then
      return nil
    end
    request.answer = read_answer(code, body, headers)
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
  return read_answer(http(name, "GET", "/v1/jobs/" .. id))
end

function cancel(name, id)
  return (http(name, "DELETE", "/v1/jobs/" .. id))
end

-- True when the results are those of the job's tasks, in order.
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

-- Counts of each task outcome of an answer, as text with sorted names.
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

-- All starts, or those of one job.
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
    "start of " .. id)
end

-- Single requests of an idempotent kind may be retried.
function allow_retry(id) native.allow_retry(id) end

function ledger_path(name) return find(name).ledger end

-- Starts that one endpoint stand-in recorded.
function worker_starts(name)
  local text = native.read_file(ledger_path(name)) or ""
  local count = 0
  for _ in text:gmatch("start %d+ ") do
    count = count + 1
  end
  return count
end

-- ---- Table stand-in --------------------------------------------------------

-- control_table{down=, slow_ms=, lose_answers=}: what is absent is off.
function control_table(fields)
  local body = string.format(
    '{"down":%s,"slow_ms":%d,"lose_answers":%s}',
    tostring(fields.down or false), fields.slow_ms or 0,
    tostring(fields.lose_answers or false))
  local code = http("table", "POST", "/control", {kJson}, body)
  expect(code == 200 or code == 204, "table takes control, got "
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

-- Version that a process has in force, or nil.
function config_version(name)
  local report = status(name)
  return report and report.config_version
end

local publications = 0

-- Publishes a document on top of version `base`, by default the entry's own.
function publish(name, document, base, publication)
  publications = publications + 1
  base = base or config_version(name) or 0
  publication = publication or "publication-" .. publications
  return read_answer(http(name, "PUT",
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
  end, timeout, "version " .. version .. " in force")
end

-- ---- The cluster -----------------------------------------------------------

-- Agents that an entry can use: reachable, announced, not draining.
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
  end, kReadyTimeout, name .. " has " .. count .. " usable agents")
end

local function add(kind, name, index, fields)
  local process = merged({kind = kind, name = name, index = index,
    front = new_relay()}, fields)
  processes[name] = process
  return process
end

local function declare(fields)
  generation = generation + 1
  processes = {}
  options = merged({entries = 2, agents = 3, slots = 8}, fields)
  add("table", "table", 0)
  for i = 1, options.entries do
    add("entry", "e" .. i, i)
  end
  for i = 1, options.agents do
    local links = {}
    for e = 1, options.entries do
      links["e" .. e] = new_relay()
    end
    add("agent", "a" .. i, i, {links = links})
    add("worker", "w" .. i, i, {
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
    local process = find(name)
    kinds[process.kind].spawn(process)
  end
  for _, name in ipairs(list) do
    local process = find(name)
    kinds[process.kind].listening(process)
  end
end

local function read_config(config)
  if not config:find("\n") then
    return native.read_file(native.scenario() .. "/" .. config)
      or error("no file " .. config, 3)
  end
  return config
end

-- Starts the table, all entries, agents and endpoint stand-ins, publishes the
-- configuration and waits until every entry can use every agent.
-- Fields: entries, agents, slots, config (text, or a file of the scenario;
-- false: none), settings (by role "entry" or "agent", or by process name),
-- endpoint, or endpoints (by worker), speeds (by worker), failing_worker (position), direct (agents connect without relays), workers (false:
-- no endpoint stand-ins).
function cluster(fields)
  declare(fields or {})
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
    kStartTimeout, "e1 is healthy")
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

-- Kills every process of the cluster; another one may then be started.
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

-- Runs another stand-in program to its end and returns its exit code.
function run_program(name, program, arguments, timeout)
  processes[name] = {kind = "program", name = name}
  spawn(processes[name], program, arguments)
  return wait_exit(name, timeout)
end

local ctl_runs = 0

-- Runs egretrackctl with these arguments to its end: {code, out, err}.
function ctl(arguments, timeout)
  return wait_ctl(ctl_async(arguments), timeout)
end

function ctl_async(arguments)
  ctl_runs = ctl_runs + 1
  local run = {out_path = file("ctl-" .. ctl_runs .. ".out"),
    err_path = file("ctl-" .. ctl_runs .. ".err")}
  run.handle = native.spawn("egretrackctl", run.out_path, arguments,
    run.err_path)
  return run
end

function wait_ctl(run, timeout)
  wait_until(function() return native.exit_code(run.handle) end,
    timeout or 30000, "egretrackctl ends")
  return {code = native.exit_code(run.handle),
    out = native.read_file(run.out_path),
    err = native.read_file(run.err_path)}
end

-- Address of a listening process, for programs that the script runs.
function direct_address(name) return address(name) end

function output_path(name) return file(name) end
