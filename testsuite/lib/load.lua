-- Load that goes on while a scenario disturbs the cluster. Like the platform's
-- balancer it sends only to entries whose /v1/ready says 200.

local kReadyInterval = 50
local kReadyTimeout = 500

-- Keeps `outstanding` jobs under way. `make(n)` returns the fields of the nth.
-- Members: step() collects and submits; run_until(condition, timeout, what);
-- finish() waits for every answer; counts by outcome; answers in order.
function new_load(entries, outstanding, make)
  local load = {counts = {}, answers = {}, submitted = 0}
  local pending = {}
  local ready = {}
  local next_look = 0
  local turn = 0

  local function look()
    if native.now() < next_look then
      return
    end
    next_look = native.now() + kReadyInterval
    for _, name in ipairs(entries) do
      local code = running(name)
        and http(name, "GET", "/v1/ready", nil, nil, kReadyTimeout)
      ready[name] = code == 200
    end
  end

  local function pick()
    for _ = 1, #entries do
      turn = turn % #entries + 1
      if ready[entries[turn]] then
        return entries[turn]
      end
    end
  end

  local function record(request, answer)
    local outcome = answer.outcome or "none"
    load.counts[outcome] = (load.counts[outcome] or 0) + 1
    load.answers[#load.answers + 1] = answer
    if outcome ~= "answered" then
      log("load:", request.entry, request.id, answer.status, outcome,
        answer.error)
    elseif not whole(answer, request.tasks) then
      error("answer to " .. request.id .. " is not its own")
    end
  end

  local function collect(timeout)
    local rest = {}
    for _, request in ipairs(pending) do
      local answer = poll(request, timeout)
      if answer then
        record(request, answer)
      else
        rest[#rest + 1] = request
      end
    end
    pending = rest
  end

  function load.submit_one()
    local name = pick()
    if not name then
      return false
    end
    load.submitted = load.submitted + 1
    local fields = make(load.submitted)
    local request = submit_async(name, fields)
    request.entry = name
    request.tasks = fields.tasks
    pending[#pending + 1] = request
    return true
  end

  function load.step()
    look()
    collect(0)
    while #pending < outstanding and load.submit_one() do
    end
  end

  function load.run_until(condition, timeout, what)
    return wait_until(function()
      load.step()
      return condition()
    end, timeout, what)
  end

  function load.finish()
    collect(60000)
    expect(#pending == 0, "an answer to every request of the load")
    return load.counts
  end

  -- Jobs whose outcome is not "answered".
  function load.unanswered()
    return load.submitted - (load.counts.answered or 0)
  end

  return load
end

-- Jobs of three tasks of 30 ms, as most scenarios use them.
function small_jobs()
  return {tasks = echoes(3, "sleep=30"), deadline_ms = 20000}
end
