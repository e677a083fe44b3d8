-- A short measurement that checks that the comparison works.
dofile(native.scenario() .. "/../bench.lua")
bench{
  {workload = "failing-worker", load = 0.6, seconds = 4, seed = 1},
  {workload = "mixed", load = 0.6, seconds = 4, seed = 2},
}
