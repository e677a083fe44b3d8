-- Guards against an entry that exits as soon as its jobs have ended, while a
-- caller still reads an answer.
cluster{entries = 2, agents = 2}

-- The answer exceeds the buffers of the connection.
local kTaskCount = 1200
-- Longer than the grace time, shorter than the send timeout.
local kPauseMs = 4000
local tasks = {}
local filler = string.rep("y", 16000)
for i = 1, kTaskCount do
  tasks[i] = "echo=" .. filler
end
local body = job{tasks = tasks, deadline_ms = 30000}
local reader = expect(open_raw("e1"), "connects")
native.tcp_send(reader, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
  .. "Content-Type: application/json\r\nContent-Length: " .. #body
  .. "\r\n\r\n" .. body)
wait_until(function()
  local report = status("e1")
  return #ledger() >= kTaskCount and report and report.jobs_running == 0
end, 30000, "the job ends before the answer is read")
term("e1")
local drained_at = native.now()
wait_until(function() return native.now() - drained_at > kPauseMs end,
  kPauseMs + 1000, "the caller reads nothing for kPauseMs")
print("still running: " .. tostring(running("e1")))
local text = receive_all(reader, 20000)
local head, length = text:match("(HTTP/1.1 200.-[Cc]ontent%-[Ll]ength: (%d+).-)"
  .. "\r\n\r\n")
local first = text:find(head or "none", 1, true)
local received = head and #text - (first + #head + 3) or 0
print("whole answer: " .. tostring(received > kTaskCount * #filler
  and received == math.tointeger(length)))
print("exit code: " .. wait_exit("e1", 20000))
