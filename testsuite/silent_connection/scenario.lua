-- Guards against waiting for ever on a connection that went silent while new
-- ones work, and against a second start when the home asks again.
cluster{entries = 2, agents = 1}

local tasks = echoes(6, "sleep=400")
local request = submit_async("e1", {tasks = tasks, deadline_ms = 20000})
wait_started(request.id, 6)
silence("a1", "e1")
local silenced_at = native.now()
local answer = wait(request, 15000)
print("answer: " .. answer.status .. " whole=" .. tostring(whole(answer, tasks)))
print("within 6 s: " .. tostring(native.now() - silenced_at < 6000))
print("starts: " .. #ledger(request.id))

-- Silent before the dispatch: the task must reach the agent anew.
silence("a1", "e1")
local second = submit_async("e1", {tasks = tasks, deadline_ms = 20000})
local late = wait(second, 20000)
print("submitted into the silence: " .. late.status .. " whole="
  .. tostring(whole(late, tasks)))
print("starts: " .. #ledger(second.id))
