-- Guards against a process that misses an accepted configuration, or returns
-- to an older one.
cluster{entries = 2, agents = 3}

local kBound = 5000
local highest = {}
local monotonic = true

local function in_force(list, version)
  local since = native.now()
  wait_until(function()
    local all = true
    for _, name in ipairs(list) do
      local now = config_version(name) or 0
      monotonic = monotonic and (now == 0 or now >= (highest[name] or 0))
      highest[name] = math.max(now, highest[name] or 0)
      all = all and now >= version
    end
    return all
  end, kBound, "version " .. version .. " in force")
  return native.now() - since <= kBound
end

local function publish_weight(weight)
  local answer = publish("e1", default_config .. "weight = " .. weight .. "\n")
  expect(answer.status == 200, "published, got " .. answer.status)
  return config_version("e1")
end

local version = config_version("e1")
publish_weight(2)
print("in every process within 5 s: "
  .. tostring(in_force(all_daemons(), version + 1)))

freeze("a2")
publish_weight(3)
print("in the others within 5 s: "
  .. tostring(in_force({"e1", "e2", "a1", "a3"}, version + 2)))
thaw("a2")
print("in the thawed agent within 5 s: "
  .. tostring(in_force({"a2"}, version + 2)))

freeze("e2")
publish_weight(4)
thaw("e2")
print("in the thawed entry within 5 s: "
  .. tostring(in_force(all_daemons(), version + 3)))

control_table{down = true}
kill("e2")
kill("a1")
highest["e2"], highest["a1"] = nil, nil
start("e2")
start("a1")
print("in an entry and an agent that start during an outage: "
  .. tostring(in_force({"e2", "a1"}, version + 3)))
wait_usable("e2", 3)
local answer = submit("e2", {tasks = echoes(3)})
print("the entry serves: " .. answer.status)
control_table{}
publish_weight(5)
print("in every process within 5 s: "
  .. tostring(in_force(all_daemons(), version + 4)))
print("no process went back: " .. tostring(monotonic))
