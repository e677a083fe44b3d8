-- Guards against requests with reserved ids that fail because the table service
-- fails, and against wrong answers to requests with an Idempotency-Key.
cluster{entries = 2, agents = 2}

local fields = {tasks = echoes(2, "sleep=20"), deadline_ms = 5000}

local function post_with_key(name, key)
  return post(name, fields, {{"Idempotency-Key", key}})
end

local function submit_reserved(table_state)
  local answer = submit("e1", fields)
  print(table_state .. ", reserved id: " .. answer.status .. " "
    .. tostring(answer.outcome))
end

local function total_starts()
  return #ledger()
end

local first = post_with_key("e1", "key-1")
local again = post_with_key("e2", "key-1")
print("table up, key: " .. first.status .. ", again through the other: "
  .. again.status .. " same job=" .. tostring(again.id == first.id))

control_table{down = true}
submit_reserved("table down")
local starts_before = total_starts()
local new_key = post_with_key("e2", "key-2")
print("table down, new key refused: "
  .. tostring(new_key.status == 503 or new_key.status == 504)
  .. " starts=" .. total_starts() - starts_before)
local used_key = post_with_key("e2", "key-1")
print("table down, used key claims not run: "
  .. tostring(used_key.not_run or false))

control_table{slow_ms = 8000}
submit_reserved("table slow")
starts_before = total_starts()
local slow_table = post_with_key("e1", "key-3")
print("table slow, new key refused: "
  .. tostring(slow_table.status == 503 or slow_table.status == 504)
  .. " starts=" .. total_starts() - starts_before)

control_table{lose_answers = true}
submit_reserved("table loses answers")
starts_before = total_starts()
local lost_answer = post_with_key("e1", "key-4")
control_table{}
local resolved = wait_until(function()
  local answer = post_with_key("e2", "key-4")
  return answer.outcome == "answered" and answer
end, 15000, "an answer for the key after the fault of the table ends")
print("lost answer, key: typed="
  .. tostring(lost_answer.status == 200 or lost_answer.status == 503
    or lost_answer.status == 504)
  .. " answered later=" .. tostring(resolved.status == 200)
  .. " starts=" .. total_starts() - starts_before)
