-- Guards against a worker that fails every task immediately and so attracts
-- most of the tasks.
cluster{entries = 1, agents = 4}

term("w1")
wait_exit("w1", 10000)
set_worker("w1", {fail_all = true})
start("w1")
wait_usable("e1", 4)

local function share_failed(jobs)
  local load = new_load({"e1"}, 12, function()
    return {tasks = echoes(1, "sleep=30")}
  end)
  load.run_until(function() return load.submitted >= jobs end, 30000,
    jobs .. " jobs")
  load.finish()
  return load.unanswered() / load.submitted
end

local first_share = share_failed(200)
local later_share = share_failed(400)
log("share failed:", first_share, later_share)
print("share failed at first is below one half: "
  .. tostring(first_share < 0.5))
print("share failed later is below 3 %: " .. tostring(later_share < 0.03))

term("w1")
wait_exit("w1", 10000)
set_worker("w1", {fail_all = false})
start("w1")
local starts_before = worker_starts("w1")
local load = new_load({"e1"}, 12, function()
  return {tasks = echoes(1, "sleep=30")}
end)
load.run_until(function() return worker_starts("w1") > starts_before + 50 end,
  60000, "the repaired worker gets tasks again")
load.finish()
print("the mended worker gets work again")
