-- Guards against the table service taking reserved ids down with it, and
-- against untrue answers to requests with an Idempotency-Key.
cluster{entries = 2, agents = 2}

local fields = {tasks = echoes(2, "sleep=20"), deadline_ms = 5000}

local function with_key(name, key)
  return post(name, fields, {{"Idempotency-Key", key}})
end

local function reserved_works(when)
  local answer = submit("e1", fields)
  print(when .. ", reserved id: " .. answer.status .. " "
    .. tostring(answer.outcome))
end

local function total_starts()
  return #ledger()
end

local first = with_key("e1", "key-1")
local again = with_key("e2", "key-1")
print("table up, key: " .. first.status .. ", again through the other: "
  .. again.status .. " same job=" .. tostring(again.id == first.id))

control_table{down = true}
reserved_works("table down")
local before = total_starts()
local unbound = with_key("e2", "key-2")
print("table down, new key refused: "
  .. tostring(unbound.status == 503 or unbound.status == 504)
  .. " starts=" .. total_starts() - before)
local known = with_key("e2", "key-1")
print("table down, used key claims not run: "
  .. tostring(known.not_run or false))

control_table{slow_ms = 8000}
reserved_works("table slow")
before = total_starts()
local slow = with_key("e1", "key-3")
print("table slow, new key refused: "
  .. tostring(slow.status == 503 or slow.status == 504)
  .. " starts=" .. total_starts() - before)

control_table{lose_answers = true}
reserved_works("table loses answers")
before = total_starts()
local lossy = with_key("e1", "key-4")
control_table{}
local resolved = wait_until(function()
  local answer = with_key("e2", "key-4")
  return answer.outcome == "answered" and answer
end, 15000, "an answer for the key once the table is back")
print("lost answer, key: typed="
  .. tostring(lossy.status == 200 or lossy.status == 503
    or lossy.status == 504)
  .. " answered later=" .. tostring(resolved.status == 200)
  .. " starts=" .. total_starts() - before)
