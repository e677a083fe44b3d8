-- Guards against new tasks that a draining agent starts while it cannot exit,
-- because one of its tasks runs for a long time.
cluster{entries = 2, agents = 2}

-- Time after the drain request from which the agent starts no task.
local kDrainBoundUs = 3000000
local kLongTaskMs = 8000
local long_job = {tasks = echoes(2, "sleep=" .. kLongTaskMs),
  deadline_ms = 30000}
local load = new_load({"e1", "e2"}, 8, small_jobs)
local request = submit_async("e1", long_job)
wait_started(request.id, 2)
local function started_long_job(name)
  local text = native.read_file(ledger_path(name)) or ""
  return text:find(request.id, 1, true) ~= nil
end
local index = started_long_job("w1") and 1 or 2
local agent, worker = "a" .. index, "w" .. index
local starts_before = worker_starts(worker)
load.run_until(function() return worker_starts(worker) > starts_before + 20 end,
  20000, agent .. " runs short tasks")
local code = http("e1", "POST", "/v1/agents/" .. agent .. "/drain")
local drained_at = native.wall()
print("drain: " .. code)
load.run_until(function()
  return native.wall() > drained_at + 2 * kDrainBoundUs
end, 20000, "the load runs for twice kDrainBoundUs")
print("still running: " .. tostring(running(agent)))
load.finish()
local late_starts = 0
for line in native.read_file(ledger_path(worker)):gmatch("[^\n]+") do
  local time = math.tointeger(line:match("^start (%d+)"))
  if time and time > drained_at + kDrainBoundUs then
    late_starts = late_starts + 1
  end
end
print("starts later than 3 s after the drain: " .. late_starts)
print("long job whole: " .. tostring(whole(wait(request), long_job.tasks)))
print("exit code: " .. wait_exit(agent, 10000))
print("jobs not answered: " .. load.unanswered())
