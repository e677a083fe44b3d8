-- Guards against cancelled jobs that still start, delay other jobs, or leave
-- their callers without an answer, when 1,000 jobs are cancelled in a row.
cluster{entries = 2, agents = 3, settings = {entry = {admission = false}}}

local kJobs = 1000
local requests = {}
local ids = {e1 = reserve("e1", kJobs // 2), e2 = reserve("e2", kJobs // 2)}
for name, job_ids in pairs(ids) do
  for _, id in ipairs(job_ids) do
    requests[#requests + 1] = submit_id_async(name, id,
      {tasks = echoes(1, "sleep=1000"), deadline_ms = 60000})
  end
end
wait_until(function() return #ledger() >= 12 end, 10000, "first starts")
local accepted_count = 0
for name, job_ids in pairs(ids) do
  for _, id in ipairs(job_ids) do
    local code = cancel(name, id)
    accepted_count = accepted_count + (code == 202 and 1 or 0)
  end
end
local cancelled_at = native.now()
local outcomes = {}
for _, request in ipairs(requests) do
  local answer = wait(request, 15000)
  outcomes[answer.outcome or "none"] =
    (outcomes[answer.outcome or "none"] or 0) + 1
end
for outcome, count in pairs(outcomes) do
  log("outcome", outcome, count)
end
print("cancellations accepted: " .. accepted_count)
print("all answered within 10 s: "
  .. tostring(native.now() - cancelled_at < 10000))
print("most never started: " .. tostring(#ledger() < kJobs / 4))
print("callers without an answer: " .. (outcomes.none or 0))
local next_job = submit("e1", {tasks = echoes(6, "sleep=10")})
print("next job: " .. next_job.status)
print("cancel a job that was never submitted: "
  .. cancel("e1", reserve("e1")))
