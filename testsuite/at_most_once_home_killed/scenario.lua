-- Guards against another entry that starts a job again after the job's home
-- entry was killed. Resubmissions must get the whole answer of the first run or
-- outcome_unknown, never a new run.
cluster{entries = 2, agents = 3}

local running_job = {tasks = echoes(6, "sleep=2000"), deadline_ms = 30000}
local queued_job = {tasks = echoes(60, "sleep=2000"), deadline_ms = 30000}
local finished_id = reserve("e1")
local partial_id = reserve("e1")
local lost_id = reserve("e1")

local running_request = submit_id_async("e1", finished_id, running_job)
wait_started(finished_id, 6)
local queued_request = submit_id_async("e1", partial_id, queued_job)
wait_started(partial_id, 1)
kill("e1")
print("caller of the killed home: " .. wait(running_request).outcome)
print("caller of the queued job: " .. wait(queued_request).outcome)

local while_running = resubmit("e2", finished_id, running_job)
print("resubmitted while tasks run: " .. while_running.status .. " "
  .. while_running.outcome .. " not_run="
  .. tostring(while_running.not_run or false))

local answer = wait_until(function()
  local again = resubmit("e2", finished_id, running_job)
  return again.outcome == "answered" and again
end, 10000, "whole answer from the agents' records")
print("resubmitted after the tasks ended: whole="
  .. tostring(whole(answer, running_job.tasks)))

local partial = resubmit("e2", partial_id, queued_job)
print("partly started job: " .. partial.status .. " " .. partial.outcome
  .. " not_run=" .. tostring(partial.not_run or false))
local lost = resubmit("e2", lost_id, running_job)
print("job that never reached its home: " .. lost.status .. " " .. lost.outcome
  .. " not_run=" .. tostring(lost.not_run or false))

start("e1")
wait_usable("e1", 3)
local finished_after_restart = resubmit("e1", finished_id, running_job)
print("resubmitted through the new incarnation: whole="
  .. tostring(whole(finished_after_restart, running_job.tasks)))
local again = resubmit("e1", partial_id, queued_job)
print("partly started job, new incarnation: " .. again.status .. " "
  .. again.outcome)
print("starts of the finished job: " .. #ledger(finished_id))
print("fewer starts than tasks of the partly started job: "
  .. tostring(#ledger(partial_id) < 60))
print("starts of the lost job: " .. #ledger(lost_id))
