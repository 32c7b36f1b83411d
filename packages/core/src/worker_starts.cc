#include <algorithm>
#include <utility>
#include <vector>

#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/schema/limits.h"
#include "worker_state.h"

namespace coltsfoottide::core {
namespace {

// Added to the time limit of a backend call, so that an answer that arrives
// just at the deadline is still read and the outcome is known.
constexpr Duration kTimeLimitMargin = std::chrono::milliseconds(50);
// Error texts of backend servers are truncated to this length.
constexpr std::size_t kMaxErrorBytes = 1024;

wire::Result MakeResult(const StartedTasks::Task& task, BackendOutcome outcome,
                        const std::string& output, TimePoint now) {
  wire::Result result;
  *result.mutable_task() = task.id;
  result.set_run_us(static_cast<std::uint64_t>((now - task.started).count()));
  if (outcome == BackendOutcome::kUnknown) {
    result.set_outcome(wire::OUTCOME_UNKNOWN);
    result.set_error(output.substr(0, kMaxErrorBytes));
  } else if (outcome == BackendOutcome::kFailed) {
    result.set_outcome(wire::TASK_ERROR);
    result.set_error(output.substr(0, kMaxErrorBytes));
  } else if (output.size() > schema::kMaxTaskResultBytes) {
    result.set_outcome(wire::TASK_ERROR);
    result.set_error("the result exceeds 64 KB");
  } else {
    result.set_outcome(wire::DONE);
    result.set_output(output);
  }
  return result;
}

}  // namespace

void Worker::State::OnStart(const wire::Envelope& envelope, TimePoint now) {
  const wire::Start& start = envelope.start();
  CoordinatorLink* link = sessions.FindCurrent(envelope.incarnation(), start.session());
  // Started tasks are looked up before any check may refuse the Start: a refusal
  // would wrongly report the task as not started.
  const GlobalTaskKey key = GlobalTaskKey::From(start.task());
  const StartedTasks::Task* known = tasks.Find(key);
  if (known != nullptr || tasks.RecentlyRemoved(key)) {
    ++counters.duplicate_starts;
    if (link != nullptr) {
      link->window.Add(start.link_sequence(), true);
    }
    if (known != nullptr) {
      ResendResult(*known, envelope.from(), now);
    }
    return;
  }
  auto refusal = CheckSession(start, link);
  if (!refusal) {
    if (link->window.Find(start.link_sequence()) == ReplayWindow::Seen::kStarted) {
      ++counters.duplicate_starts;
      return;
    }
    refusal = CheckStart(start, envelope.incarnation(), now);
    link->window.Add(start.link_sequence(), !refusal);
  }
  if (refusal) {
    Refuse(start.task(), start.link_sequence(), *refusal, envelope.from(), now);
    return;
  }
  tasks.AddRunning(start, envelope.from(), now);
  ++counters.starts;
  probation.OnStart(now);
  backend.Run(start, BudgetOf(start.budget_us()) + kTimeLimitMargin);
}

std::optional<wire::StartRefusal> Worker::State::CheckSession(const wire::Start& start,
                                                              const CoordinatorLink* link) {
  // A task of another coordinator could neither be acknowledged nor expire under
  // this session.
  if (link == nullptr || start.task().coordinator() != link->incarnation) {
    return wire::UNKNOWN_SESSION;
  }
  const auto seen = link->window.Find(start.link_sequence());
  if (seen == ReplayWindow::Seen::kTooOld || seen == ReplayWindow::Seen::kRefused) {
    return wire::BELOW_FLOOR;
  }
  return std::nullopt;
}

std::optional<wire::StartRefusal> Worker::State::CheckStart(const wire::Start& start,
                                                            std::uint64_t coordinator,
                                                            TimePoint now) {
  const bool offer_valid = start.offer() != 0 && TakeOffer(start.offer(), coordinator, now);
  if (start.offer() != 0 && !offer_valid) {
    ++counters.expired_offer_starts;
  }
  if (start.payload().size() > schema::kMaxTaskPayloadBytes) {
    return wire::TOO_LARGE;
  }
  if (start.budget_us() == 0) {
    return wire::EXPIRED;
  }
  if (const auto refusal = RefusalReason(now)) {
    return refusal;
  }
  // TakeOffer has freed the offered slot, but there may be none left if the
  // number of open slots has dropped since the offer.
  return HasSlot(start.job_class(), now) ? std::nullopt : std::optional(wire::BUSY);
}

void Worker::State::OnDone(const wire::TaskId& id, BackendOutcome outcome,
                           const std::string& output, TimePoint now) {
  const GlobalTaskKey key = GlobalTaskKey::From(id);
  StartedTasks::Task* task = tasks.Find(key);
  if (task == nullptr || task->finished) {
    return;
  }
  if (outcome == BackendOutcome::kNotRun) {
    const StartedTasks::Task refused = *task;
    limit.OnRefusal(refused.started, now);
    tasks.RemoveRunning(key);
    OfferFreeSlots(now);
    Refuse(refused.id, refused.link_sequence, wire::BACKEND_REFUSED, refused.endpoint, now);
    return;
  }
  if (outcome == BackendOutcome::kDone) {
    ++counters.done;
    limit.OnSuccess(now);
  } else {
    ++counters.failures;
  }
  const std::string endpoint = task->endpoint;
  const wire::Result result = MakeResult(*task, outcome, output, now);
  tasks.Finish(*task, result, now);
  // Comes before the result, so that the load in it includes the slots held by
  // new offers.
  OfferFreeSlots(now);
  SendResult(result, endpoint, now);
}

void Worker::State::ResendResult(const StartedTasks::Task& task, const std::string& endpoint,
                                 TimePoint now) {
  if (!task.finished) {
    return;
  }
  if (task.has_result) {
    SendResult(task.result, endpoint, now);
    return;
  }
  wire::Result dropped;
  *dropped.mutable_task() = task.id;
  dropped.set_outcome(wire::OUTCOME_UNKNOWN);
  dropped.set_error("the result was dropped before it was acknowledged");
  SendResult(dropped, endpoint, now);
}

void Worker::State::SendResult(const wire::Result& result, const std::string& endpoint,
                               TimePoint now) {
  wire::Envelope envelope;
  *envelope.mutable_result() = result;
  *envelope.mutable_result()->mutable_load() = LoadFor(result.task().coordinator(), now);
  outbox.Send(endpoint, std::move(envelope));
}

Duration Worker::State::BudgetOf(std::uint64_t budget_us) {
  constexpr Duration kLongest = schema::kMaxDeadline;
  return Duration(static_cast<Duration::rep>(
      std::min(budget_us, static_cast<std::uint64_t>(kLongest.count()))));
}

void Worker::State::Refuse(const wire::TaskId& id, std::uint64_t link_sequence,
                           wire::StartRefusal refusal, const std::string& endpoint, TimePoint now) {
  ++counters.refused;
  wire::Envelope envelope;
  wire::Refused& refused = *envelope.mutable_refused();
  *refused.mutable_task() = id;
  refused.set_link_sequence(link_sequence);
  refused.set_refusal(refusal);
  *refused.mutable_load() = LoadFor(id.coordinator(), now);
  outbox.Send(endpoint, std::move(envelope));
}

void Worker::State::OnResultAck(const wire::Envelope& envelope, TimePoint) {
  const wire::ResultAck& ack = envelope.result_ack();
  for (const wire::TaskId& id : ack.tasks()) {
    // Only the coordinator that owns the task may acknowledge it.
    if (id.coordinator() == envelope.incarnation()) {
      tasks.Acknowledge(GlobalTaskKey::From(id));
    }
  }
}

void Worker::State::OnResolve(const wire::Envelope& envelope, TimePoint now) {
  const wire::Resolve& resolve = envelope.resolve();
  wire::Envelope reply;
  wire::Resolved& resolved = *reply.mutable_resolved();
  resolved.set_session(resolve.session());
  resolved.set_nonce(resolve.nonce());
  std::vector<const StartedTasks::Task*> finished;
  if (CoordinatorLink* link = sessions.FindAny(envelope.incarnation(), resolve.session())) {
    resolved.set_known(true);
    if (link->sessions.back().number == resolve.session()) {
      link->window.RaiseFloor(resolve.floor());
    }
    for (const wire::TaskId& id : resolve.tasks()) {
      const StartedTasks::Task* task = tasks.Find(GlobalTaskKey::From(id));
      wire::Resolved::Item& item = *resolved.add_items();
      *item.mutable_task() = id;
      if (task == nullptr) {
        const bool removed = tasks.RecentlyRemoved(GlobalTaskKey::From(id));
        item.set_standing(removed ? wire::FINISHED : wire::NEVER_STARTED);
      } else if (!task->finished) {
        item.set_standing(wire::RUNNING);
      } else {
        item.set_standing(wire::FINISHED);
        finished.push_back(task);
      }
    }
  }
  *resolved.mutable_load() = LoadFor(envelope.incarnation(), now);
  outbox.Send(envelope.from(), std::move(reply));
  for (const StartedTasks::Task* task : finished) {
    ResendResult(*task, envelope.from(), now);
  }
}

}  // namespace coltsfoottide::core
