-- Guards against requests lost by the graceful shutdown of an entry.
cluster{entries = 2, agents = 3}

local load = new_load({"e1", "e2"}, 16, small_jobs)
load.run_until(function() return (load.counts.answered or 0) > 50 end, 20000,
  "more than 50 jobs are answered")
local long_request = submit_async("e1", {tasks = echoes(2, "sleep=4000"),
  deadline_ms = 20000})
wait_started(long_request.id, 2)
term("e1")
load.run_until(function() return http_status("e1", "/v1/ready") == 503 end,
  2000, "e1 is not ready")
print("ready while draining: 503")
local during_grace = submit("e1", {tasks = echoes(1)})
print("within the grace time: " .. during_grace.status)
load.run_until(function() return not running("e1") end, 30000, "e1 exits")
print("exit code: " .. exit_code("e1"))
print("long job whole: "
  .. tostring(whole(wait(long_request), echoes(2, "sleep=4000"))))
load.finish()
print("jobs not answered: " .. load.unanswered())
