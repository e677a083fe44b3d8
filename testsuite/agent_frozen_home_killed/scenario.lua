-- Guards against a frozen agent that starts a task after the task's start_by.
-- The home entry that sent the task is killed, so that no entry queries or
-- fences the agent.
cluster{entries = 2, agents = 1}

local kFreezeMs = 8000
local fields = {tasks = echoes(2, "sleep=20"), deadline_ms = 3000}
local dispatches_before = metric("e1", "egretrack_dispatches_total")
freeze("a1")
local frozen_at = native.now()
local request = submit_async("e1", fields)
wait_until(function()
  return metric("e1", "egretrack_dispatches_total") > dispatches_before
end, 2000, "e1 dispatches a task to the frozen agent")
kill("e1")
print("caller of the killed home: " .. wait(request).outcome)
local while_frozen = resubmit("e2", request.id, fields)
print("resubmitted while frozen: " .. while_frozen.status .. " "
  .. while_frozen.outcome .. " not_run="
  .. tostring(while_frozen.not_run or false))
wait_until(function() return native.now() - frozen_at > kFreezeMs end,
  kFreezeMs + 1000, "the freeze lasts kFreezeMs")
thaw("a1")
wait_usable("e2", 1)
print("no start after the thaw: " .. tostring(
  holds_for(function() return #ledger(request.id) == 0 end, 2000)))
local after_thaw = resubmit("e2", request.id, fields)
print("resubmitted after the thaw: " .. after_thaw.status .. " "
  .. after_thaw.outcome .. " not_run=" .. tostring(after_thaw.not_run or false))
start("e1")
wait_usable("e1", 1)
local after_restart = resubmit("e1", request.id, fields)
print("through the new incarnation: " .. after_restart.status .. " "
  .. after_restart.outcome)
print("starts: " .. #ledger(request.id))
print("next job: " .. submit("e1", fields).status)
