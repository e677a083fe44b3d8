-- Guards against a long table outage that degrades the system: retries that
-- accumulate, processes that cannot be replaced, or no recovery afterwards.
cluster{entries = 2, agents = 3}

local kOutageMs = 25000
local load = new_load({"e1", "e2"}, 8, small_jobs)
control_table{down = true}
local outage_began = native.now()
load.run_until(function()
  return native.now() - outage_began > kOutageMs / 3
end, kOutageMs, "a third of the outage passes")

term("a3")
load.run_until(function() return not running("a3") end, 10000, "a3 exits")
start("a3")
term("e2")
load.run_until(function() return not running("e2") end, 10000, "e2 exits")
start("e2")
load.run_until(function()
  return http_status("e2", "/v1/ready") == 200 and usable_agents("e2") == 3
end, 10000, "e2 is ready during the outage")
print("replaced during the outage: e2 and a3")

local refused = publish("e1", default_config .. "weight = 3\n")
print("publication during the outage: " .. refused.status)
load.run_until(function() return native.now() - outage_began > kOutageMs end,
  kOutageMs + 1000, "the outage lasts kOutageMs")
control_table{}
local base = config_version("e1")
load.run_until(function()
  return publish("e1", default_config .. "weight = 4\n", base, "after").status
    == 200
end, 10000, "publication after the outage")
wait_version(all_daemons(), base + 1, 5000)
print("published after the outage")
load.finish()
print("jobs not answered: " .. load.unanswered())
