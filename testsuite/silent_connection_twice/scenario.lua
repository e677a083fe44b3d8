-- Guards against a recovery that works once only: the connection that replaced
-- a silent one goes silent as well, while tasks run and before they arrive.
-- A task that a1 never got is fenced there and may go to the other agent.
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

local running = submit_async("e1", fields)
wait_started(running.id, 6)
silence_twice()
local answer = wait(running, 20000)
print("tasks ran: " .. answer.status .. " whole="
  .. tostring(whole(answer, tasks)) .. " starts=" .. #ledger(running.id))

silence("a1", "e1")
local sent = submit_async("e1", fields)
silence_twice()
local late = wait(sent, 30000)
print("submitted into the silence: " .. late.status .. " whole="
  .. tostring(whole(late, tasks)) .. " starts=" .. #ledger(sent.id))
