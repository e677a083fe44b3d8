-- Guards against two runs of a job that is submitted to both entries at the
-- same time.
cluster{entries = 2, agents = 3}

local kRounds = 20
local tasks = echoes(5, "sleep=40")
local all_whole = true
local starts = 0
for round = 1, kRounds do
  local home = round % 2 == 0 and "e1" or "e2"
  local id = reserve(home)
  local requests = {}
  for i = 1, 6 do
    requests[i] = submit_id_async(i % 2 == 0 and "e1" or "e2", id,
      {tasks = tasks})
  end
  for _, request in ipairs(requests) do
    local answer = wait(request)
    all_whole = all_whole and whole(answer, tasks)
  end
  starts = starts + #ledger(id)
end
print("all answers whole: " .. tostring(all_whole))
print("starts: " .. starts)

local id = reserve("e1")
submit_id("e1", id, {tasks = tasks})
local other_content = resubmit("e2", id, {tasks = echoes(4, "sleep=40")})
print("other content under the same id: " .. tostring(other_content.error)
  .. " not_run=" .. tostring(other_content.not_run or false))
print("starts: " .. #ledger(id))
