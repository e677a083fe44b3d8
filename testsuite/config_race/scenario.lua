-- Guards against two operators who publish on the same base version and are
-- both told that their change was published.
cluster{entries = 2, agents = 2}

local function document(weight)
  return default_config .. "weight = " .. weight .. "\n"
end

for round = 1, 3 do
  local base = config_version("e1")
  wait_version({"e2"}, base, 5000)
  local requests = {}
  for i = 1, 8 do
    requests[i] = http_async(i % 2 == 0 and "e1" or "e2", "PUT",
      "/v1/config?base=" .. base .. "&publication=race-" .. round .. "-" .. i,
      {{"Content-Type", "application/toml"}}, document(round * 10 + i))
  end
  local published, conflicts, other_answers, differences_shown = 0, 0, 0, true
  for _, request in ipairs(requests) do
    local code, body = native.http_wait(request, 10000)
    if code == 200 then
      published = published + 1
    elseif code == 409 then
      conflicts = conflicts + 1
      differences_shown = differences_shown
        and body:find("weight", 1, true) ~= nil
    else
      other_answers = other_answers + 1
      log("publish:", code, body)
    end
  end
  wait_version(all_daemons(), base + 1, 5000)
  print("round " .. round .. ": won=" .. published .. " conflicts=" .. conflicts
    .. " other=" .. other_answers .. " losers see the difference="
    .. tostring(differences_shown) .. " versions="
    .. config_version("e1") - base)
end
