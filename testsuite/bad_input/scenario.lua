-- Guards against malformed requests that start a task, end a process or get an
-- answer without an error code.
cluster{entries = 1, agents = 1}

local json_header = {{"Content-Type", "application/json"}}

local function send_json(case, method, target, body)
  local code, text = http("e1", method, target, json_header, body)
  local answer = code and native.json(text)
  print(case .. ": " .. status_class(code) .. " typed="
    .. tostring(type(answer) == "table" and type(answer.error) == "string"))
end

local id = reserve("e1")
local job_path = "/v1/jobs/" .. id
send_json("not JSON", "PUT", job_path, "{")
send_json("empty body", "PUT", job_path, "")
send_json("not an object", "PUT", job_path, "[]")
send_json("tasks are no list", "PUT", job_path,
  '{"kind":"find-engineer","tasks":7}')
send_json("task without payload", "PUT", job_path,
  '{"kind":"find-engineer","tasks":[{}]}')
send_json("kind is a number", "PUT", job_path,
  '{"kind":1,"tasks":[{"payload":""}]}')
send_json("deadline is text", "PUT", job_path,
  '{"kind":"find-engineer","deadline_ms":"x","tasks":[{"payload":""}]}')
send_json("negative deadline", "PUT", job_path,
  '{"kind":"find-engineer","deadline_ms":-1,"tasks":[{"payload":""}]}')
send_json("deep nesting", "PUT", job_path, string.rep("[", 5000))
send_json("not UTF-8", "PUT", job_path,
  '{"kind":"\255\254","tasks":[{"payload":""}]}')
send_json("malformed id", "PUT", "/v1/jobs/nonsense", job{})
send_json("id of no entry", "PUT",
  "/v1/jobs/e9.0000000000000001.000000000001.0000000000000001", job{})
send_json("unknown path", "GET", "/v1/nothing", "")
send_json("wrong method", "DELETE", "/v1/status", "")
send_json("reserve none", "POST", "/v1/jobs/reserve?count=0", "")
send_json("reserve too many", "POST", "/v1/jobs/reserve?count=1001", "")
send_json("reserve text", "POST", "/v1/jobs/reserve?count=x", "")
send_json("publish without base", "PUT", "/v1/config", default_config)

local function send_raw(case, bytes)
  local connection = expect(open_raw("e1"), "connects")
  native.tcp_send(connection, bytes)
  local text = receive_all(connection, 12000)
  native.tcp_close(connection)
  print(case .. ": " .. status_class(text:match("^HTTP/1.1 (%d+)")))
end

send_raw("body announced over the limit",
  "PUT " .. job_path
    .. " HTTP/1.1\r\nHost: x\r\nContent-Length: 41943040\r\n\r\n")
send_raw("header over the limit",
  "GET /v1/health HTTP/1.1\r\nX: " .. string.rep("h", 9000) .. "\r\n\r\n")
send_raw("no HTTP", "hello\r\n\r\n")
send_raw("negative length",
  "PUT " .. job_path .. " HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n")

print("starts: " .. #ledger())
print("running: " .. tostring(running("e1") and running("a1")))
print("afterwards: " .. submit_id("e1", id, {tasks = echoes(2)}).status)
