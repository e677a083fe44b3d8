-- Guards against an egretrackctl that misreads the answers of an entry: a table
-- that holds only dashes, a wrong exit code, or a first publication that fails.
cluster{entries = 2, agents = 2, config = false}

local e1, e2 = direct_address("e1"), direct_address("e2")
-- Nothing listens on port 1.
local kUnusedAddress = "127.0.0.1:1"
local masks = {{e1, "E1"}, {e2, "E2"}, {native.directory() .. "/", ""}}

local function escape_pattern(text) return (text:gsub("%p", "%%%0")) end

-- Replaces the text that differs between runs, and the padding that depends on
-- its length.
local function mask_output(text)
  for _, pair in ipairs(masks) do
    text = text:gsub(escape_pattern(pair[1]), pair[2])
  end
  -- The address of the table service.
  text = text:gsub("127%.0%.0%.1:%d%d%d%d+", "ADDRESS")
  text = text:gsub("e%d%.%x+%.%x+%.%x+", "JOB")
  text = text:gsub("%f[%x]" .. ("%x"):rep(32) .. "%f[%X]", "PUBLICATION")
  text = text:gsub("%f[%x]" .. ("%x"):rep(16) .. "%f[%X]", "INCARNATION")
  return (text:gsub("  +", "  "))
end

local function print_lines(prefix, text)
  for line in text:gmatch("[^\n]+") do
    print(prefix .. mask_output(line))
  end
end

local function print_run(run, arguments)
  print("$ egretrackctl " .. mask_output(table.concat(arguments, " ")))
  print_lines("  out: ", run.out)
  print_lines("  err: ", run.err)
  print("  exit code: " .. run.code)
  return run
end

-- Runs egretrackctl against e1, and prints its output and exit code.
local function run(...)
  return print_run(ctl{"--entry", e1, ...}, {...})
end

-- Runs the command with table output, then with JSON output.
local function run_both(...)
  run(...)
  return run("--json", ...)
end

local function write_config(name, text)
  local path = native.directory() .. "/" .. name
  native.write_file(path, text)
  return path
end

local function submit_arguments(payload, ...)
  return "submit", "--kind", "find-engineer", "--team", "palermo",
    "--payload", payload, ...
end

-- Waits until e1 reports the version for each agent that it reaches.
local function wait_reported(version)
  wait_until(function()
    for _, agent in ipairs(status("e1").agents) do
      if agent.reachable and agent.config_version < version then
        return false
      end
    end
    return config_version("e1") >= version
  end, 5000, "e1 reports version " .. version)
end

local first = write_config("first.toml", default_config)
local second = write_config("second.toml", default_config .. "weight = 2\n")
local third = write_config("third.toml", default_config .. "weight = 3\n")
local invalid = write_config("invalid.toml", default_config .. [[
weight = 0
colour = "red"
[request_kind.unserved]
desk = "no-such-desk"
]])

print("-- usage")
print("  exit codes: " .. run("frobnicate").code .. " " .. run("submit").code
  .. " " .. run("status", "--timeout-ms", "0").code .. " "
  .. ctl{"--help"}.code)
print_run(ctl{"drain", "--entry", e1, "--entry", e2}, {"drain", "E1 and E2"})

print("-- check")
run_both("check", first)
run_both("check", invalid)
run("check", "/nonexistent")

print("-- before the first publication")
run_both("status")
run_both("history")
run_both("history", "--version", "1")
run_both("diff", first)
run_both(submit_arguments("echo=a"))
run_both("publish", invalid)
run_both("publish", first, "--base", "3")

print("-- first publication")
run("publish", first)
for _, name in ipairs{"e1", "e2"} do
  wait_usable(name, 2)
end
wait_version(all_daemons(), 1, 5000)
wait_reported(1)
run_both("history")
run_both("history", "--version", "1")
run_both("history", "--version", "9")
run_both("diff", first)
run_both("diff", second)
run_both("diff", invalid)
run_both("status")

print("-- publish race")
local publishers = {
  ctl_async{"--entry", e1, "publish", second, "--base", "1"},
  ctl_async{"--entry", e2, "publish", third, "--base", "1"},
}
local codes, loser = {}, nil
for i, publisher in ipairs(publishers) do
  publishers[i] = wait_ctl(publisher)
  codes[i] = publishers[i].code
  if publishers[i].code == 7 then
    loser = publishers[i]
  end
end
table.sort(codes)
print("  exit codes: " .. table.concat(codes, " "))
print("  loser sees the difference: "
  .. tostring(loser.err:find("limit.team-palermo  weight", 1, true) ~= nil))
wait_version(all_daemons(), 2, 5000)
run("--json", "publish", second, "--base", "2")
wait_version(all_daemons(), 3, 5000)
wait_reported(3)
run_both("publish", first, "--base", "1")

print("-- table service down")
control_table{down = true}
run_both("publish", second, "--base", "3")
run_both("history")
run("status")
control_table{}

print("-- jobs")
run_both(submit_arguments("echo=a", "--payload", "echo=b"))
run_both(submit_arguments("fail", "--payload", "echo=b"))
run_both("submit", "--kind", "no-such-kind", "--team", "palermo", "--payload",
  "p")
run_both(submit_arguments("echo=a", "--deadline-ms", "60001"))
run("submit", "--kind", "find-engineer", "--team", "palermo", "--payload",
  "\xff")
run(submit_arguments("echo=a", "--id", "no-id"))
local id = reserve("e1")
run(submit_arguments("echo=a", "--id", id))
run(submit_arguments("echo=a", "--id", id))
run_both(submit_arguments("echo=other", "--id", id))
run_both("job", "get", id)
run_both("job", "get", reserve("e1"))
run("job", "get", "no-id")
run_both("job", "cancel", reserve("e1"))
run("job", "cancel", "no-id")
local running_id = reserve("e1")
local running_submit = ctl_async{"--entry", e1,
  submit_arguments("sleep=2000", "--id", running_id)}
wait_started(running_id, 1)
run_both("job", "get", running_id)
run_both("job", "cancel", running_id)
print("  cancelled submission: " .. wait_ctl(running_submit).code)
wait_ctl(running_submit)

print("-- no answer")
for _, arguments in ipairs{{"status"}, {"history"}, {"diff", first},
  {"publish", first}, {"publish", first, "--base", "3"},
  {submit_arguments("echo=a")}, {submit_arguments("echo=a", "--id", id)},
  {"job", "get", id}, {"job", "cancel", id}, {"drain", "--agent", "a1"},
  {"drain"}, {"report", "burn"}} do
  print_run(ctl{"--entry", kUnusedAddress, table.unpack(arguments)}, arguments)
end
-- The operating system accepts the connection of a frozen entry, and the
-- request is never answered.
freeze("e2")
for _, arguments in ipairs{{"job", "get", id}, {"job", "cancel", id},
  {"publish", first, "--base", "1"}} do
  print_run(ctl{"--entry", e2, "--timeout-ms", "200", table.unpack(arguments)},
    arguments)
end
-- The next entry answers instead of the frozen one.
print_run(
  ctl{"--entry", e2, "--entry", e1, "--timeout-ms", "200", "job", "get", id},
  {"job", "get", id})
thaw("e2")
wait_usable("e2", 2)

print("-- report")
local svg_path = native.directory() .. "/burn.svg"
-- Prints only the 60-minute window: the shorter ones depend on the time within
-- the minute.
local function print_burn(...)
  local report = ctl{"--entry", e1, "report", "burn", ...}
  for line in report.out:gmatch("[^\n]+") do
    if line:find("60 min", 1, true) or line:find("objective", 1, true) then
      print_lines("  out: ", line)
    end
  end
  print_lines("  err: ", report.err)
  print("  exit code: " .. report.code)
end
print_burn("--svg", svg_path)
print("  chart: " .. tostring(native.read_file(svg_path):sub(1, 5)))
local json = ctl{"--entry", e1, "--json", "report", "burn"}
print("  JSON: " .. json.code .. " " .. native.json(json.out).desks[1].desk)
print_burn("--svg", "/nonexistent/burn.svg")

print("-- drain of an agent")
run_both("drain", "--agent", "a9")
run("drain", "--agent", "no/name")
run("drain", "--agent", "a2")
print("  a2 exits with " .. wait_exit("a2", 10000))
wait_until(function()
  return usable_agents("e1") == 1 and usable_agents("e2") == 1
end, 5000, "e1 and e2 can no longer use a2")

print("-- unknown outcome")
local lost_id = reserve("e1")
local lost_submit = ctl_async{"--entry", e1,
  submit_arguments("sleep=9000", "--id", lost_id, "--deadline-ms", "3000")}
wait_started(lost_id, 1)
kill("a1")
print_run(wait_ctl(lost_submit),
  {submit_arguments("sleep=9000", "--id", lost_id)})
run_both("job", "get", lost_id)

print("-- drain of an entry")
print_run(ctl{"--entry", e2, "--json", "drain"}, {"--json", "drain"})
print("  e2 exits with " .. wait_exit("e2", 20000))
print("-- status with one dead entry")
print_run(ctl{"--entry", e1, "--entry", e2, "status"}, {"status"})
print_run(ctl{"--entry", e1, "--entry", e2, "--json", "status"},
  {"--json", "status"})
run("drain")
print("  e1 exits with " .. wait_exit("e1", 20000))
