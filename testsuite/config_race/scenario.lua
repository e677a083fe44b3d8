-- Guards against two operators who both believe that their change was
-- published.
cluster{entries = 2, agents = 2}

local function document(weight)
  return default_config .. "weight = " .. weight .. "\n"
end

for round = 1, 3 do
  local base = config_version("e1")
  wait_version({"e2"}, base, 5000)
  local calls = {}
  for i = 1, 8 do
    calls[i] = http_async(i % 2 == 0 and "e1" or "e2", "PUT",
      "/v1/config?base=" .. base .. "&publication=race-" .. round .. "-" .. i,
      {{"Content-Type", "application/toml"}}, document(round * 10 + i))
  end
  local won, lost, other, explained = 0, 0, 0, true
  for _, call in ipairs(calls) do
    local code, body = native.http_wait(call, 10000)
    if code == 200 then
      won = won + 1
    elseif code == 409 then
      lost = lost + 1
      explained = explained and body:find("weight", 1, true) ~= nil
    else
      other = other + 1
      log("publish:", code, body)
    end
  end
  wait_version(all_daemons(), base + 1, 5000)
  print("round " .. round .. ": won=" .. won .. " conflicts=" .. lost
    .. " other=" .. other .. " losers see the difference="
    .. tostring(explained) .. " versions="
    .. config_version("e1") - base)
end
