-- All workloads, below and at the capacity.
dofile(native.scenario() .. "/../bench.lua")
local runs = {}
for seed, workload in ipairs{"steady", "crest", "stragglers", "mixed",
  "failing-worker", "wrong-declarations", "cancellations"} do
  for _, load in ipairs{0.7, 1.1} do
    runs[#runs + 1] =
      {workload = workload, load = load, seconds = 20, seed = seed}
  end
end
bench(runs)
