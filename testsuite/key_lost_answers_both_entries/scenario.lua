-- Guards against two runs for one Idempotency-Key that is sent to both entries
-- at the same time while the table's answers to writes are lost.
cluster{entries = 2, agents = 2}

local kRounds = 10
local tasks = echoes(2, "sleep=20")
local fields = {tasks = tasks, deadline_ms = 10000}

local function post_with_key(name, key)
  return post_async(name, fields, {{"Idempotency-Key", key}})
end

local function is_typed(answer)
  return answer.outcome == "answered" or answer.outcome == "refused"
    or answer.outcome == "outcome_unknown"
end

control_table{lose_answers = true}
local keys, requests = {}, {}
for round = 1, kRounds do
  keys[round] = "lost-" .. round
  for i = 1, 4 do
    requests[#requests + 1] = post_with_key(i % 2 == 0 and "e1" or "e2",
      keys[round])
  end
end
local all_typed = true
for _, request in ipairs(requests) do
  local answer = wait(request)
  if not is_typed(answer) then
    log("untyped:", answer.status, answer.body or answer.error)
  end
  all_typed = all_typed and is_typed(answer)
end
print("every answer typed: " .. tostring(all_typed))
control_table{}
local same_job = true
for _, key in ipairs(keys) do
  local first = wait(post_with_key("e1", key))
  local second = wait(post_with_key("e2", key))
  same_job = same_job and whole(first, tasks) and whole(second, tasks)
    and first.id == second.id
end
print("one job for each key afterwards: " .. tostring(same_job))
print("starts: " .. #ledger())
