-- Guards against a publication that is applied twice, or reported as a conflict
-- with itself, when the table's answer to the write was lost and the
-- publication is repeated.
cluster{entries = 2, agents = 1}

local base = config_version("e1")
local document = default_config .. "weight = 7\n"
control_table{lose_answers = true}
local first = publish("e1", document, base, "lost-1")
print("while answers are lost: "
  .. tostring(first.status == 200 or first.status == 503
    or first.status == 504))
control_table{}
local repeated = wait_until(function()
  local answer = publish("e1", document, base, "lost-1")
  return answer.status ~= 503 and answer
end, 10000, "the table answers the repeated publication")
print("the same publication again: " .. repeated.status)
wait_version({"e1", "e2", "a1"}, base + 1, 5000)
print("versions published: " .. config_version("e1") - base)
local other = publish("e2", document, base, "lost-2")
print("another publication on the old base: " .. other.status)
