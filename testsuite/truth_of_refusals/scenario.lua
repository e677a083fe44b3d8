-- Guards against a "not run" answer for a job of which a task was started. The
-- runner compares every such answer with the ledgers.
cluster{entries = 2, agents = 2, slots = 4}

local function all_typed(requests)
  local typed, refused, answered = true, 0, 0
  for _, request in ipairs(requests) do
    local answer = wait(request)
    local is_typed = answer.outcome == "answered" or answer.outcome == "refused"
      or answer.outcome == "failed" or answer.outcome == "outcome_unknown"
    if not is_typed then
      log("untyped:", answer.status, answer.body or answer.error)
    end
    typed = typed and is_typed
    refused = refused + (answer.not_run and 1 or 0)
    answered = answered + (answer.outcome == "answered" and 1 or 0)
  end
  return typed, refused, answered
end

-- More tasks than can run before the deadline.
local burst = {}
for i = 1, 200 do
  burst[i] = submit_async(i % 2 == 0 and "e1" or "e2",
    {tasks = echoes(4, "sleep=100"), deadline_ms = 1000})
end
local typed, refused, answered = all_typed(burst)
print("burst: all typed=" .. tostring(typed) .. " some refused="
  .. tostring(refused > 0) .. " some answered=" .. tostring(answered > 0))

-- The endpoint refuses tasks: the answer may say "not run" only when it refused
-- all tasks of the job.
local refused_job = submit("e1", {tasks = {"refuse"}, deadline_ms = 1500})
print("refused by the endpoint: " .. tostring(refused_job.outcome)
  .. " not_run=" .. tostring(refused_job.not_run) .. " starts="
  .. #ledger(refused_job.id))
local partly_refused_job = submit("e1",
  {tasks = {"echo=a", "refuse"}, deadline_ms = 1500})
print("one task refused, one run: " .. tostring(partly_refused_job.outcome)
  .. " not_run=" .. tostring(partly_refused_job.not_run or false))

-- An agent is killed and restarted while a burst is in flight.
local disturbed_burst = {}
for i = 1, 100 do
  disturbed_burst[i] = submit_async("e1",
    {tasks = echoes(2, "sleep=60"), deadline_ms = 3000})
end
kill("a1")
start("a1")
print("burst with an agent killed: all typed="
  .. tostring((all_typed(disturbed_burst))))
