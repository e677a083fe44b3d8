-- All workloads at the load for which the targets are stated. A crest is four
-- times the load for ten seconds.
dofile(native.scenario() .. "/../bench.lua")
bench{
  {workload = "steady", load = 0.6, seconds = 20, seed = 1},
  {workload = "crest", load = 0.4, seconds = 20, seed = 2},
  {workload = "stragglers", load = 0.6, seconds = 20, seed = 3},
  {workload = "mixed", load = 0.6, seconds = 20, seed = 4},
  {workload = "failing-worker", load = 0.6, seconds = 20, seed = 5},
  {workload = "wrong-declarations", load = 0.6, seconds = 20, seed = 6},
  {workload = "cancellations", load = 0.6, seconds = 20, seed = 7},
}
