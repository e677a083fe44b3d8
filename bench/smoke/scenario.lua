-- A short measurement that shows whether the comparison works.
dofile(native.scenario() .. "/../bench.lua")
bench{
  {workload = "crest", load = 1.4, seconds = 2, seed = 1},
  {workload = "mixed", load = 0.7, seconds = 3, seed = 2},
}
