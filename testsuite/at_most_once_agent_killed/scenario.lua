-- Guards against a second start of tasks whose agent died while they ran.
cluster{entries = 2, agents = 3}

local tasks = echoes(12, "sleep=1500")
local request = submit_async("e1", {tasks = tasks, deadline_ms = 8000})
wait_started(request.id, 12)
local started = worker_starts("w1")
expect(started > 0, "a1 runs some of the tasks")
kill("a1")
start("a1")
local answer = wait(request, 12000)
local outcomes = task_outcomes(answer)
print("answer: " .. answer.status .. " " .. answer.outcome .. " not_run="
  .. tostring(answer.not_run or false))
print("tasks of a1 unknown, the others finished: " .. tostring(
  outcomes == "finished=" .. (12 - started) .. " unknown=" .. started))

local again = resubmit("e2", request.id, {tasks = tasks, deadline_ms = 8000})
print("resubmitted: " .. again.status .. " " .. again.outcome)
print("starts: " .. #ledger(request.id))

wait_usable("e1", 3)
local fresh = submit("e1", {tasks = tasks})
print("next job whole: " .. tostring(whole(fresh, tasks)))
