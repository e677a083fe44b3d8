-- Guards against an example configuration that an entry rejects, or that has a
-- request kind which no endpoint serves.
local function check_example(name, team, kinds, endpoints)
  print("-- " .. name)
  cluster{entries = 1, agents = #endpoints, config = "../../examples/" .. name,
    endpoints = endpoints}
  for _, kind in ipairs(kinds) do
    local answer = submit("e1", {kind = kind, team = team, tasks = echoes(2)})
    -- The desk of book-pickup accepts jobs during the day only.
    local as_published = answer.outcome == "answered"
      and whole(answer, echoes(2))
      or kind == "book-pickup" and answer.error == "desk_closed"
    print(kind .. ": " .. (as_published and "as published"
      or answer.status .. " " .. tostring(answer.error)))
  end
  stop_cluster()
end

check_example("banco-turni.toml", "comune-palermo",
  {"find-engineer", "confirm-shift", "reassign-shift"}, {"turni", "turni"})
check_example("riparazioni.toml", "counter",
  {"quote-repair", "check-spares", "book-pickup"}, {"quotes", "booking"})
