-- Guards against jobs that can never run but wait until their deadline, or
-- delay other jobs.
cluster{entries = 1, agents = 1}

local function submit_invalid(case, fields)
  local submitted_at = native.now()
  local answer = submit("e1", fields)
  print(case .. ": " .. status_class(answer.status) .. " typed="
    .. tostring(type(answer.error) == "string") .. " error=" .. answer.error
    .. " not run=" .. tostring(answer.not_run) .. " at once="
    .. tostring(native.now() - submitted_at < 500) .. " starts="
    .. #ledger(answer.id))
end

submit_invalid("unknown kind", {kind = "no-such-kind"})
submit_invalid("too many tasks", {tasks = echoes(1201)})
submit_invalid("no task", {tasks = {}})
submit_invalid("payload too large", {tasks = {string.rep("x", 16385)}})
submit_invalid("deadline too long", {deadline_ms = 60001})
submit_invalid("deadline of zero", {deadline_ms = 0})
print("afterwards: " .. submit("e1", {tasks = echoes(2)}).status)
