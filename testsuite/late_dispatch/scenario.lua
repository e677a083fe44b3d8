-- Guards against a dispatch that arrives after start_by, on a connection that
-- is slow in both directions but never silent: only start_by, and a bound on
-- the home's clock that counts the whole round trip, stop it.
cluster{entries = 1, agents = 1}

-- The replies to heartbeats then come one such time apart, and a step adds
-- twice its time once; the agent opens a new connection after 1 s.
local kDelay = 700
local kStep = 100
local kStepTime = 800
-- Ends, with 500 ms for the answers to queries, before a report can arrive.
local fields = {tasks = echoes(4, "sleep=10"), deadline_ms = 300}

local function counter(name)
  return metric("a1", "egretrack_agent_" .. name .. "_total")
end

local reconnects = counter("reconnects")
for time = kStep, kDelay, kStep do
  delay("a1", "e1", time)
  local since = native.now()
  wait_until(function() return native.now() - since > kStepTime end,
    kStepTime + 1000, "the next step")
end
local arrived = counter("dispatches")
local request = submit_async("e1", fields)
local answer = wait(request, 10000)
print("answer: " .. answer.status .. " " .. answer.outcome .. " not_run="
  .. tostring(answer.not_run or false))
wait_until(function() return counter("dispatches") > arrived end, 5000,
  "the dispatch arrives")
print("no start: " .. tostring(
  holds_for(function() return #ledger(request.id) == 0 end, 1000)))
print("on the same connection: "
  .. tostring(counter("reconnects") == reconnects))
heal("a1", "e1")
-- A task sent before that would be refused first, and sent again.
wait_until(function() return counter("reconnects") > reconnects end, 5000,
  "a1 opens a new connection")
wait_usable("e1", 1)
print("next job: " .. submit("e1", {tasks = echoes(4)}).status)
