-- Guards against the start of a task whose dispatch arrives after start_by. The
-- connection is slow in both directions but never silent: only start_by, and a
-- bound on the home entry's clock that counts the whole round trip, prevent the
-- start.
cluster{entries = 1, agents = 1}

-- The delay grows in steps: with a delay of kDelayMs the heartbeat replies
-- arrive kDelayMs apart, and each step adds twice kStepMs once. The agent opens
-- a new connection after 1 s without a reply.
local kDelayMs = 700
local kStepMs = 100
local kStepTimeMs = 800
-- The deadline, and the 500 ms for the answers to queries, pass before a report
-- can arrive.
local fields = {tasks = echoes(4, "sleep=10"), deadline_ms = 300}

local function agent_counter(name)
  return metric("a1", "egretrack_agent_" .. name .. "_total")
end

local reconnects_before = agent_counter("reconnects")
for delay_ms = kStepMs, kDelayMs, kStepMs do
  delay("a1", "e1", delay_ms)
  local step_began = native.now()
  wait_until(function() return native.now() - step_began > kStepTimeMs end,
    kStepTimeMs + 1000, "the delay lasts kStepTimeMs")
end
local dispatches_before = agent_counter("dispatches")
local request = submit_async("e1", fields)
local answer = wait(request, 10000)
print("answer: " .. answer.status .. " " .. answer.outcome .. " not_run="
  .. tostring(answer.not_run or false))
wait_until(function()
  return agent_counter("dispatches") > dispatches_before
end, 5000, "the dispatch arrives")
print("no start: " .. tostring(
  holds_for(function() return #ledger(request.id) == 0 end, 1000)))
print("on the same connection: "
  .. tostring(agent_counter("reconnects") == reconnects_before))
heal("a1", "e1")
-- A task dispatched before the new connection would be refused, then dispatched
-- again.
wait_until(function()
  return agent_counter("reconnects") > reconnects_before
end, 5000, "a1 opens a new connection")
wait_usable("e1", 1)
print("next job: " .. submit("e1", {tasks = echoes(4)}).status)
