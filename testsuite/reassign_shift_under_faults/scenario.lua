-- Guards against a second run of a single request that is not idempotent, for
-- each kind of fault and for a table outage together with a killed home entry.
local config = default_config:gsub('kinds = %[', 'kinds = ["reassign-shift", ')
  .. [[
[request_kind.reassign-shift]
desk = "banco-turni"
deadline_ms = 10000
max_deadline_ms = 60000
expected_ms = 50
]]
cluster{entries = 2, agents = 2, config = config}

local function single_request(payload, deadline)
  return {kind = "reassign-shift", tasks = {payload}, deadline_ms = deadline}
end

local function print_answer(case, answer)
  print(case .. ": " .. tostring(answer.outcome) .. " not_run="
    .. tostring(answer.not_run or false) .. " starts=" .. #ledger(answer.id))
end

-- Returns the agent that runs the single task of the job.
local function agent_of(id)
  wait_started(id, 1)
  for i = 1, 2 do
    local text = native.read_file(ledger_path("w" .. i)) or ""
    if text:find(id, 1, true) then
      return "a" .. i
    end
  end
end

print_answer("endpoint cuts the answer",
  submit("e1", single_request("cut", 3000)))
print_answer("endpoint sends half an answer",
  submit("e1", single_request("short", 3000)))

local fields = single_request("sleep=1000 echo=k", 6000)
local agent_killed = submit_async("e1", fields)
local agent = agent_of(agent_killed.id)
kill(agent)
start(agent)
print_answer("agent killed", wait(agent_killed))
wait_usable("e1", 2)

local connection_silenced = submit_async("e1", fields)
agent = agent_of(connection_silenced.id)
silence(agent, "e1")
print_answer("connection silent", wait(connection_silenced))

-- The agents are frozen before the dispatch, and the job is answered long
-- before the thaw.
freeze("a1")
freeze("a2")
local frozen_at = native.now()
local agents_frozen = submit_async("e1", single_request("echo=p", 2000))
local answer = wait(agents_frozen)
wait_until(function() return native.now() - frozen_at > 6000 end, 7000,
  "the freeze lasts 6 s")
thaw("a1")
thaw("a2")
wait_usable("e1", 2)
print_answer("agents frozen", answer)
print("resubmitted: "
  .. resubmit("e2", agents_frozen.id, single_request("echo=p", 2000)).outcome)
print("starts: " .. #ledger(agents_frozen.id))

control_table{down = true}
local home_killed = submit_async("e1", fields)
wait_started(home_killed.id, 1)
local callers = {}
kill("e1")
for i = 1, 6 do
  callers[i] = submit_id_async("e2", home_killed.id, fields)
end
for _, caller in ipairs(callers) do
  local outcome = wait(caller).outcome
  expect(outcome == "outcome_unknown" or outcome == "answered",
    "answered or outcome_unknown for the job of the killed home, got "
    .. tostring(outcome))
end
start("e1")
wait_usable("e1", 2)
local recovered = wait_until(function()
  local again = resubmit("e1", home_killed.id, fields)
  return again.outcome == "answered" and again
end, 10000, "an answer to the job of the killed home")
print_answer("home killed, table down", recovered)
control_table{}
