-- Guards against a killed home entry that cannot be replaced, or whose jobs
-- start again, because the table service is down at the same time.
cluster{entries = 2, agents = 3}

local fields = {tasks = echoes(6, "sleep=1500"), deadline_ms = 20000}
local version = config_version("e1")
control_table{down = true}
local request = submit_async("e1", fields)
wait_started(request.id, 6)
kill("e1")
print("caller of the killed home: " .. wait(request).outcome)
local while_running = resubmit("e2", request.id, fields)
print("resubmitted while tasks run: " .. while_running.status .. " "
  .. while_running.outcome .. " not_run="
  .. tostring(while_running.not_run or false))
start("e1")
wait_usable("e1", 3)
print("new incarnation holds the version: "
  .. tostring(config_version("e1") == version))
wait_until(function()
  return whole(resubmit("e2", request.id, fields), fields.tasks)
end, 10000, "whole answer from the agents' records")
print("through the new incarnation: whole="
  .. tostring(whole(resubmit("e1", request.id, fields), fields.tasks)))
print("starts: " .. #ledger(request.id))
local starts_before = #ledger()
local with_key = post("e1", fields, {{"Idempotency-Key", "outage"}})
print("with a key: refused=" .. tostring(with_key.status >= 500)
  .. " starts=" .. #ledger() - starts_before)
print("next job: " .. submit("e1", fields).status)
control_table{}
local published = wait_until(function()
  local answer = publish("e1", default_config .. "weight = 2\n", version,
    "after")
  return answer.status == 200 and answer
end, 10000, "a publication succeeds after the outage")
print("published afterwards: " .. published.status)
wait_version(all_daemons(), version + 1, 5000)
