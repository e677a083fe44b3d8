-- Measures what real processes cost: idle ones by the number of their peers,
-- busy ones by the number of tasks. Prints a Markdown table.

local kWindow = 10000  -- ms

local function processor_us(name)
  return metric(name, "egretrack_process_processor_microseconds_total")
end

local function resident_mb(name)
  return metric(name, "egretrack_process_resident_bytes") / 1e6
end

-- Runs `work` and returns what e1 and a1 used meanwhile, in microseconds.
local function used(work)
  local entry, agent = processor_us("e1"), processor_us("a1")
  work()
  return processor_us("e1") - entry, processor_us("a1") - agent
end

local function row(case, per, entry, agent)
  print(string.format("| %s | %s | %.1f | %.1f | %.1f | %.1f |", case, per,
    entry, agent, resident_mb("e1"), resident_mb("a1")))
end

local function idle(entries, agents)
  cluster{entries = entries, agents = agents, direct = true, workers = false}
  wait_until(function() return #(status("e1").agents or {}) == agents end,
    20000, "agents are known")
  local entry, agent = used(function() native.pause(kWindow) end)
  local seconds = kWindow / 1000
  row(string.format("idle, entries: %d, agents: %d", entries, agents),
    "second", entry / seconds, agent / seconds)
  stop_cluster()
end

local function busy(tasks_per_job, jobs)
  cluster{entries = 1, agents = 1, slots = 8, direct = true}
  local requests = {}
  local entry, agent = used(function()
    for i = 1, jobs do
      requests[i] = submit_async("e1", {tasks = echoes(tasks_per_job, "sleep=1"),
        deadline_ms = 60000})
      if #requests > 8 then
        wait(requests[#requests - 8], 60000)
      end
    end
    for _, request in ipairs(requests) do
      wait(request, 60000)
    end
  end)
  local tasks = tasks_per_job * jobs
  row(string.format("busy, jobs of %d tasks", tasks_per_job), "task",
    entry / tasks, agent / tasks)
  stop_cluster()
end

print("| case | per | entry us | agent us | entry MB | agent MB |")
print("|---|---|---|---|---|---|")
for _, agents in ipairs{1, 8, 24, 48} do
  idle(1, agents)
end
for _, entries in ipairs{2, 4, 8} do
  idle(entries, 1)
end
for _, size in ipairs{1, 10, 100} do
  busy(size, 2000 // size)
end
