-- Measures the processor time and memory of real processes: idle ones by the
-- number of their peers, busy ones by the number of tasks. Prints a Markdown
-- table.

local kIdleWindowMs = 10000

local function processor_us(name)
  return metric(name, "egretrack_process_processor_microseconds_total")
end

local function resident_mb(name)
  return metric(name, "egretrack_process_resident_bytes") / 1e6
end

-- Runs `work` and returns the processor time in microseconds that e1 and a1
-- used meanwhile.
local function processor_us_of(work)
  local entry, agent = processor_us("e1"), processor_us("a1")
  work()
  return processor_us("e1") - entry, processor_us("a1") - agent
end

local function print_row(case, per, entry, agent)
  print(string.format("| %s | %s | %.1f | %.1f | %.1f | %.1f |", case, per,
    entry, agent, resident_mb("e1"), resident_mb("a1")))
end

local function measure_idle(entries, agents)
  cluster{entries = entries, agents = agents, direct = true, workers = false}
  wait_until(function() return #(status("e1").agents or {}) == agents end,
    20000, "e1 knows all agents")
  local entry, agent = processor_us_of(function()
    native.pause(kIdleWindowMs)
  end)
  local seconds = kIdleWindowMs / 1000
  print_row(string.format("idle, entries: %d, agents: %d", entries, agents),
    "second", entry / seconds, agent / seconds)
  stop_cluster()
end

local function measure_busy(tasks_per_job, jobs)
  cluster{entries = 1, agents = 1, slots = 8, direct = true}
  local requests = {}
  local entry, agent = processor_us_of(function()
    for i = 1, jobs do
      requests[i] = submit_async("e1",
        {tasks = echoes(tasks_per_job, "sleep=1"), deadline_ms = 60000})
      if #requests > 8 then
        wait(requests[#requests - 8], 60000)
      end
    end
    for _, request in ipairs(requests) do
      wait(request, 60000)
    end
  end)
  local tasks = tasks_per_job * jobs
  print_row(string.format("busy, jobs of %d tasks", tasks_per_job), "task",
    entry / tasks, agent / tasks)
  stop_cluster()
end

print("| case | per | entry us | agent us | entry MB | agent MB |")
print("|---|---|---|---|---|---|")
for _, agents in ipairs{1, 8, 24, 48} do
  measure_idle(1, agents)
end
for _, entries in ipairs{2, 4, 8} do
  measure_idle(entries, 1)
end
for _, size in ipairs{1, 10, 100} do
  measure_busy(size, 2000 // size)
end
