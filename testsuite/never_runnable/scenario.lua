-- Guards against jobs that can never run and wait for their deadline, or hold
-- up others.
cluster{entries = 1, agents = 1}

local function show(what, fields)
  local since = native.now()
  local answer = submit("e1", fields)
  print(what .. ": " .. status_class(answer.status) .. " typed="
    .. tostring(type(answer.error) == "string") .. " error=" .. answer.error
    .. " not run=" .. tostring(answer.not_run) .. " at once="
    .. tostring(native.now() - since < 500) .. " starts="
    .. #ledger(answer.id))
end

show("unknown kind", {kind = "no-such-kind"})
show("too many tasks", {tasks = echoes(1201)})
show("no task", {tasks = {}})
show("payload too large", {tasks = {string.rep("x", 16385)}})
show("deadline too long", {deadline_ms = 60001})
show("deadline of zero", {deadline_ms = 0})
print("afterwards: " .. submit("e1", {tasks = echoes(2)}).status)
