-- Guards against a process that misses a published configuration, or returns to
-- an older version.
cluster{entries = 2, agents = 3}

local kBoundMs = 5000
local highest_version = {}
local monotonic = true

local function is_in_force_in_time(process_names, version)
  local started_at = native.now()
  wait_until(function()
    local all_in_force = true
    for _, name in ipairs(process_names) do
      local current = config_version(name) or 0
      monotonic = monotonic and (current == 0
        or current >= (highest_version[name] or 0))
      highest_version[name] = math.max(current, highest_version[name] or 0)
      all_in_force = all_in_force and current >= version
    end
    return all_in_force
  end, kBoundMs, "version " .. version .. " in force in every named process")
  return native.now() - started_at <= kBoundMs
end

local function publish_weight(weight)
  local answer = publish("e1", default_config .. "weight = " .. weight .. "\n")
  expect(answer.status == 200, "the configuration is published, got "
    .. answer.status)
  return config_version("e1")
end

local version = config_version("e1")
publish_weight(2)
print("in every process within 5 s: "
  .. tostring(is_in_force_in_time(all_daemons(), version + 1)))

freeze("a2")
publish_weight(3)
print("in the others within 5 s: "
  .. tostring(is_in_force_in_time({"e1", "e2", "a1", "a3"}, version + 2)))
thaw("a2")
print("in the thawed agent within 5 s: "
  .. tostring(is_in_force_in_time({"a2"}, version + 2)))

freeze("e2")
publish_weight(4)
thaw("e2")
print("in the thawed entry within 5 s: "
  .. tostring(is_in_force_in_time(all_daemons(), version + 3)))

control_table{down = true}
kill("e2")
kill("a1")
highest_version["e2"], highest_version["a1"] = nil, nil
start("e2")
start("a1")
print("in an entry and an agent that start during an outage: "
  .. tostring(is_in_force_in_time({"e2", "a1"}, version + 3)))
wait_usable("e2", 3)
local answer = submit("e2", {tasks = echoes(3)})
print("the entry serves: " .. answer.status)
control_table{}
publish_weight(5)
print("in every process within 5 s: "
  .. tostring(is_in_force_in_time(all_daemons(), version + 4)))
print("no process went back: " .. tostring(monotonic))
