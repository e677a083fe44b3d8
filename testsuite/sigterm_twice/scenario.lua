-- Guards against a second SIGTERM that interrupts a graceful shutdown.
cluster{entries = 2, agents = 1}

local tasks = echoes(2, "sleep=3000")

local function twice(name)
  local request = submit_async("e1", {tasks = tasks, deadline_ms = 20000})
  wait_started(request.id, 2)
  term(name)
  wait_until(function() return http_status(name, "/v1/ready") ~= 200 end, 2000,
    name .. " drains")
  term(name)
  term(name)
  local answer = wait(request, 20000)
  print(name .. ": whole=" .. tostring(whole(answer, tasks)) .. " exit code="
    .. wait_exit(name, 20000))
end

twice("a1")
start("a1")
wait_usable("e1", 1)
twice("e1")
