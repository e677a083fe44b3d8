-- Guards against a home that wakes up after a long pause and starts tasks
-- again, or late, while callers resubmit its jobs through both entries.
cluster{entries = 2, agents = 3}

local kFreeze = 10000
local running = {tasks = echoes(6, "sleep=1500"), deadline_ms = 40000}
local short = {tasks = echoes(40, "sleep=1000"), deadline_ms = 4000}
local running_id = reserve("e1")
local short_id = reserve("e1")
local first = submit_id_async("e1", running_id, running)
wait_started(running_id, 6)
local second = submit_id_async("e1", short_id, short)
wait_started(short_id, 1)
freeze("e1")
local frozen_at = native.now()

local callers = {}
for i = 1, 8 do
  local name = i % 2 == 0 and "e1" or "e2"
  callers[i] = submit_id_async(name, running_id, running)
end
local while_frozen = resubmit("e2", short_id, short)
print("short job while frozen: " .. while_frozen.status .. " "
  .. while_frozen.outcome .. " not_run="
  .. tostring(while_frozen.not_run or false))
wait_until(function() return native.now() - frozen_at > kFreeze end,
  kFreeze + 1000, "time of the freeze")
thaw("e1")
for i = 9, 16 do
  local name = i % 2 == 0 and "e1" or "e2"
  callers[i] = submit_id_async(name, running_id, running)
end

local all_whole = whole(wait(first), running.tasks)
for _, request in ipairs(callers) do
  all_whole = all_whole and whole(wait(request), running.tasks)
end
print("running job whole for every caller: " .. tostring(all_whole))
print("starts of the running job: " .. #ledger(running_id))

local late = wait(second)
log("short job after the thaw:", late.status, late.outcome,
  task_outcomes(late))
print("short job answered as a whole: " .. tostring(late.outcome == "answered")
  .. " not_run=" .. tostring(late.not_run or false))
local starts = #ledger(short_id)
print("repeated through both entries: " .. tostring(
  resubmit("e1", short_id, short).outcome == late.outcome
  and resubmit("e2", short_id, short).outcome == late.outcome))
print("no start past the deadline: " .. tostring(starts < 40
  and holds_for(function() return #ledger(short_id) == starts end, 1500)))
wait_usable("e1", 3)
print("next job: " .. submit("e1", {tasks = echoes(3)}).status)
