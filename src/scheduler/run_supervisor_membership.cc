#include <algorithm>
#include <vector>

#include "egretrack/scheduler/members.h"
#include "scheduler/caller_presence.h"
#include "scheduler/link_selection.h"
#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// A link without a reply is reconnected after this time. Long enough for an
// entry to start, short enough that the first callers of a restarted entry find
// agents.
constexpr milliseconds kFirstReplyTimeout{900};
// A link without runs is reconnected after this silence: two idle heartbeat
// intervals and the time for the second reply.
constexpr milliseconds kIdleLinkTimeout{2500};
// Time for which an entry is told that the agent leaves it, so that one lost
// frame does not make it wait for an agent that is gone.
constexpr milliseconds kMinLeaveTime{1500};

}  // namespace

// ---- Selected links ---------------------------------------------------------

void run_supervisor_impl::AddLinks(
    std::span<const wire::entry_member> members) {
  links_changed_ = true;
  for (const wire::entry_member& member : members) {
    const auto known =
        std::ranges::find(links_, member.address, &entry_link::address);
    if (known != links_.end()) {
      known->listed = true;
      continue;
    }
    // Seeds have no id, so the weight is that of the address.
    links_.emplace_back(member.address, now_).weight =
        RendezvousWeight(member.address, options_.agent);
  }
}

void run_supervisor_impl::UpdateLinks() {
  std::vector<entry_index> indexes;
  std::vector<link_candidate> candidates;
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    const entry_link& link = links_[entry];
    // An entry that is no longer listed may be gone for good. It is kept while
    // it responds, as the list may be an old one.
    if (link.listed ||
        (link.state != link_state::kClosed && link.responsive())) {
      indexes.push_back(entry);
      candidates.push_back({link.weight, link.responsive()});
    } else if (link.state != link_state::kClosed) {
      CloseLink(entry);
    }
  }
  const std::vector<bool> selected =
      SelectLinks(candidates, kLinkedEntriesPerAgent);
  for (std::size_t position = 0; position < indexes.size(); ++position) {
    if (selected[position])
      OpenLink(indexes[position]);
    else
      LeaveLink(indexes[position]);
  }
}

void run_supervisor_impl::OpenLink(entry_index entry) {
  entry_link& link = links_[entry];
  if (link.state == link_state::kOpen)
    return;
  if (link.state == link_state::kLeaving)
    link.heartbeat_requested = true;
  else
    Connect(entry);
  link.state = link_state::kOpen;
}

void run_supervisor_impl::Connect(entry_index entry) {
  links_[entry].Connect(now_);
  commands_->emplace_back(open_link{entry, links_[entry].address()});
}

void run_supervisor_impl::LeaveLink(entry_index entry) {
  entry_link& link = links_[entry];
  if (link.state != link_state::kOpen)
    return;
  if (!link.responded())
    return CloseLink(entry);
  link.state = link_state::kLeaving;
  link.leaving_since = now_;
  link.heartbeat_requested = true;
}

void run_supervisor_impl::CloseLink(entry_index entry) {
  DropRunsOf(entry, wire::run_reason::kEntrySilent);
  links_[entry].state = link_state::kClosed;
  commands_->emplace_back(close_link{entry});
}

void run_supervisor_impl::Reconnect(entry_index entry) {
  ++counters_.reconnects;
  DropRunsOf(entry, wire::run_reason::kEntrySilent);
  Connect(entry);
}

// Nobody waits for the runs of the process that has ended: its callers send
// their jobs again. The new process gets a connection of its own, so that no
// frame or run end of the earlier one counts for it.
void run_supervisor_impl::OnEntryRestarted(entry_index entry) {
  RecordDecision(decision_kind::kEntryRestarted, "",
                 {{"entry", links_[entry].entry()},
                  {"had_runs", std::int64_t{runs_.HasRunsOf(entry) ? 1 : 0}}});
  Reconnect(entry);
}

// These runs are not reported one by one. The entry learns of their end from
// the `settled` flag in a heartbeat on the new connection.
void run_supervisor_impl::DropRunsOf(entry_index entry,
                                     wire::run_reason reason) {
  std::vector<std::uint64_t> queued;
  for (auto& [key, run] : runs_.all()) {
    if (run.entry != entry)
      continue;
    run.reported = true;
    if (run.lifecycle.phase() == run_phase::kQueued)
      queued.push_back(key);
    else
      StopRun(run, reason);
  }
  for (const std::uint64_t key : queued)
    runs_.Erase(key);
}

void run_supervisor_impl::CheckLinks() {
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    entry_link& link = links_[entry];
    if (link.state == link_state::kClosed)
      continue;
    const bool busy = runs_.HasRunsOf(entry);
    if (link.state == link_state::kLeaving && !busy &&
        now_ - link.leaving_since > kMinLeaveTime) {
      CloseLink(entry);
      continue;
    }
    milliseconds timeout =
        link.responded() ? kIdleLinkTimeout : kFirstReplyTimeout;
    if (busy)
      timeout = options_.entry_silence;
    if (IsPresent(link.last_known_alive(), now_, timeout))
      continue;
    const microseconds silence = now_ - link.last_known_alive();
    if (link.responded()) {
      RecordDecision(decision_kind::kEntrySilent, "",
                     {{"entry", link.entry()},
                      {"silence_us", silence.count()},
                      {"had_runs", std::int64_t{busy ? 1 : 0}}});
    }
    link.RecordUnansweredConnection();
    links_changed_ = true;
    if (link.state == link_state::kLeaving)
      CloseLink(entry);
    else
      Reconnect(entry);
  }
}

}  // namespace egretrack::scheduler
