-- Guards against a second start of tasks that were running when their agent was
-- killed.
cluster{entries = 2, agents = 3}

local tasks = echoes(12, "sleep=1500")
local request = submit_async("e1", {tasks = tasks, deadline_ms = 8000})
wait_started(request.id, 12)
local started_on_a1 = worker_starts("w1")
expect(started_on_a1 > 0, "a1 runs some of the tasks")
kill("a1")
start("a1")
local answer = wait(request, 12000)
local outcomes = task_outcomes(answer)
print("answer: " .. answer.status .. " " .. answer.outcome .. " not_run="
  .. tostring(answer.not_run or false))
print("tasks of a1 unknown, the others finished: " .. tostring(
  outcomes == "finished=" .. (12 - started_on_a1) .. " unknown="
    .. started_on_a1))

local resubmitted = resubmit("e2", request.id,
  {tasks = tasks, deadline_ms = 8000})
print("resubmitted: " .. resubmitted.status .. " " .. resubmitted.outcome)
print("starts: " .. #ledger(request.id))

wait_usable("e1", 3)
local next_answer = submit("e1", {tasks = tasks})
print("next job whole: " .. tostring(whole(next_answer, tasks)))
