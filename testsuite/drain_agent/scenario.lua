-- Guards against new tasks that a draining agent starts, and against the loss
-- of tasks that it still runs.
cluster{entries = 2, agents = 3}

-- Time after the drain request from which the agent starts no task.
local kDrainBoundUs = 3000000
local load = new_load({"e1", "e2"}, 16, small_jobs)
load.run_until(function() return worker_starts("w1") > 20 end, 20000,
  "a1 runs tasks")
local code = http("e1", "POST", "/v1/agents/a1/drain")
local drained_at = native.wall()
print("drain: " .. code)
load.run_until(function() return not running("a1") end, 20000, "a1 exits")
print("exit code of a1: " .. exit_code("a1"))
load.run_until(function()
  return native.wall() > drained_at + 2 * kDrainBoundUs
end, 20000, "the load runs for twice kDrainBoundUs")
load.finish()
local late_starts = 0
for line in native.read_file(ledger_path("w1"))
  :gmatch("[^\n]+") do
  local time = math.tointeger(line:match("^start (%d+)"))
  if time and time > drained_at + kDrainBoundUs then
    late_starts = late_starts + 1
  end
end
print("starts later than 3 s after the drain: " .. late_starts)
print("jobs not answered: " .. load.unanswered())
print("drain of an unknown agent: "
  .. http("e1", "POST", "/v1/agents/a9/drain"))
