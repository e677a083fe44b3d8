-- Guards against a frozen agent that starts a task after it is thawed, long
-- after the job was answered.
cluster{entries = 2, agents = 1}

local kFreezeMs = 10000
local tasks = echoes(2, "sleep=20")
freeze("a1")
local frozen_at = native.now()
local dispatches_before = metric("e1", "egretrack_dispatches_total")
-- Submitted within the 2 s for which the entry still uses the credits of the
-- frozen agent.
local request = submit_async("e1", {tasks = tasks, deadline_ms = 3000})
local answer = wait(request, 8000)
print("sent to the frozen agent: "
  .. tostring(metric("e1", "egretrack_dispatches_total") > dispatches_before))
print("answer while frozen: " .. answer.status .. " " .. answer.outcome)
print("claims not run: " .. tostring(answer.not_run or false))
wait_until(function() return native.now() - frozen_at > kFreezeMs end,
  kFreezeMs + 1000, "the freeze lasts kFreezeMs")
thaw("a1")
wait_usable("e1", 1)
local next_answer = submit("e1", {tasks = tasks})
print("next job whole: " .. tostring(whole(next_answer, tasks)))
local resubmitted = resubmit("e2", request.id,
  {tasks = tasks, deadline_ms = 3000})
print("resubmitted: " .. resubmitted.status .. " " .. resubmitted.outcome)
print("starts of the job: " .. #ledger(request.id))
