-- Guards against a home entry that is frozen for a long time and after the thaw
-- starts tasks again, or after their deadline, while callers resubmit its jobs
-- through both entries.
cluster{entries = 2, agents = 3}

local kFreezeMs = 10000
local running_job = {tasks = echoes(6, "sleep=1500"), deadline_ms = 40000}
local short_job = {tasks = echoes(40, "sleep=1000"), deadline_ms = 4000}
local running_id = reserve("e1")
local short_id = reserve("e1")
local running_request = submit_id_async("e1", running_id, running_job)
wait_started(running_id, 6)
local short_request = submit_id_async("e1", short_id, short_job)
wait_started(short_id, 1)
freeze("e1")
local frozen_at = native.now()

local callers = {}
for i = 1, 8 do
  local name = i % 2 == 0 and "e1" or "e2"
  callers[i] = submit_id_async(name, running_id, running_job)
end
local while_frozen = resubmit("e2", short_id, short_job)
print("short job while frozen: " .. while_frozen.status .. " "
  .. while_frozen.outcome .. " not_run="
  .. tostring(while_frozen.not_run or false))
wait_until(function() return native.now() - frozen_at > kFreezeMs end,
  kFreezeMs + 1000, "the freeze lasts kFreezeMs")
thaw("e1")
for i = 9, 16 do
  local name = i % 2 == 0 and "e1" or "e2"
  callers[i] = submit_id_async(name, running_id, running_job)
end

local all_whole = whole(wait(running_request), running_job.tasks)
for _, request in ipairs(callers) do
  all_whole = all_whole and whole(wait(request), running_job.tasks)
end
print("running job whole for every caller: " .. tostring(all_whole))
print("starts of the running job: " .. #ledger(running_id))

local short_answer = wait(short_request)
log("short job after the thaw:", short_answer.status, short_answer.outcome,
  task_outcomes(short_answer))
print("short job answered as a whole: "
  .. tostring(short_answer.outcome == "answered")
  .. " not_run=" .. tostring(short_answer.not_run or false))
local short_starts = #ledger(short_id)
print("repeated through both entries: " .. tostring(
  resubmit("e1", short_id, short_job).outcome == short_answer.outcome
  and resubmit("e2", short_id, short_job).outcome == short_answer.outcome))
print("no start past the deadline: " .. tostring(short_starts < 40
  and holds_for(function() return #ledger(short_id) == short_starts end, 1500)))
wait_usable("e1", 3)
print("next job: " .. submit("e1", {tasks = echoes(3)}).status)
