-- Guards against a start by an agent that sleeps past start_by when the home
-- that sent the task is dead, so that nobody asks or fences the agent.
cluster{entries = 2, agents = 1}

local kFreeze = 8000
local fields = {tasks = echoes(2, "sleep=20"), deadline_ms = 3000}
local sent_before = metric("e1", "egretrack_dispatches_total")
freeze("a1")
local frozen_at = native.now()
local request = submit_async("e1", fields)
wait_until(function()
  return metric("e1", "egretrack_dispatches_total") > sent_before
end, 2000, "a dispatch to the frozen agent")
kill("e1")
print("caller of the killed home: " .. wait(request).outcome)
local early = resubmit("e2", request.id, fields)
print("resubmitted while frozen: " .. early.status .. " " .. early.outcome
  .. " not_run=" .. tostring(early.not_run or false))
wait_until(function() return native.now() - frozen_at > kFreeze end,
  kFreeze + 1000, "time of the freeze")
thaw("a1")
wait_usable("e2", 1)
print("no start after the thaw: " .. tostring(
  holds_for(function() return #ledger(request.id) == 0 end, 2000)))
local late = resubmit("e2", request.id, fields)
print("resubmitted after the thaw: " .. late.status .. " " .. late.outcome
  .. " not_run=" .. tostring(late.not_run or false))
start("e1")
wait_usable("e1", 1)
local again = resubmit("e1", request.id, fields)
print("through the new incarnation: " .. again.status .. " " .. again.outcome)
print("starts: " .. #ledger(request.id))
print("next job: " .. submit("e1", fields).status)
