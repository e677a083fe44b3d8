-- Guards against a recovery that works only once: the connection that replaces
-- a silent one becomes silent as well, both while tasks run and before they
-- arrive. A task that never reached a1 is fenced there and may go to the other
-- agent.
cluster{entries = 2, agents = 2}

local tasks = echoes(6, "sleep=3000")
local fields = {tasks = tasks, deadline_ms = 30000}

local function reconnects()
  return metric("a1", "egretrack_agent_reconnects_total")
end

local function silence_twice()
  for _ = 1, 2 do
    local before = reconnects()
    silence("a1", "e1")
    wait_until(function() return reconnects() > before end, 4000,
      "a1 opens a new connection")
  end
end

local running_request = submit_async("e1", fields)
wait_started(running_request.id, 6)
silence_twice()
local answer = wait(running_request, 20000)
print("tasks ran: " .. answer.status .. " whole="
  .. tostring(whole(answer, tasks)) .. " starts="
  .. #ledger(running_request.id))

silence("a1", "e1")
local second_request = submit_async("e1", fields)
silence_twice()
local second_answer = wait(second_request, 30000)
print("submitted into the silence: " .. second_answer.status .. " whole="
  .. tostring(whole(second_answer, tasks)) .. " starts="
  .. #ledger(second_request.id))
