-- Guards against an invalid configuration that takes effect, and against an
-- answer that names only one of several errors.
cluster{entries = 2, agents = 1}

local base = config_version("e1")
local invalid_config = default_config .. [[
weight = 0
[request_kind.unserved]
desk = "banco-turni"
[request_kind.homeless]
desk = "no-such-desk"
[limit.twin]
desk = "banco-turni"
team = "palermo"
[limit.loop]
desk = "banco-turni"
team = "catania"
parent = "loop"
[shift.day]
desk = "banco-turni"
days = ["someday"]
opens = "08:00"
closes = "18:00"
endpoints = ["no-such-endpoint"]
colour = "red"
]]
local answer = publish("e1", invalid_config)
print("faulty set: " .. answer.status)
for _, name in ipairs{"unserved", "homeless", "twin", "loop", "someday",
  "no-such-endpoint", "colour", "weight"} do
  print("  names " .. name .. ": "
    .. tostring(answer.body:find(name, 1, true) ~= nil))
end
print("not TOML: " .. publish("e1", "[[[\n").status)
print("version unchanged: " .. tostring(config_version("e1") == base))
print("still serves: " .. submit("e1", {tasks = echoes(2)}).status)
