-- Guards against a second start when many callers resubmit one id through both
-- entries while the home entry is killed.
cluster{entries = 2, agents = 3}

local kRounds = 4
local kCallers = 12
local tasks = echoes(6, "sleep=400")
local fields = {tasks = tasks, deadline_ms = 20000}

-- True for the answers that are allowed while the home entry is down.
local function is_allowed(answer)
  return whole(answer, tasks) or answer.outcome == "outcome_unknown"
end

local function submit_burst(id, entries)
  local requests = {}
  for i = 1, kCallers do
    local name = entries[i % #entries + 1]
    requests[i] = submit_id_async(name, id, fields)
    requests[i].entry = name
  end
  return requests
end

local all_allowed, not_run_claimed, whole_later, starts = true, false, 0, 0
for _ = 1, kRounds do
  local id = reserve("e1")
  local burst_before = submit_burst(id, {"e1", "e2"})
  wait_started(id, #tasks)
  kill("e1")
  local burst_after = submit_burst(id, {"e2"})
  for _, request in ipairs(burst_before) do
    local answer = wait(request)
    local lost = request.entry == "e1" and answer.outcome == "none"
    all_allowed = all_allowed and (lost or is_allowed(answer))
    not_run_claimed = not_run_claimed or answer.not_run == true
  end
  for _, request in ipairs(burst_after) do
    local answer = wait(request)
    all_allowed = all_allowed and is_allowed(answer)
    not_run_claimed = not_run_claimed or answer.not_run == true
  end
  wait_until(function() return whole(resubmit("e2", id, fields), tasks) end,
    10000, "whole answer from the agents' records")
  whole_later = whole_later + 1
  start("e1")
  wait_usable("e1", 3)
  expect(whole(resubmit("e1", id, fields), tasks),
    "whole answer from the new incarnation")
  starts = starts + #ledger(id)
end
print("answers whole or unknown: " .. tostring(all_allowed))
print("not run claimed: " .. tostring(not_run_claimed))
print("whole answers later: " .. whole_later)
print("starts: " .. starts)
