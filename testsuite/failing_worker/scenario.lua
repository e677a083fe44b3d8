-- Guards against a worker that fails everything at once and so attracts most
-- of the work.
cluster{entries = 1, agents = 4}

term("w1")
wait_exit("w1", 10000)
set_worker("w1", {fail_all = true})
start("w1")
wait_usable("e1", 4)

local function run(jobs)
  local load = new_load({"e1"}, 12, function()
    return {tasks = echoes(1, "sleep=30")}
  end)
  load.run_until(function() return load.submitted >= jobs end, 30000,
    jobs .. " jobs")
  load.finish()
  return load.unanswered() / load.submitted
end

local first = run(200)
local later = run(400)
log("share failed:", first, later)
print("share failed at first is below one half: " .. tostring(first < 0.5))
print("share failed later is below 3 %: " .. tostring(later < 0.03))

term("w1")
wait_exit("w1", 10000)
set_worker("w1", {fail_all = false})
start("w1")
local before = worker_starts("w1")
local load = new_load({"e1"}, 12, function()
  return {tasks = echoes(1, "sleep=30")}
end)
load.run_until(function() return worker_starts("w1") > before + 50 end, 60000,
  "the mended worker gets work again")
load.finish()
print("the mended worker gets work again")
