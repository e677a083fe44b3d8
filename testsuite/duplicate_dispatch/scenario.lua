-- Guards against a second start when a dispatch arrives twice, and against a
-- second answer when a report arrives twice.
cluster{entries = 1, agents = 2}

duplicate("a1", "e1", true)
duplicate("a2", "e1", true)
local tasks = echoes(1, "sleep=10")
local starts = 0
local all_whole = true
for _ = 1, 40 do
  local answer = submit("e1", {tasks = tasks})
  all_whole = all_whole and whole(answer, tasks)
  starts = starts + #ledger(answer.id)
end
print("all answers whole: " .. tostring(all_whole))
print("starts: " .. starts)
local duplicates = 0
for _, name in ipairs{"a1", "a2"} do
  duplicates = duplicates + metric(name, "egretrack_agent_duplicates_total")
end
print("dispatches arrived twice: " .. tostring(duplicates > 0))
print("reports arrived twice: "
  .. tostring(metric("e1", "egretrack_late_reports_total") > 0))
