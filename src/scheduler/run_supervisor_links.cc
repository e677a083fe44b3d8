#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/scheduler/members.h"
#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// A link without runs is opened anew after this silence; long enough for an
// entry that starts, short enough for its first callers.
constexpr milliseconds kIdleSilence{900};

// An entry that sent a task so long ago is told of the load by beats alone.
constexpr seconds kActiveTime{1};
// Load that has changed by a task of common size is worth a frame of its own,
// at this interval times the square of the number of active entries: 32 ms with
// four, beyond the interval of beats with twelve.
constexpr std::int64_t kLoadStepMilli = 1500;
constexpr milliseconds kLoadInterval{2};
constexpr milliseconds kShortestLoadInterval{20};

}  // namespace

// ---- Frames ---------------------------------------------------------------

void run_supervisor_impl::OnFrame(entry_frame& event) {
  if (event.entry >= links_.size())
    return;
  entry_link& link = links_[event.entry];
  const wire::beat_reply* reply = nullptr;
  for (const wire::entry_run_message& message : event.frame.messages) {
    if (const auto* found = std::get_if<wire::beat_reply>(&message))
      reply = found;
  }
  const bool first = !link.heard();
  if (!link.Observe(event.frame, reply)) {
    ++counters_.stale_frames;
    return;
  }
  if (first && link.heard()) {
    Record(decision_kind::kEntryFound, "",
           {{"entry", link.entry()},
            {"connection", static_cast<std::int64_t>(link.connection())}});
  }
  using messages =
      event_table<wire::entry_run_message, &run_supervisor_impl::OnBeatReply,
                  &run_supervisor_impl::OnDispatch,
                  &run_supervisor_impl::OnCancel>;
  for (wire::entry_run_message& message : event.frame.messages)
    messages::Call(*this, message, event.entry);
}

void run_supervisor_impl::OnBeatReply(wire::beat_reply& message,
                                      const entry_index& entry) {
  if (!message.members.empty() && message.members_hash != members_hash_) {
    Normalize(message.members);
    members_ = std::move(message.members);
    members_hash_ = HashMembers(members_);
    Record(decision_kind::kMembersChanged, "",
           {{"entries", static_cast<std::int64_t>(members_.size())}});
    AddLinks(members_);
    CloseLinks(members_);
  }
  if (message.reconnect)
    Reconnect(entry);
}

void run_supervisor_impl::OnDispatch(wire::run_dispatch& message,
                                     const entry_index& entry) {
  ++counters_.dispatches;
  entry_link& link = links_[entry];
  ++link.dispatches_seen;
  link.last_dispatch = now_;
  agent_run run;
  run.entry = entry;
  run.connection = link.connection();
  run.job = message.job;
  run.task = message.task;
  run.attempt = message.attempt;
  run.name = {std::move(message.job_key), message.step, message.index,
              message.attempt};
  run.need = message.need;
  run.spec = std::move(message.spec);
  run.predicted = message.predicted;
  run.received = now_;
  run.start_by = link.SurelyBefore(message.start_by);
  run.target = now_ + message.target;
  run.return_at = now_ + message.queue_bound;
  const std::uint64_t number = runs_.Add(std::move(run));
  if (const auto reason = RefusesWork()) {
    Refuse(number, *reason);
  } else if (!worker_->facts.capacity.Fits(message.need)) {
    Refuse(number, wire::run_reason::kNoRoom);
  }
}

void run_supervisor_impl::OnCancel(wire::run_cancel& message,
                                   const entry_index& entry) {
  std::vector<std::uint64_t> queued;
  for (auto& [number, run] : runs_.all()) {
    if (run.entry != entry || run.job != message.job)
      continue;
    const bool named =
        message.tasks.empty() ||
        std::ranges::find(message.tasks, run.task) != message.tasks.end();
    if (!named)
      continue;
    run.reported = true;
    if (run.life.phase() == run_phase::kQueued)
      queued.push_back(number);
    else
      Stop(run, wire::run_reason::kNone);
  }
  for (const std::uint64_t number : queued)
    runs_.Erase(number);
}

// ---- Membership of entries ------------------------------------------------

void run_supervisor_impl::AddLinks(
    const std::vector<wire::entry_member>& members) {
  for (const wire::entry_member& member : members) {
    const auto known =
        std::find_if(links_.begin(), links_.end(), [&](const entry_link& link) {
          return link.address() == member.address;
        });
    if (known == links_.end()) {
      links_.emplace_back(member.address, now_);
      links_.back().next_beat = now_;
    } else if (known->closed) {
      known->closed = false;
      known->Connect(now_);
    } else {
      continue;
    }
    const auto index = static_cast<entry_index>(
        known == links_.end()
            ? links_.size() - 1
            : static_cast<std::size_t>(known - links_.begin()));
    commands_->emplace_back(open_link{index, member.address});
  }
}

// A link to an entry that is no longer listed is given up once it is silent.
void run_supervisor_impl::CloseLinks(
    const std::vector<wire::entry_member>& members) {
  for (entry_link& link : links_) {
    const bool listed =
        std::ranges::find(members, link.address(),
                          &wire::entry_member::address) != members.end();
    if (!listed && !link.heard())
      link.closed = true;
  }
}

void run_supervisor_impl::Reconnect(entry_index entry) {
  ++counters_.reconnects;
  DropRunsOf(entry, wire::run_reason::kEntrySilent);
  entry_link& link = links_[entry];
  link.Connect(now_);
  commands_->emplace_back(open_link{entry, link.address()});
}

// The entry learns of the end of these runs from the first beat of the new
// connection that says so.
void run_supervisor_impl::DropRunsOf(entry_index entry,
                                     wire::run_reason reason) {
  std::vector<std::uint64_t> queued;
  for (auto& [number, run] : runs_.all()) {
    if (run.entry != entry)
      continue;
    run.reported = true;
    if (run.life.phase() == run_phase::kQueued)
      queued.push_back(number);
    else
      Stop(run, reason);
  }
  for (const std::uint64_t number : queued)
    runs_.Erase(number);
}

void run_supervisor_impl::CheckLinks() {
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    entry_link& link = links_[entry];
    if (link.closed)
      continue;
    const bool busy = runs_.HasRunsOf(entry);
    const milliseconds bound = busy ? options_.entry_silence : kIdleSilence;
    const microseconds silence = now_ - link.alive_at();
    if (silence <= bound)
      continue;
    if (link.heard()) {
      Record(decision_kind::kEntrySilent, "",
             {{"entry", link.entry()},
              {"silence_us", silence.count()},
              {"had_runs", std::int64_t{busy ? 1 : 0}}});
    }
    Reconnect(entry);
  }
}

// ---- Beats and reports ----------------------------------------------------

bool run_supervisor_impl::IsSettled(entry_index entry) const {
  // Whatever an earlier incarnation started has ended with its lease, or is
  // seen by a look and stopped.
  const bool reconciled = now_ - born_ > 2 * options_.lease ||
                          (worker_ && worker_->reconciled && foreign_.empty());
  const connection_number current = links_[entry].connection();
  return reconciled && std::none_of(runs_.all().begin(), runs_.all().end(),
                                    [&](const auto& held) {
                                      return held.second.entry == entry &&
                                             held.second.connection != current;
                                    });
}

resources run_supervisor_impl::Free() const {
  return worker_ ? runs_.Free(worker_->facts.capacity) : resources();
}

wire::worker_load run_supervisor_impl::Load() const {
  wire::worker_load load;
  load.queued = static_cast<std::uint32_t>(runs_.CountQueued());
  load.free = Free();
  if (worker_) {
    load.wait = runs_.PredictWait(worker_->facts.capacity, now_);
  }
  return load;
}

void run_supervisor_impl::SendBeat(entry_index entry) {
  entry_link& link = links_[entry];
  wire::agent_beat beat;
  beat.sequence = link.NextBeat(now_);
  beat.failure_domain = options_.failure_domain;
  beat.members_hash = members_hash_;
  if (worker_ && !worker_silent_) {
    const worker_report& facts = worker_->facts;
    beat.worker.push_back({facts.id, facts.desk, facts.labels, facts.capacity});
  }
  beat.draining = draining_ || (worker_ && worker_->draining);
  beat.settled = IsSettled(entry);
  link.outgoing.emplace_back(std::move(beat));
  link.next_beat = now_ + options_.beat_interval;
}

void run_supervisor_impl::BeatSoon() {
  for (entry_link& link : links_)
    link.next_beat = now_;
}

bool run_supervisor_impl::IsActive(const entry_link& link) const {
  return link.last_dispatch != monotonic_time::min() &&
         now_ - link.last_dispatch < kActiveTime;
}

// All agents together tell an entry of their load at a rate that grows with
// their number, while the entries' own share of it falls with theirs.
microseconds run_supervisor_impl::LoadInterval() const {
  const auto links = std::ranges::count_if(
      links_, [this](const entry_link& link) { return IsActive(link); });
  return std::max<microseconds>(
      kLoadInterval * static_cast<std::int64_t>(links * links),
      kShortestLoadInterval);
}

bool run_supervisor_impl::HasLoadNews(const entry_link& link,
                                      const resources& free) const {
  if (!worker_ || !link.heard() || !IsActive(link))
    return false;
  return std::abs(free.cpu_milli - link.last_free.cpu_milli) >= kLoadStepMilli;
}

void run_supervisor_impl::SendFrames() {
  const resources free = Free();
  const microseconds interval = LoadInterval();
  std::optional<wire::worker_load> load;  // Alike for all links.
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    entry_link& link = links_[entry];
    if (link.closed)
      continue;
    if (now_ >= link.next_beat)
      SendBeat(entry);
    const bool news =
        now_ >= link.last_sent + interval && HasLoadNews(link, free);
    if (link.outgoing.empty() && !news)
      continue;
    if (!load)
      load = Load();
    SendFrame(entry, *load);
  }
}

void run_supervisor_impl::SendFrame(entry_index entry,
                                    const wire::worker_load& load) {
  entry_link& link = links_[entry];
  send_to_entry send;
  send.entry = entry;
  send.frame.agent = options_.agent;
  send.frame.agent_incarnation = options_.agent_incarnation;
  send.frame.connection = link.connection();
  send.frame.load = load;
  send.frame.load.dispatches_seen = link.dispatches_seen;
  send.frame.messages = std::exchange(link.outgoing, {});
  link.last_sent = now_;
  link.last_free = send.frame.load.free;
  commands_->emplace_back(std::move(send));
}

void run_supervisor_impl::Report(const agent_run& run,
                                 wire::run_end end,
                                 wire::run_reason reason) {
  entry_link& link = links_[run.entry];
  if (run.reported || run.connection != link.connection())
    return;
  wire::run_report report;
  report.job = run.job;
  report.task = run.task;
  report.attempt = run.attempt;
  report.end = end;
  report.reason = reason;
  const bool ran = run.started != monotonic_time{};
  report.queued = (ran ? run.started : now_) - run.received;
  report.ran = ran ? now_ - run.started : microseconds(0);
  link.outgoing.emplace_back(report);
}

}  // namespace egretrack::scheduler
