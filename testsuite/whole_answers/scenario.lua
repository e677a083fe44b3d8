-- Guards against answers that are partial, truncated or hold the results of
-- another job.
cluster{entries = 2, agents = 3}

local tasks = echoes(1200, "sleep=5")
local large_answer = submit("e1", {tasks = tasks, deadline_ms = 30000})
print("1,200 tasks: " .. large_answer.status .. " whole="
  .. tostring(whole(large_answer, tasks)))

tasks[600] = "fail"
local failing = submit("e2", {tasks = tasks, deadline_ms = 30000})
print("one of 1,200 fails: " .. failing.status .. " "
  .. tostring(failing.outcome) .. " results="
  .. tostring(failing.results ~= nil) .. " tasks=" .. #failing.tasks)

for _, fault in ipairs{"cut", "short"} do
  local damaged_answer = submit("e1", {tasks = {"echo=a", fault .. " echo=b"}})
  print(fault .. ": " .. damaged_answer.status .. " "
    .. tostring(damaged_answer.outcome) .. " not_run="
    .. tostring(damaged_answer.not_run or false))
end

local requests = {}
for i = 1, 100 do
  requests[i] = submit_async(i % 2 == 0 and "e1" or "e2",
    {tasks = echoes(1 + i % 7, "sleep=" .. i % 40)})
end
local all_whole = true
for i, request in ipairs(requests) do
  all_whole = whole(wait(request), echoes(1 + i % 7, "sleep=" .. i % 40))
    and all_whole
end
print("100 jobs at once, each its own answer: " .. tostring(all_whole))
