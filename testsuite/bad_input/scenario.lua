-- Guards against bad input that starts a task, ends a process or gets an
-- untyped answer.
cluster{entries = 1, agents = 1}

local json = {{"Content-Type", "application/json"}}

local function show(what, method, target, body)
  local code, text = http("e1", method, target, json, body)
  local answer = code and native.json(text)
  print(what .. ": " .. status_class(code) .. " typed="
    .. tostring(type(answer) == "table" and type(answer.error) == "string"))
end

local id = reserve("e1")
local path = "/v1/jobs/" .. id
show("not JSON", "PUT", path, "{")
show("empty body", "PUT", path, "")
show("not an object", "PUT", path, "[]")
show("tasks are no list", "PUT", path, '{"kind":"find-engineer","tasks":7}')
show("task without payload", "PUT", path,
  '{"kind":"find-engineer","tasks":[{}]}')
show("kind is a number", "PUT", path, '{"kind":1,"tasks":[{"payload":""}]}')
show("deadline is text", "PUT", path,
  '{"kind":"find-engineer","deadline_ms":"x","tasks":[{"payload":""}]}')
show("negative deadline", "PUT", path,
  '{"kind":"find-engineer","deadline_ms":-1,"tasks":[{"payload":""}]}')
show("deep nesting", "PUT", path, string.rep("[", 5000))
show("not UTF-8", "PUT", path,
  '{"kind":"\255\254","tasks":[{"payload":""}]}')
show("malformed id", "PUT", "/v1/jobs/nonsense", job{})
show("id of no entry", "PUT",
  "/v1/jobs/e9.0000000000000001.000000000001.0000000000000001", job{})
show("unknown path", "GET", "/v1/nothing", "")
show("wrong method", "DELETE", "/v1/status", "")
show("reserve none", "POST", "/v1/jobs/reserve?count=0", "")
show("reserve too many", "POST", "/v1/jobs/reserve?count=1001", "")
show("reserve text", "POST", "/v1/jobs/reserve?count=x", "")
show("publish without base", "PUT", "/v1/config", default_config)

local function raw(what, bytes)
  local connection = expect(open_raw("e1"), "connects")
  native.tcp_send(connection, bytes)
  local text = receive_all(connection, 12000)
  native.tcp_close(connection)
  print(what .. ": " .. status_class(text:match("^HTTP/1.1 (%d+)")))
end

raw("body announced over the limit",
  "PUT " .. path .. " HTTP/1.1\r\nHost: x\r\nContent-Length: 41943040\r\n\r\n")
raw("header over the limit",
  "GET /v1/health HTTP/1.1\r\nX: " .. string.rep("h", 9000) .. "\r\n\r\n")
raw("no HTTP", "hello\r\n\r\n")
raw("negative length",
  "PUT " .. path .. " HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n")

print("starts: " .. #ledger())
print("running: " .. tostring(running("e1") and running("a1")))
print("afterwards: " .. submit_id("e1", id, {tasks = echoes(2)}).status)
