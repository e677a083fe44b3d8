-- Guards against an example that an entry does not take, or that has a request
-- kind which no endpoint answers.
local function show(name, team, kinds, endpoints)
  print("-- " .. name)
  cluster{entries = 1, agents = #endpoints, config = "../../examples/" .. name,
    endpoints = endpoints}
  for _, kind in ipairs(kinds) do
    local answer = submit("e1", {kind = kind, team = team, tasks = echoes(2)})
    -- Bookings are taken by day only.
    local ended = answer.outcome == "answered" and whole(answer, echoes(2))
      or kind == "book-pickup" and answer.error == "desk_closed"
    print(kind .. ": " .. (ended and "as published"
      or answer.status .. " " .. tostring(answer.error)))
  end
  stop_cluster()
end

show("banco-turni.toml", "comune-palermo",
  {"find-engineer", "confirm-shift", "reassign-shift"}, {"turni", "turni"})
show("riparazioni.toml", "counter",
  {"quote-repair", "check-spares", "book-pickup"}, {"quotes", "booking"})
