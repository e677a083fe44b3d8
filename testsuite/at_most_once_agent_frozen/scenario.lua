-- Guards against a paused agent that starts a task after it wakes up, when the
-- job has been answered long ago.
cluster{entries = 2, agents = 1}

local kFreeze = 10000
local tasks = echoes(2, "sleep=20")
freeze("a1")
local frozen_at = native.now()
local sent_before = metric("e1", "egretrack_dispatches_total")
-- Within the 2 s in which the entry still uses the agent's credits.
local request = submit_async("e1", {tasks = tasks, deadline_ms = 3000})
local answer = wait(request, 8000)
print("sent to the frozen agent: "
  .. tostring(metric("e1", "egretrack_dispatches_total") > sent_before))
print("answer while frozen: " .. answer.status .. " " .. answer.outcome)
print("claims not run: " .. tostring(answer.not_run or false))
wait_until(function() return native.now() - frozen_at > kFreeze end,
  kFreeze + 1000, "time of the freeze")
thaw("a1")
wait_usable("e1", 1)
local fresh = submit("e1", {tasks = tasks})
print("next job whole: " .. tostring(whole(fresh, tasks)))
local again = resubmit("e2", request.id, {tasks = tasks, deadline_ms = 3000})
print("resubmitted: " .. again.status .. " " .. again.outcome)
print("starts of the job: " .. #ledger(request.id))
