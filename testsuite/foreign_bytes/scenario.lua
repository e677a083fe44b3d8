-- Guards against a process that ends when it receives bytes of another
-- protocol, or damaged messages of the egretrack protocol.
cluster{entries = 2, agents = 1}

-- The fixed seed makes a failure reproducible.
local random_state = 20261204
local function random_bytes(count)
  local parts = {}
  for i = 1, count do
    random_state = (random_state * 1103515245 + 12345) % 2147483648
    parts[i] = string.char(random_state // 65536 % 256)
  end
  return table.concat(parts)
end

-- The first bytes of a ZeroMQ peer (ZMTP 3.0, NULL mechanism, DEALER).
local zmtp_greeting = "\255" .. string.rep("\0", 8) .. "\127\3\0NULL"
  .. string.rep("\0", 16 + 32)
local zmtp_ready = "\4\28\5READY\11Socket-Type\0\0\0\6DEALER"

-- Completes the handshake, as a peer does before its first message.
local function complete_handshake(connection)
  native.tcp_send(connection, zmtp_greeting .. zmtp_ready)
  local received = ""
  wait_until(function()
    received = received .. (native.tcp_receive(connection, 20) or "")
    return received:find("READY", 1, true)
  end, 2000, "the entry completes the handshake")
end

local ports = {
  {"e1", "http"}, {"e1", "agents"}, {"e2", "agents"}, {"a1", "http"},
}
local connections = {}
for round = 1, 25 do
  for _, port in ipairs(ports) do
    local connection = open_raw(port[1], port[2])
    if connection then
      connections[#connections + 1] = connection
      if port[2] == "agents" and round % 2 == 0 then
        complete_handshake(connection)
        -- Complete frames whose content is no egretrack message.
        for _ = 1, 20 do
          local content = random_bytes(1 + round * 3)
          native.tcp_send(connection,
            "\0" .. string.char(#content) .. content)
        end
      else
        native.tcp_send(connection, random_bytes(200 * round))
      end
    end
  end
end
print("connections opened: " .. #connections)
local answer = submit("e1", {tasks = echoes(3, "sleep=10")})
print("served meanwhile: " .. answer.status)
for _, name in ipairs{"e1", "e2"} do
  wait_until(function()
    return metric(name, "egretrack_malformed_frames_total") > 0
  end, 5000, name .. " counts malformed frames")
end
print("foreign messages are counted: true")
for _, connection in ipairs(connections) do
  native.tcp_close(connection)
end
for _, name in ipairs{"e1", "e2", "a1"} do
  print(name .. " running: " .. tostring(running(name)) .. " health="
    .. http_status(name, "/v1/health"))
end
print("served afterwards: "
  .. submit("e2", {tasks = echoes(3, "sleep=10")}).status)
