-- Guards against partial, truncated and crossed answers.
cluster{entries = 2, agents = 3}

local tasks = echoes(1200, "sleep=5")
local big = submit("e1", {tasks = tasks, deadline_ms = 30000})
print("1,200 tasks: " .. big.status .. " whole=" .. tostring(whole(big, tasks)))

tasks[600] = "fail"
local failing = submit("e2", {tasks = tasks, deadline_ms = 30000})
print("one of 1,200 fails: " .. failing.status .. " "
  .. tostring(failing.outcome) .. " results="
  .. tostring(failing.results ~= nil) .. " tasks=" .. #failing.tasks)

for _, word in ipairs{"cut", "short"} do
  local broken = submit("e1", {tasks = {"echo=a", word .. " echo=b"}})
  print(word .. ": " .. broken.status .. " " .. tostring(broken.outcome)
    .. " not_run=" .. tostring(broken.not_run or false))
end

local requests = {}
for i = 1, 100 do
  requests[i] = submit_async(i % 2 == 0 and "e1" or "e2",
    {tasks = echoes(1 + i % 7, "sleep=" .. i % 40)})
end
local own = true
for i, request in ipairs(requests) do
  own = whole(wait(request), echoes(1 + i % 7, "sleep=" .. i % 40)) and own
end
print("100 jobs at once, each its own answer: " .. tostring(own))
