-- Guards against an unlimited wait on a connection that became silent while new
-- connections work, and against a second start when the home entry queries the
-- agent again.
cluster{entries = 2, agents = 1}

local tasks = echoes(6, "sleep=400")
local request = submit_async("e1", {tasks = tasks, deadline_ms = 20000})
wait_started(request.id, 6)
silence("a1", "e1")
local silenced_at = native.now()
local answer = wait(request, 15000)
print("answer: " .. answer.status .. " whole="
  .. tostring(whole(answer, tasks)))
print("within 6 s: " .. tostring(native.now() - silenced_at < 6000))
print("starts: " .. #ledger(request.id))

-- The connection is silent before the dispatch: the tasks must be dispatched
-- again on a new connection.
silence("a1", "e1")
local second_request = submit_async("e1", {tasks = tasks, deadline_ms = 20000})
local second_answer = wait(second_request, 20000)
print("submitted into the silence: " .. second_answer.status .. " whole="
  .. tostring(whole(second_answer, tasks)))
print("starts: " .. #ledger(second_request.id))
