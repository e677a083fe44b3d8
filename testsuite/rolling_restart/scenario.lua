-- Guards against lost requests when every process is restarted in turn.
cluster{entries = 2, agents = 3}

local load = new_load({"e1", "e2"}, 12, small_jobs)
load.run_until(function() return (load.counts.answered or 0) > 20 end, 20000,
  "more than 20 jobs are answered")

local function agents_usable(count)
  return function()
    for _, name in ipairs{"e1", "e2"} do
      if http_status(name, "/v1/ready") ~= 200
        or usable_agents(name) ~= count then
        return false
      end
    end
    return true
  end
end

for _, name in ipairs{"a1", "a2", "a3", "e1", "e2"} do
  term(name)
  load.run_until(function() return not running(name) end, 20000,
    name .. " exits")
  print(name .. " exit code: " .. exit_code(name))
  start(name)
  load.run_until(agents_usable(3), 20000,
    "all agents are usable after the restart of " .. name)
end
load.finish()
print("jobs not answered: " .. load.unanswered())
