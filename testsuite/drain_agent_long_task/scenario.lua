-- Guards against new work for a draining agent that can not exit yet, because
-- one of its tasks runs for long.
cluster{entries = 2, agents = 2}

local kBound = 3000000  -- Microseconds after the drain.
local kLong = 8000
local long = {tasks = echoes(2, "sleep=" .. kLong), deadline_ms = 30000}
local load = new_load({"e1", "e2"}, 8, small_jobs)
local request = submit_async("e1", long)
wait_started(request.id, 2)
local function runs_long(name)
  local text = native.read_file(ledger_path(name)) or ""
  return text:find(request.id, 1, true) ~= nil
end
local index = runs_long("w1") and 1 or 2
local agent, worker = "a" .. index, "w" .. index
local before = worker_starts(worker)
load.run_until(function() return worker_starts(worker) > before + 20 end,
  20000, agent .. " runs short tasks")
local code = http("e1", "POST", "/v1/agents/" .. agent .. "/drain")
local drained_at = native.wall()
print("drain: " .. code)
load.run_until(function() return native.wall() > drained_at + 2 * kBound end,
  20000, "load goes on")
print("still running: " .. tostring(running(agent)))
load.finish()
local late = 0
for line in native.read_file(ledger_path(worker)):gmatch("[^\n]+") do
  local time = math.tointeger(line:match("^start (%d+)"))
  if time and time > drained_at + kBound then
    late = late + 1
  end
end
print("starts later than 3 s after the drain: " .. late)
print("long job whole: " .. tostring(whole(wait(request), long.tasks)))
print("exit code: " .. wait_exit(agent, 10000))
print("jobs not answered: " .. load.unanswered())
