-- Guards against a second run of a single request that is not idempotent, for
-- each fault and for the table down together with a dead home.
local config = default_config:gsub('kinds = %[', 'kinds = ["reassign-shift", ')
  .. [[
[request_kind.reassign-shift]
desk = "banco-turni"
deadline_ms = 10000
max_deadline_ms = 60000
expected_ms = 50
]]
cluster{entries = 2, agents = 2, config = config}

local function request_of(payload, deadline)
  return {kind = "reassign-shift", tasks = {payload}, deadline_ms = deadline}
end

local function show(what, answer)
  print(what .. ": " .. tostring(answer.outcome) .. " not_run="
    .. tostring(answer.not_run or false) .. " starts=" .. #ledger(answer.id))
end

-- Which agent runs the one task of the job.
local function holder(id)
  wait_started(id, 1)
  for i = 1, 2 do
    local text = native.read_file(ledger_path("w" .. i)) or ""
    if text:find(id, 1, true) then
      return "a" .. i
    end
  end
end

show("endpoint cuts the answer", submit("e1", request_of("cut", 3000)))
show("endpoint sends half an answer", submit("e1", request_of("short", 3000)))

local fields = request_of("sleep=1000 echo=k", 6000)
local killed = submit_async("e1", fields)
local agent = holder(killed.id)
kill(agent)
start(agent)
show("agent killed", wait(killed))
wait_usable("e1", 2)

local silenced = submit_async("e1", fields)
agent = holder(silenced.id)
silence(agent, "e1")
show("connection silent", wait(silenced))

-- Frozen before the dispatch, and answered long before the thaw.
freeze("a1")
freeze("a2")
local frozen_at = native.now()
local paused = submit_async("e1", request_of("echo=p", 2000))
local answer = wait(paused)
wait_until(function() return native.now() - frozen_at > 6000 end, 7000,
  "time of the freeze")
thaw("a1")
thaw("a2")
wait_usable("e1", 2)
show("agents frozen", answer)
print("resubmitted: "
  .. resubmit("e2", paused.id, request_of("echo=p", 2000)).outcome)
print("starts: " .. #ledger(paused.id))

control_table{down = true}
local orphan = submit_async("e1", fields)
wait_started(orphan.id, 1)
local callers = {}
kill("e1")
for i = 1, 6 do
  callers[i] = submit_id_async("e2", orphan.id, fields)
end
for _, caller in ipairs(callers) do
  local seen = wait(caller).outcome
  expect(seen == "outcome_unknown" or seen == "answered",
    "no claim about the orphan, got " .. tostring(seen))
end
start("e1")
wait_usable("e1", 2)
local found = wait_until(function()
  local again = resubmit("e1", orphan.id, fields)
  return again.outcome == "answered" and again
end, 10000, "the orphan's answer")
show("home killed, table down", found)
control_table{}
