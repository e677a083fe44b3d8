-- Guards against clients that send or read slowly and so hold connections or
-- delay other clients.
cluster{entries = 1, agents = 1}

-- A client that sends one byte a second never completes its request.
local slow_sender = expect(open_raw("e1"), "connects")
local started_at = native.now()
local head = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
native.tcp_send(slow_sender, head)
local next_byte = native.now()
local closed = wait_until(function()
  if native.now() >= next_byte then
    next_byte = native.now() + 1000
    if not native.tcp_send(slow_sender, "x") then
      return "closed"
    end
  end
  local bytes, error_text = native.tcp_receive(slow_sender, 20)
  if bytes then
    return bytes:match("^HTTP/1.1 (%d+)") or "closed"
  end
  return not error_text:find("timed out", 1, true) and "closed"
end, 20000, "the slow sender is refused")
log("slow sender:", closed, native.now() - started_at)
print("slow sender refused between 8 and 14 s: "
  .. tostring(native.now() - started_at > 8000
    and native.now() - started_at < 14000))

-- A client that sends half a header and nothing more.
local half_request = expect(open_raw("e1"), "connects")
native.tcp_send(half_request, "GET /v1/health HTT")

-- A client that does not read its large answer.
local tasks = {}
local filler = string.rep("y", 16000)
for i = 1, 1200 do
  tasks[i] = "echo=" .. filler
end
local body = job{tasks = tasks, deadline_ms = 30000}
local slow_reader = expect(open_raw("e1"), "connects")
native.tcp_send(slow_reader, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
  .. "Content-Type: application/json\r\nContent-Length: " .. #body
  .. "\r\n\r\n" .. body)

-- Other clients are served meanwhile.
local longest_ms = 0
local count = 0
local answered = true
wait_until(function()
  local before = native.now()
  local answer = submit("e1", {tasks = echoes(1, "sleep=10")})
  answered = answered and answer.status == 200
  longest_ms = math.max(longest_ms, native.now() - before)
  count = count + 1
  return #ledger() >= 1200 + count
end, 30000, "the tasks of the client that reads nothing are started")
log("worst of the others:", longest_ms)
print("others answered: " .. tostring(answered))
local text, half_request_closed = receive_all(half_request, 20000)
print("silent half request ended: " .. tostring(half_request_closed))
-- The answer exceeds the socket buffers, so that the entry closes the
-- connection after 10 s without progress.
started_at = native.now()
wait_until(function()
  return native.now() - started_at > 12000
end, 13000, "the send timeout passes")
local part, reader_closed = receive_all(slow_reader, 10000)
print("deaf client is cut off before the end: "
  .. tostring(reader_closed and #part < 1200 * 16000))
print("afterwards: " .. submit("e1", {tasks = echoes(2)}).status)
