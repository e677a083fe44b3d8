-- Guards against an entry that exits when its jobs have ended, while a caller
-- still reads the answer.
cluster{entries = 2, agents = 2}

-- More than the buffers of the connection hold.
local kTasks = 1200
local kPause = 4000  -- More than the grace time, less than the send timeout.
local tasks = {}
local filler = string.rep("y", 16000)
for i = 1, kTasks do
  tasks[i] = "echo=" .. filler
end
local body = job{tasks = tasks, deadline_ms = 30000}
local reader = expect(open_raw("e1"), "connects")
native.tcp_send(reader, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
  .. "Content-Type: application/json\r\nContent-Length: " .. #body
  .. "\r\n\r\n" .. body)
wait_until(function()
  local report = status("e1")
  return #ledger() >= kTasks and report and report.jobs_running == 0
end, 30000, "the job ends")
term("e1")
local since = native.now()
wait_until(function() return native.now() - since > kPause end, kPause + 1000,
  "the reader's pause")
print("still running: " .. tostring(running("e1")))
local text = receive_all(reader, 20000)
local head, length = text:match("(HTTP/1.1 200.-[Cc]ontent%-[Ll]ength: (%d+).-)"
  .. "\r\n\r\n")
local first = text:find(head or "none", 1, true)
local received = head and #text - (first + #head + 3) or 0
print("whole answer: " .. tostring(received > kTasks * #filler
  and received == math.tointeger(length)))
print("exit code: " .. wait_exit("e1", 20000))
