-- Compares dispatch strategies on real processes: each strategy in turn gets
-- the same recorded arrivals. Prints a Markdown table.

local kEntries = 3
local kSlots = 8
local kSpeeds = {0.5, 0.6, 0.75, 0.9, 1.0, 1.0, 1.1, 1.25, 1.4, 1.7, 2.0}

local strategies = {
  {
    name = "credits",
    settings = {entry = {routing = "credits"}, agent = {push = false}},
  },
  {
    name = "round-robin",
    settings = {
      entry = {routing = "round-robin", ordering = "fifo"},
      agent = {push = true},
    },
  },
  {
    name = "least-outstanding",
    settings = {
      entry = {routing = "least-outstanding", ordering = "fifo"},
      agent = {push = true},
    },
  },
}

-- Run times in milliseconds that the configuration declares, by workload.
local declared_ms = {
  ["wrong-declarations"] = {short = 1000, long = 150},
}

local function configuration(workload)
  local expected = declared_ms[workload] or {short = 100, long = 2000}
  return string.format([[
[desk.bench]
[request_kind.short-work]
desk = "bench"
deadline_ms = 2000
max_deadline_ms = 60000
expected_ms = %d
[request_kind.long-work]
desk = "bench"
deadline_ms = 20000
max_deadline_ms = 60000
expected_ms = %d
[endpoint.turni]
desk = "bench"
kinds = ["short-work", "long-work"]
]], expected.short, expected.long)
end

-- Counters of the messages of tasks and credits. The counters of the entries
-- cover both directions: grants and recalls received and releases sent.
-- Heartbeats are excluded, because their number does not depend on the tasks.
local message_counters = {
  "egretrack_dispatches_total", "egretrack_reports_total",
  "egretrack_queries_total", "egretrack_credit_messages_total",
}

local function total_messages()
  local sum = 0
  for _, name in ipairs(names("e", kEntries)) do
    for _, counter in ipairs(message_counters) do
      sum = sum + (metric(name, counter) or 0)
    end
  end
  return sum
end

local function total_processor_us(prefix, count)
  local sum = 0
  for _, name in ipairs(names(prefix, count)) do
    sum = sum
      + metric(name, "egretrack_process_processor_microseconds_total")
  end
  return sum
end

local function measure(strategy, run)
  local failing_position = run.workload == "failing-worker" and #kSpeeds or nil
  cluster{
    entries = kEntries, agents = #kSpeeds, slots = kSlots, direct = true,
    speeds = kSpeeds, failing_worker = failing_position,
    settings = strategy.settings, config = configuration(run.workload),
  }
  local arguments = {
    "--workload", run.workload, "--load", tostring(run.load),
    "--duration", tostring(run.seconds), "--seed", tostring(run.seed),
    "--slots", tostring(kSlots), "--output", output_path("result.json"),
  }
  for i = 1, kEntries do
    table.insert(arguments, "--entry")
    table.insert(arguments, direct_address("e" .. i))
  end
  for i, speed in ipairs(kSpeeds) do
    table.insert(arguments, "--speeds")
    table.insert(arguments, tostring(speed))
    table.insert(arguments, "--ledger")
    table.insert(arguments, ledger_path("w" .. i))
  end
  if failing_position then
    table.insert(arguments, "--failing-worker")
    table.insert(arguments, tostring(failing_position - 1))
  end
  local messages_before = total_messages()
  local entry_us_before = total_processor_us("e", kEntries)
  local agent_us_before = total_processor_us("a", #kSpeeds)
  local code = run_program("load", "load_generator", arguments, 300000)
  expect(code == 0, "load_generator exits with code 0, got " .. code)
  local report = native.json(native.read_file(output_path("result.json")))
  report.messages = total_messages() - messages_before
  report.entry_us = total_processor_us("e", kEntries) - entry_us_before
  report.agent_us = total_processor_us("a", #kSpeeds) - agent_us_before
  report.last_worker_starts = worker_starts("w" .. #kSpeeds)
  stop_cluster()
  return report
end

local function print_row(strategy, run, report)
  local response_ratio = report.response_to_ideal
  local ideal_share = report.ideal_per_second > 0
    and report.on_time_per_second / report.ideal_per_second or 0
  local tasks = math.max(report.tasks_started, 1)
  local extra_messages = report.messages / tasks - 2
  print(string.format(
    "| %s | %s | %.2f | %.1f | %.3f | %.2f | %.2f | %.2f | %.3f | %.0f | %.0f "
      .. "| %d | %d | %d | %.0f | %.0f | %.1f |",
    strategy.name, run.workload, run.load, report.on_time_per_second,
    ideal_share, response_ratio.p50, response_ratio.p99, response_ratio.p999,
    extra_messages, report.short_wait_ms.p50, report.short_wait_ms.p99,
    report.refused, report.late, report.failed,
    report.entry_us / tasks, report.agent_us / tasks,
    100 * report.last_worker_starts / tasks))
end

-- Each run: {workload=, load=, seconds=, seed=}.
function bench(runs)
  print("| strategy | workload | offered load | on time and once /s "
    .. "| share of ideal | response/ideal p50 | p99 | p99.9 "
    .. "| messages per task beyond 2 | short work's wait p50 ms | p99 ms "
    .. "| refused | late | failed | entry us per task | agent us per task "
    .. "| starts at the last worker % |")
  print("|" .. string.rep("---|", 17))
  for _, run in ipairs(runs) do
    for _, strategy in ipairs(strategies) do
      print_row(strategy, run, measure(strategy, run))
    end
  end
end
