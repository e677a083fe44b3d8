-- Guards against losing more than the running tasks when half of the agents
-- die at once.
cluster{entries = 2, agents = 4}

-- Slots and overcommit of two agents: what they can hold or be sent.
local kLost = 2 * (8 + 1)
-- A job that waits for a dead agent fails at its deadline.
local function jobs()
  return {tasks = echoes(3, "sleep=30"), deadline_ms = 6000}
end
local load = new_load({"e1", "e2"}, 32, jobs)
load.run_until(function() return (load.counts.answered or 0) > 30 end, 20000,
  "load runs")
kill("a1")
kill("a2")
local submitted_before = load.submitted
load.run_until(function()
  return load.submitted > submitted_before + 200
end, 30000, "load goes on with half of the agents")
load.finish()
log("outcomes:", load.counts.answered, load.counts.failed,
  load.counts.outcome_unknown, load.counts.refused)
print("callers without an answer: " .. (load.counts.none or 0))
print("jobs lost, at most the tasks of two agents: "
  .. tostring(load.unanswered() <= kLost))

local healthy = new_load({"e1", "e2"}, 12, jobs)
healthy.run_until(function() return healthy.submitted >= 100 end, 20000,
  "100 jobs")
healthy.finish()
print("not answered afterwards: " .. healthy.unanswered())
start("a1")
start("a2")
wait_usable("e1", 4)
print("back to four agents")
