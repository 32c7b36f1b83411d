#include "coltsfoottide/core/worker.h"

#include "coltsfoottide/core/outbox.h"
#include "worker_state.h"

namespace coltsfoottide::core {

Worker::State::State(WorkerOptions opts, const StartPermission& perm, Outbox& out,
                     BackendPort& port, std::uint64_t seed)
    : options(opts),
      permission(perm),
      outbox(out),
      backend(port),
      sessions(seed),
      tasks(opts.max_result_bytes),
      queue(opts.max_reservations),
      limit(opts.slots),
      slow_start(opts.slow_start) {}

Worker::Worker(WorkerOptions options, const StartPermission& permission, Outbox& outbox,
               BackendPort& backend, std::uint64_t seed)
    : state_(std::make_unique<State>(options, permission, outbox, backend, seed)) {}

Worker::~Worker() = default;

void Worker::OnMessage(const wire::Envelope& envelope, TimePoint now) {
  state_->UpdateAccepting(now);
  if (CoordinatorLink* link = state_->sessions.Find(envelope.incarnation())) {
    link->last_received = now;
  }
  switch (envelope.body_case()) {
    case wire::Envelope::kHello:
      state_->OnHello(envelope, now);
      break;
    case wire::Envelope::kStart:
      state_->OnStart(envelope, now);
      break;
    case wire::Envelope::kReserve:
      state_->OnReserve(envelope, now);
      break;
    case wire::Envelope::kDecline:
      state_->OnDecline(envelope);
      break;
    case wire::Envelope::kUnreserve:
      state_->OnUnreserve(envelope);
      break;
    case wire::Envelope::kResultAck:
      state_->OnResultAck(envelope, now);
      break;
    case wire::Envelope::kResolve:
      state_->OnResolve(envelope, now);
      break;
    default:
      return;
  }
  state_->FinishEvent(now);
}

void Worker::OnBackendDone(const wire::TaskId& task, BackendOutcome outcome,
                           const std::string& output, TimePoint now) {
  state_->UpdateAccepting(now);
  state_->OnDone(task, outcome, output, now);
  state_->FinishEvent(now);
}

void Worker::OnBackendHealth(bool serving, std::uint32_t slots, TimePoint now) {
  state_->backend_serving = serving;
  if (serving) {
    state_->limit.SetSlots(slots);
  }
  state_->FinishEvent(now);
}

void Worker::SetEjected(bool ejected, TimePoint now) {
  if (state_->probation.ejected() && !ejected) {
    state_->slow_start.Begin(now);
  }
  state_->probation.SetEjected(ejected, now);
  state_->FinishEvent(now);
}

void Worker::BeginLeave(TimePoint now) {
  state_->leaving = true;
  state_->FinishEvent(now);
}

void Worker::Tick(TimePoint now) {
  state_->Expire(now);
  state_->FinishEvent(now);
}

TimePoint Worker::NextWake() const { return state_->NextWake(); }

std::uint32_t Worker::running() const { return state_->tasks.running(); }

bool Worker::Idle() const { return state_->tasks.running() == 0 && state_->tasks.results() == 0; }

wire::Load Worker::CurrentLoad(TimePoint now) const { return state_->LoadNow(now); }

const WorkerCounters& Worker::counters() const { return state_->counters; }

}  // namespace coltsfoottide::core
