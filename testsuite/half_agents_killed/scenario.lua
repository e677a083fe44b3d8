-- Guards against the loss of more than the running tasks when half of the
-- agents are killed at once.
cluster{entries = 2, agents = 4}

-- Tasks that two agents can run or hold: their slots and one task of overcommit
-- each.
local kMaxLostTasks = 2 * (8 + 1)
-- A job that waits for a killed agent fails at its deadline.
local function make_job()
  return {tasks = echoes(3, "sleep=30"), deadline_ms = 6000}
end
local load = new_load({"e1", "e2"}, 32, make_job)
load.run_until(function() return (load.counts.answered or 0) > 30 end, 20000,
  "more than 30 jobs are answered")
kill("a1")
kill("a2")
local submitted_before = load.submitted
load.run_until(function()
  return load.submitted > submitted_before + 200
end, 30000, "more than 200 jobs are submitted with half of the agents")
load.finish()
log("outcomes:", load.counts.answered, load.counts.failed,
  load.counts.outcome_unknown, load.counts.refused)
print("callers without an answer: " .. (load.counts.none or 0))
print("jobs lost, at most the tasks of two agents: "
  .. tostring(load.unanswered() <= kMaxLostTasks))

local load_afterwards = new_load({"e1", "e2"}, 12, make_job)
load_afterwards.run_until(function()
  return load_afterwards.submitted >= 100
end, 20000, "100 jobs are submitted")
load_afterwards.finish()
print("not answered afterwards: " .. load_afterwards.unanswered())
start("a1")
start("a2")
wait_usable("e1", 4)
print("back to four agents")
