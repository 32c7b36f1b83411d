#include <algorithm>
#include <utility>

#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// A Hello without a reply is repeated after this time, over a new connection if
// no start is outstanding.
constexpr Duration kHelloRetryInterval = std::chrono::seconds(1);
constexpr Duration kMaxResolveInterval = std::chrono::seconds(60);
// Bounds the unanswered Resolves of a link, one per session. Beyond it all are
// dropped, and are sent again later with new nonces.
constexpr std::size_t kMaxPendingResolves = 8;

}  // namespace

TimePoint Coordinator::State::SilenceCheckAt(const WorkerLink& link) const {
  if (link.outstanding.empty()) {
    return TimePoint::max();
  }
  const TimePoint since = std::max(link.last_received, link.outstanding_since);
  return (link.resolves > 0 ? std::max(since, link.last_resolve) : since) + options.silence_timeout;
}

TimePoint Coordinator::State::LinkWake(const WorkerLink& link) const {
  if (!link.candidate && link.outstanding.empty()) {
    return link.last_received;  // due at once, to be erased
  }
  TimePoint wake = std::min({link.ack_due, link.unreserve_due, SilenceCheckAt(link)});
  if (link.hello_nonce != 0) {
    wake = std::min(wake, link.hello_sent + kHelloRetryInterval);
  } else if (link.silent && link.outstanding.empty()) {
    wake = std::min(wake, link.last_resolve + options.silence_timeout);
  }
  for (const auto& [key, outstanding] : link.outstanding) {
    wake = std::min(wake, outstanding.resolve_at);
  }
  return wake;
}

void Coordinator::State::TickLink(WorkerLink& link, TimePoint now) {
  if (link.ack_due <= now) {
    FlushAcks(link);
  }
  if (link.unreserve_due <= now) {
    FlushUnreserves(link);
  }
  RetryHello(link, now);
  if (SilenceCheckAt(link) <= now) {
    CheckSilence(link, now);
  } else {
    ResolveOverdue(link, now);
  }
  if (!link.candidate && link.outstanding.empty()) {
    FlushAcks(link);
    links.erase(std::string(link.endpoint));
  }
}

void Coordinator::State::RetryHello(WorkerLink& link, TimePoint now) {
  const bool unanswered = link.hello_nonce != 0 && link.hello_sent + kHelloRetryInterval <= now;
  const bool silent = link.hello_nonce == 0 && link.silent && link.outstanding.empty() &&
                      link.last_resolve + options.silence_timeout <= now;
  if (!unanswered && !silent) {
    return;
  }
  if (link.outstanding.empty()) {
    outbox.ResetLink(link.endpoint);
  }
  SendHello(link, now);
}

// After a pause of this process, workers seem silent although their messages
// wait to be read. So a worker counts as lost only after a Resolve was sent.
void Coordinator::State::CheckSilence(WorkerLink& link, TimePoint now) {
  const TimePoint since = std::max(link.last_received, link.outstanding_since);
  MarkSilent(link, now);
  if (link.resolves > 0 && since + options.lost_timeout <= now) {
    return FailOutstanding(link, 0, "the worker has not answered", now);
  }
  ResolveAll(link, true, now);
}

void Coordinator::State::ResolveAll(WorkerLink& link, bool reset, TimePoint now) {
  if (reset) {
    outbox.ResetLink(link.endpoint);
  }
  std::vector<TaskKey> tasks;
  for (const auto& [key, outstanding] : link.outstanding) {
    tasks.push_back(key);
  }
  SendResolves(link, tasks, now);
}

void Coordinator::State::ResolveOverdue(WorkerLink& link, TimePoint now) {
  std::vector<TaskKey> tasks;
  for (const auto& [key, outstanding] : link.outstanding) {
    if (outstanding.resolve_at <= now) {
      tasks.push_back(key);
    }
  }
  if (!tasks.empty()) {
    SendResolves(link, tasks, now);
  }
}

// Sends one Resolve for each session under which the tasks were started. Its
// floor covers every Start sent under that session so far.
void Coordinator::State::SendResolves(WorkerLink& link, const std::vector<TaskKey>& tasks,
                                      TimePoint now) {
  std::map<std::uint64_t, wire::Envelope> by_session;
  for (const TaskKey& key : tasks) {
    WorkerLink::Outstanding& outstanding = link.outstanding[key];
    outstanding.resolve_interval = std::min(2 * outstanding.resolve_interval, kMaxResolveInterval);
    outstanding.resolve_at = now + outstanding.resolve_interval;
    wire::Resolve* resolve = by_session[outstanding.session].mutable_resolve();
    *resolve->add_tasks() = MakeTaskId(key);
    resolve->set_floor(std::max(resolve->floor(), outstanding.link_sequence));
  }
  ++link.resolves;
  link.last_resolve = now;
  if (link.pending_resolves.size() >= kMaxPendingResolves) {
    link.pending_resolves.clear();
  }
  for (auto& [session, envelope] : by_session) {
    wire::Resolve* resolve = envelope.mutable_resolve();
    if (session == link.session) {
      resolve->set_floor(link.last_sequence);
    }
    resolve->set_session(session);
    resolve->set_nonce(NewNonce());
    link.pending_resolves[session] = {resolve->nonce(), resolve->floor()};
    ++counters.resolves;
    SendToWorker(link.endpoint, std::move(envelope));
  }
}

void Coordinator::State::OnResolved(WorkerLink& link, std::uint64_t incarnation,
                                    const wire::Resolved& resolved, TimePoint now) {
  ++counters.other_messages;
  const auto it = link.pending_resolves.find(resolved.session());
  if (it == link.pending_resolves.end() || it->second.nonce != resolved.nonce()) {
    return;
  }
  const WorkerLink::PendingResolve pending = it->second;
  link.pending_resolves.erase(it);
  if (incarnation != link.incarnation || !resolved.known()) {
    FailOutstanding(link, resolved.session(), "the worker was restarted or has no record of it",
                    now);
    SendHello(link, now);
    return;
  }
  MarkResponsive(link, now);
  UpdateLoad(link, resolved.load(), now);
  for (const wire::Resolved::Item& item : resolved.items()) {
    ApplyStanding(link, item, pending, resolved.session());
  }
}

void Coordinator::State::ApplyStanding(WorkerLink& link, const wire::Resolved::Item& item,
                                       const WorkerLink::PendingResolve& pending,
                                       std::uint64_t session) {
  const auto key = KeyOf(item.task());
  const auto it = key ? link.outstanding.find(*key) : link.outstanding.end();
  // The answer does not cover a later Start of the same task.
  if (it == link.outstanding.end() || it->second.session != session ||
      it->second.link_sequence > pending.floor) {
    return;
  }
  // The backend server may still refuse a running task, so RUNNING changes
  // nothing: only a result proves that the task has run.
  if (item.standing() == wire::NEVER_STARTED) {
    Requeue(*FindJob(key->sequence), key->index, link);
  }
}

void Coordinator::State::FailOutstanding(WorkerLink& link, std::uint64_t session,
                                         const std::string& why, TimePoint now) {
  std::set<std::uint64_t> lost;
  for (const auto& [key, outstanding] : link.outstanding) {
    if (session == 0 || outstanding.session == session) {
      lost.insert(key.sequence);
    }
  }
  for (const std::uint64_t sequence : lost) {
    Job& job = *FindJob(sequence);
    FailJob(job, job.Verdict(), api::WORKER_LOST, link.endpoint + ": " + why, now);
  }
}

}  // namespace coltsfoottide::core
