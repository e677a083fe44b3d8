-- Guards against clients that send or read slowly and hold connections, or
-- hold up others.
cluster{entries = 1, agents = 1}

-- A client that sends one byte a second never completes its request.
local slow = expect(open_raw("e1"), "connects")
local since = native.now()
local head = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
native.tcp_send(slow, head)
local next_byte = native.now()
local closed = wait_until(function()
  if native.now() >= next_byte then
    next_byte = native.now() + 1000
    if not native.tcp_send(slow, "x") then
      return "closed"
    end
  end
  local bytes, why = native.tcp_receive(slow, 20)
  if bytes then
    return bytes:match("^HTTP/1.1 (%d+)") or "closed"
  end
  return not why:find("timed out", 1, true) and "closed"
end, 20000, "the slow sender is refused")
log("slow sender:", closed, native.now() - since)
print("slow sender refused between 8 and 14 s: "
  .. tostring(native.now() - since > 8000 and native.now() - since < 14000))

-- Half a header, then silence.
local silent = expect(open_raw("e1"), "connects")
native.tcp_send(silent, "GET /v1/health HTT")

-- A client that reads nothing of a large answer.
local tasks = {}
local filler = string.rep("y", 16000)
for i = 1, 1200 do
  tasks[i] = "echo=" .. filler
end
local body = job{tasks = tasks, deadline_ms = 30000}
local deaf = expect(open_raw("e1"), "connects")
native.tcp_send(deaf, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
  .. "Content-Type: application/json\r\nContent-Length: " .. #body
  .. "\r\n\r\n" .. body)

-- Others are served all the while.
local worst = 0
local count = 0
local answered = true
wait_until(function()
  local before = native.now()
  local answer = submit("e1", {tasks = echoes(1, "sleep=10")})
  answered = answered and answer.status == 200
  worst = math.max(worst, native.now() - before)
  count = count + 1
  return #ledger() >= 1200 + count
end, 30000, "the deaf client's job ran")
log("worst of the others:", worst)
print("others answered: " .. tostring(answered))
local text, ended = receive_all(silent, 20000)
print("silent half request ended: " .. tostring(ended))
-- The answer does not fit into the socket's buffers, so that the entry gives
-- up after 10 s without progress.
since = native.now()
wait_until(function()
  return native.now() - since > 12000
end, 13000, "more than the send timeout")
local part, gone = receive_all(deaf, 10000)
print("deaf client is cut off before the end: "
  .. tostring(gone and #part < 1200 * 16000))
print("afterwards: " .. submit("e1", {tasks = echoes(2)}).status)
