-- Guards against a daemon that starts with bad settings, or that does not say
-- which setting is wrong.
cluster{entries = 1, agents = 1, config = false}

local runs = 0
local directory = (native.directory() .. "/"):gsub("%p", "%%%0")

local function mask(text)
  text = text:gsub(directory, "")
  text = text:gsub("^%d+%-%d+%-%d+T%S+ ", "")
  return (text:gsub("127%.0%.0%.1:%d%d%d%d+", "ADDRESS"))
end

local function write(name, text)
  local path = native.directory() .. "/" .. name
  native.write_file(path, text)
  return path
end

-- Runs the daemon until it ends, and shows its messages and exit code.
local function run(...)
  runs = runs + 1
  local output = native.directory() .. "/run-" .. runs .. ".txt"
  local handle = native.spawn("egretrackd", output, {...})
  wait_until(function() return native.exit_code(handle) end, 10000,
    "egretrackd ends")
  print("$ egretrackd " .. mask(table.concat({...}, " ")))
  for line in native.read_file(output):gmatch("[^\n]+") do
    print("  " .. mask(line))
  end
  print("  exit code: " .. native.exit_code(handle))
end

local function entry(more)
  return 'role = "entry"\n[entry]\nid = "x"\nfailure_domain = "d"\n'
    .. 'table = "127.0.0.1:1"\n' .. more
end

local function agent(more)
  return 'role = "agent"\n[agent]\nid = "x"\nfailure_domain = "d"\n'
    .. 'entries = ["127.0.0.1:1"]\n' .. more
end

local examples = native.scenario() .. "/../../examples/"
local kFree = 'http = "127.0.0.1:0"\n'
local kFreeEntry = kFree .. 'agents = "127.0.0.1:0"\n'

print("-- examples")
for _, name in ipairs{"entry.toml", "agent.toml", "banco-turni.toml",
  "riparazioni.toml"} do
  -- Checked under a name that does not depend on the source folder.
  run("--check", write(name, native.read_file(examples .. name)))
end

print("-- usage")
run()
run("--frobnicate")
run("a.toml", "b.toml")

print("-- files")
run(native.directory() .. "/missing.toml")
run("--check", native.directory() .. "/missing.toml")
run(write("empty.toml", ""))
run(write("syntax.toml", "role = [[[\n"))
run(write("role.toml", 'role = "boss"\n'))
run(write("no-table.toml", 'role = "agent"\n'))
run(write("both.toml", agent(kFree) .. "[entry]\n"))
run(write("keys.toml", 'role = "agent"\n[agent]\nid = "A B"\n'
  .. 'http = "10.0.0.1:80"\nslots = 99\ncolour = "red"\n'))

print("-- start")
run(write("port-entry.toml",
  entry('http = "' .. direct_address("e1") .. '"\nagents = "127.0.0.1:0"\n')))
run(write("port-agent.toml",
  agent('http = "' .. direct_address("a1") .. '"\n')))
run(write("address.toml",
  entry('http = "192.0.2.1:80"\nagents = "127.0.0.1:0"\n')))
run(write("ports-entry.toml",
  entry(kFreeEntry .. 'ports_file = "/nonexistent/ports"\n')))
run(write("ports-agent.toml",
  agent(kFree .. 'ports_file = "/nonexistent/ports"\n')))
run(write("log.toml",
  agent(kFree .. '[agent.log]\nfile = "/nonexistent/x.log"\n')))
