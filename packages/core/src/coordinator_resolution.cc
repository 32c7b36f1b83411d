#include <algorithm>
#include <utility>

#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// A Hello without a reply is sent again over a new connection after this time.
constexpr Duration kHelloAgain = std::chrono::seconds(1);
constexpr Duration kMaxAskAfter = std::chrono::seconds(60);
// Sessions with an unanswered Resolve; a dropped one is asked about again.
constexpr std::size_t kMaxQuestions = 8;

}  // namespace

TimePoint Coordinator::State::SilenceCheckAt(const WorkerLink& link) const {
  if (link.outstanding.empty()) {
    return TimePoint::max();
  }
  const TimePoint since = std::max(link.last_heard, link.outstanding_since);
  return (link.resolves > 0 ? std::max(since, link.last_resolve) : since) + options.silence_limit;
}

TimePoint Coordinator::State::LinkWake(const WorkerLink& link) const {
  if (!link.candidate && link.outstanding.empty()) {
    return link.last_heard;  // To be forgotten.
  }
  TimePoint wake = std::min({link.ack_due, link.unreserve_due, SilenceCheckAt(link)});
  if (link.hello_nonce != 0) {
    wake = std::min(wake, link.hello_at + kHelloAgain);
  } else if (link.silent && link.outstanding.empty()) {
    wake = std::min(wake, link.last_resolve + options.silence_limit);
  }
  for (const auto& [key, outstanding] : link.outstanding) {
    wake = std::min(wake, outstanding.ask_at);
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
  SayHelloAgain(link, now);
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

void Coordinator::State::SayHelloAgain(WorkerLink& link, TimePoint now) {
  const bool unanswered = link.hello_nonce != 0 && link.hello_at + kHelloAgain <= now;
  const bool silent = link.hello_nonce == 0 && link.silent && link.outstanding.empty() &&
                      link.last_resolve + options.silence_limit <= now;
  if (!unanswered && !silent) {
    return;
  }
  if (link.outstanding.empty()) {
    outbox.ResetLink(link.endpoint);
  }
  SendHello(link, now);
}

// After a pause of this process the workers seem silent although their
// messages wait to be read, so a worker is lost only after it was asked.
void Coordinator::State::CheckSilence(WorkerLink& link, TimePoint now) {
  const TimePoint since = std::max(link.last_heard, link.outstanding_since);
  MarkSilent(link, now);
  if (link.resolves > 0 && since + options.lost_limit <= now) {
    return LoseOutstanding(link, 0, "the worker has not answered", now);
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
    if (outstanding.ask_at <= now) {
      tasks.push_back(key);
    }
  }
  if (!tasks.empty()) {
    SendResolves(link, tasks, now);
  }
}

// One Resolve for each session that the tasks were started under. The floor
// covers every Start sent under the session so far.
void Coordinator::State::SendResolves(WorkerLink& link, const std::vector<TaskKey>& tasks,
                                      TimePoint now) {
  std::map<std::uint64_t, wire::Envelope> by_session;
  for (const TaskKey& key : tasks) {
    WorkerLink::Outstanding& outstanding = link.outstanding[key];
    outstanding.ask_after = std::min(2 * outstanding.ask_after, kMaxAskAfter);
    outstanding.ask_at = now + outstanding.ask_after;
    wire::Resolve* resolve = by_session[outstanding.session].mutable_resolve();
    *resolve->add_tasks() = MakeTaskId(key);
    resolve->set_floor(std::max(resolve->floor(), outstanding.link_sequence));
  }
  ++link.resolves;
  link.last_resolve = now;
  if (link.questions.size() >= kMaxQuestions) {
    link.questions.clear();
  }
  for (auto& [session, envelope] : by_session) {
    wire::Resolve* resolve = envelope.mutable_resolve();
    if (session == link.session) {
      resolve->set_floor(link.last_sequence);
    }
    resolve->set_session(session);
    resolve->set_nonce(NewNonce());
    link.questions[session] = {resolve->nonce(), resolve->floor()};
    ++counters.resolves;
    SendToWorker(link.endpoint, std::move(envelope));
  }
}

void Coordinator::State::OnResolved(WorkerLink& link, std::uint64_t incarnation,
                                    const wire::Resolved& resolved, TimePoint now) {
  ++counters.other_messages;
  const auto it = link.questions.find(resolved.session());
  if (it == link.questions.end() || it->second.nonce != resolved.nonce()) {
    return;
  }
  const WorkerLink::Question question = it->second;
  link.questions.erase(it);
  if (incarnation != link.incarnation || !resolved.known()) {
    LoseOutstanding(link, resolved.session(), "the worker was restarted or has no record of it",
                    now);
    SendHello(link, now);
    return;
  }
  OnHeard(link, now);
  UpdateLoad(link, resolved.load(), now);
  for (const wire::Resolved::Item& item : resolved.items()) {
    ApplyStanding(link, item, question, resolved.session());
  }
}

void Coordinator::State::ApplyStanding(WorkerLink& link, const wire::Resolved::Item& item,
                                       const WorkerLink::Question& question,
                                       std::uint64_t session) {
  const auto key = KeyOf(item.task());
  const auto it = key ? link.outstanding.find(*key) : link.outstanding.end();
  // A later Start of the same task is not covered by the answer.
  if (it == link.outstanding.end() || it->second.session != session ||
      it->second.link_sequence > question.floor) {
    return;
  }
  // A task that runs may yet be refused by the backend server, so only a
  // result proves that it has run.
  if (item.standing() == wire::NEVER_STARTED) {
    TakeBack(*FindJob(key->sequence), key->index, link);
  }
}

void Coordinator::State::LoseOutstanding(WorkerLink& link, std::uint64_t session,
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
