-- Background load that runs while a scenario disturbs the cluster. Like the
-- balancer of the platform, it sends jobs only to entries that answer /v1/ready
-- with 200. Times are in milliseconds.

local kReadinessPollIntervalMs = 50
local kReadinessTimeoutMs = 500

-- Keeps `outstanding` jobs in flight. `make_job(n)` returns the fields of the
-- nth job. Members of the load:
--   step(): collects answers and submits jobs
--   run_until(condition, timeout, description): steps until the condition holds
--   finish(): waits for every answer
--   counts: number of answers by outcome
--   answers: all answers, in the order in which they were collected
function new_load(entries, outstanding, make_job)
  local load = {counts = {}, answers = {}, submitted = 0}
  local pending = {}
  local ready = {}
  local next_readiness_poll = 0
  local last_position = 0

  local function poll_readiness()
    if native.now() < next_readiness_poll then
      return
    end
    next_readiness_poll = native.now() + kReadinessPollIntervalMs
    for _, name in ipairs(entries) do
      local code = running(name)
        and http(name, "GET", "/v1/ready", nil, nil, kReadinessTimeoutMs)
      ready[name] = code == 200
    end
  end

  local function next_ready_entry()
    for _ = 1, #entries do
      last_position = last_position % #entries + 1
      if ready[entries[last_position]] then
        return entries[last_position]
      end
    end
  end

  local function record_answer(request, answer)
    local outcome = answer.outcome or "none"
    load.counts[outcome] = (load.counts[outcome] or 0) + 1
    load.answers[#load.answers + 1] = answer
    if outcome ~= "answered" then
      log("load:", request.entry, request.id, answer.status, outcome,
        answer.error)
    elseif not whole(answer, request.tasks) then
      error("answer to " .. request.id
        .. " does not hold the results of its tasks in order")
    end
  end

  local function collect_answers(timeout)
    local still_pending = {}
    for _, request in ipairs(pending) do
      local answer = poll(request, timeout)
      if answer then
        record_answer(request, answer)
      else
        still_pending[#still_pending + 1] = request
      end
    end
    pending = still_pending
  end

  function load.submit_one()
    local name = next_ready_entry()
    if not name then
      return false
    end
    load.submitted = load.submitted + 1
    local fields = make_job(load.submitted)
    local request = submit_async(name, fields)
    request.entry = name
    request.tasks = fields.tasks
    pending[#pending + 1] = request
    return true
  end

  function load.step()
    poll_readiness()
    collect_answers(0)
    while #pending < outstanding and load.submit_one() do
    end
  end

  function load.run_until(condition, timeout, description)
    return wait_until(function()
      load.step()
      return condition()
    end, timeout, description)
  end

  function load.finish()
    collect_answers(60000)
    expect(#pending == 0, "an answer to every job of the load")
    return load.counts
  end

  -- Returns the number of jobs whose outcome is not "answered".
  function load.unanswered()
    return load.submitted - (load.counts.answered or 0)
  end

  return load
end

-- Fields of a job with three tasks of 30 ms, for most scenarios.
function small_jobs()
  return {tasks = echoes(3, "sleep=30"), deadline_ms = 20000}
end
