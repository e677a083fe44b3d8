-- Measures strategies against each other on real processes: the same recorded
-- arrivals for each, strategies in turn. Prints a Markdown table.

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

-- Run times that the configuration declares, by workload.
local declared = {
  ["wrong-declarations"] = {short = 2000, long = 50},
}

local function configuration(workload)
  local expected = declared[workload] or {short = 100, long = 2000}
  return string.format([[
[desk.bench]
[request_kind.short-work]
desk = "bench"
deadline_ms = 2000
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

-- Messages of tasks and credits so far. The entries' counters hold both
-- directions: grants and recalls received as well as releases sent. Heartbeats
-- are left out, because their number does not depend on the tasks.
local message_counters = {
  "egretrack_dispatches_total", "egretrack_reports_total",
  "egretrack_queries_total", "egretrack_credit_messages_total",
}

local function messages()
  local sum = 0
  for _, name in ipairs(names("e", kEntries)) do
    for _, counter in ipairs(message_counters) do
      sum = sum + (metric(name, counter) or 0)
    end
  end
  return sum
end

local function measure(strategy, run)
  local failing = run.workload == "failing-worker" and #kSpeeds or nil
  cluster{
    entries = kEntries, agents = #kSpeeds, slots = kSlots, direct = true,
    speeds = kSpeeds, failing_worker = failing, settings = strategy.settings,
    config = configuration(run.workload),
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
  if failing then
    table.insert(arguments, "--failing-worker")
    table.insert(arguments, tostring(failing - 1))
  end
  local before = messages()
  local code = run_program("load", "load_generator", arguments, 300000)
  expect(code == 0, "load_generator ends with 0, got " .. code)
  local report = native.json(native.read_file(output_path("result.json")))
  report.messages = messages() - before
  stop_cluster()
  return report
end

local function row(strategy, run, report)
  local ratio = report.response_to_ideal
  local share = report.ideal_per_second > 0
    and report.on_time_per_second / report.ideal_per_second or 0
  local beyond = report.tasks_started > 0
    and report.messages / report.tasks_started - 2 or 0
  print(string.format(
    "| %s | %s | %.2f | %.1f | %.3f | %.2f | %.2f | %.2f | %.3f | %.0f | %.0f "
      .. "| %d | %d | %d |",
    strategy.name, run.workload, run.load, report.on_time_per_second, share,
    ratio.p50, ratio.p99, ratio.p999, beyond, report.short_wait_ms.p50,
    report.short_wait_ms.p99, report.refused, report.late, report.failed))
end

-- Each run: {workload=, load=, seconds=, seed=}.
function bench(runs)
  print("| strategy | workload | offered load | on time and once /s "
    .. "| share of ideal | response/ideal p50 | p99 | p99.9 "
    .. "| messages per task beyond 2 | short work's wait p50 ms | p99 ms "
    .. "| refused | late | failed |")
  print("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
  for _, run in ipairs(runs) do
    for _, strategy in ipairs(strategies) do
      row(strategy, run, measure(strategy, run))
    end
  end
end
