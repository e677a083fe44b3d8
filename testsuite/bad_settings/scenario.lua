-- Guards against a daemon that starts with invalid settings, or whose messages
-- do not name the invalid setting.
cluster{entries = 1, agents = 1, config = false}

local run_count = 0
local directory_pattern = (native.directory() .. "/"):gsub("%p", "%%%0")

local function mask_output(text)
  text = text:gsub(directory_pattern, "")
  text = text:gsub("^%d+%-%d+%-%d+T%S+ ", "")
  return (text:gsub("127%.0%.0%.1:%d%d%d%d+", "ADDRESS"))
end

local function write_settings(name, text)
  local path = native.directory() .. "/" .. name
  native.write_file(path, text)
  return path
end

-- Runs the daemon until it exits, and prints its messages and exit code.
local function run_daemon(...)
  run_count = run_count + 1
  local output = native.directory() .. "/run-" .. run_count .. ".txt"
  local handle = native.spawn("egretrackd", output, {...})
  wait_until(function() return native.exit_code(handle) end, 10000,
    "egretrackd exits")
  print("$ egretrackd " .. mask_output(table.concat({...}, " ")))
  for line in native.read_file(output):gmatch("[^\n]+") do
    print("  " .. mask_output(line))
  end
  print("  exit code: " .. native.exit_code(handle))
end

local function entry_settings(lines)
  return 'role = "entry"\n[entry]\nid = "x"\nfailure_domain = "d"\n'
    .. 'table = "127.0.0.1:1"\n' .. lines
end

local function agent_settings(lines)
  return 'role = "agent"\n[agent]\nid = "x"\nfailure_domain = "d"\n'
    .. 'entries = ["127.0.0.1:1"]\n' .. lines
end

local examples_folder = native.scenario() .. "/../../examples/"
local kFreeHttpPort = 'http = "127.0.0.1:0"\n'
local kFreeEntryPorts = kFreeHttpPort .. 'agents = "127.0.0.1:0"\n'

print("-- examples")
for _, name in ipairs{"entry.toml", "agent.toml", "banco-turni.toml",
  "riparazioni.toml"} do
  -- Copied first, so that the printed path does not depend on the source
  -- folder.
  run_daemon("--check",
    write_settings(name, native.read_file(examples_folder .. name)))
end

print("-- usage")
run_daemon()
run_daemon("--frobnicate")
run_daemon("a.toml", "b.toml")

print("-- files")
run_daemon(native.directory() .. "/missing.toml")
run_daemon("--check", native.directory() .. "/missing.toml")
run_daemon(write_settings("empty.toml", ""))
run_daemon(write_settings("syntax.toml", "role = [[[\n"))
run_daemon(write_settings("role.toml", 'role = "boss"\n'))
run_daemon(write_settings("no-table.toml", 'role = "agent"\n'))
run_daemon(write_settings("both.toml",
  agent_settings(kFreeHttpPort) .. "[entry]\n"))
run_daemon(write_settings("keys.toml", 'role = "agent"\n[agent]\nid = "A B"\n'
  .. 'http = "10.0.0.1:80"\nslots = 99\ncolour = "red"\n'))

print("-- start")
run_daemon(write_settings("port-entry.toml",
  entry_settings('http = "' .. direct_address("e1")
    .. '"\nagents = "127.0.0.1:0"\n')))
run_daemon(write_settings("port-agent.toml",
  agent_settings('http = "' .. direct_address("a1") .. '"\n')))
run_daemon(write_settings("address.toml",
  entry_settings('http = "192.0.2.1:80"\nagents = "127.0.0.1:0"\n')))
run_daemon(write_settings("ports-entry.toml",
  entry_settings(kFreeEntryPorts .. 'ports_file = "/nonexistent/ports"\n')))
run_daemon(write_settings("ports-agent.toml",
  agent_settings(kFreeHttpPort .. 'ports_file = "/nonexistent/ports"\n')))
run_daemon(write_settings("log.toml",
  agent_settings(kFreeHttpPort
    .. '[agent.log]\nfile = "/nonexistent/x.log"\n')))
