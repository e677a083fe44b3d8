-- Guards against a second SIGTERM that interrupts a graceful shutdown.
cluster{entries = 2, agents = 1}

local tasks = echoes(2, "sleep=3000")

local function terminate_twice(name)
  local request = submit_async("e1", {tasks = tasks, deadline_ms = 20000})
  wait_started(request.id, 2)
  term(name)
  wait_until(function() return http_status(name, "/v1/ready") ~= 200 end, 2000,
    name .. " is not ready")
  term(name)
  term(name)
  local answer = wait(request, 20000)
  print(name .. ": whole=" .. tostring(whole(answer, tasks)) .. " exit code="
    .. wait_exit(name, 20000))
end

terminate_twice("a1")
start("a1")
wait_usable("e1", 1)
terminate_twice("e1")
