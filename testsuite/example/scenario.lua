-- The example of `make run`: one job submitted through one entry and
-- resubmitted with the same id through the other.
cluster{entries = 2, agents = 3}
print("cluster: 2 entries, 3 agents, desk banco-turni")

local fields = {tasks = echoes(4, "sleep=100")}
local id = reserve("e1")

local function print_answer(entry, answer)
  print("answer through " .. entry .. ": " .. answer.status .. " "
    .. tostring(answer.outcome))
  for i, result in ipairs(answer.results or {}) do
    print("  task " .. (i - 1) .. ": " .. result:gsub(id, "JOB", 1))
  end
end

print_answer("e1", submit_id("e1", id, fields))
print_answer("e2", resubmit("e2", id, fields))
print("starts in the ledger: " .. #ledger(id))
