#include "coltsfoottide/core/coordinator.h"

#include <algorithm>
#include <utility>

#include "coordinator_state.h"

namespace coltsfoottide::core {

Coordinator::State::State(CoordinatorOptions options_in, std::unique_ptr<Placement> placement_in,
                          Outbox& outbox_in, std::uint64_t seed)
    : options(std::move(options_in)),
      placement(std::move(placement_in)),
      outbox(outbox_in),
      random(seed),
      tickets(options.max_tickets, options.ticket_timeout),
      answers(options.max_answer_bytes) {}

Coordinator::Coordinator(CoordinatorOptions options, std::unique_ptr<Placement> placement,
                         Outbox& outbox, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(options), std::move(placement), outbox, seed)) {}

Coordinator::~Coordinator() = default;

void Coordinator::OnMessage(const wire::Envelope& envelope, TimePoint now) {
  // Must come first, so that after a pause of this process nothing is sent for
  // a job whose deadline has passed.
  state_->EndDueJobs(now);
  state_->Dispatch(envelope, now);
  state_->PlaceReadyTasks(now);
}

void Coordinator::SetCandidates(const std::vector<api::WorkerInfo>& candidates, TimePoint now) {
  state_->EndDueJobs(now);
  state_->SetCandidates(candidates, now);
  state_->PlaceReadyTasks(now);
}

void Coordinator::OnLinkDown(const std::string& endpoint, TimePoint now) {
  state_->EndDueJobs(now);
  state_->OnLinkDown(endpoint, now);
  state_->PlaceReadyTasks(now);
}

void Coordinator::BeginLeave(TimePoint now) { state_->BeginLeave(now); }

void Coordinator::Tick(TimePoint now) {
  state_->Tick(now);
  state_->PlaceReadyTasks(now);
}

TimePoint Coordinator::NextWake() const { return state_->NextWake(); }

bool Coordinator::Idle() const {
  return state_->jobs.empty() && state_->answers.all_acknowledged() &&
         state_->pending_moves.empty();
}

const CoordinatorCounters& Coordinator::counters() const { return state_->counters; }

namespace {

// Returns whether only workers send this kind of message.
bool IsWorkerMessage(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kHelloAck:
    case wire::Envelope::kRefused:
    case wire::Envelope::kReserveRefused:
    case wire::Envelope::kOffer:
    case wire::Envelope::kResult:
    case wire::Envelope::kResolved:
    case wire::Envelope::kLoadUpdate:
      return true;
    default:
      return false;
  }
}

}  // namespace

void Coordinator::State::Dispatch(const wire::Envelope& envelope, TimePoint now) {
  if (IsWorkerMessage(envelope)) {
    DispatchWorker(envelope, now);
    return;
  }
  const std::string& from = envelope.from();
  switch (envelope.body_case()) {
    case wire::Envelope::kTicketRequest:
      return OnTicketRequest(from, envelope.ticket_request(), now);
    case wire::Envelope::kTicketReply:
      return OnTicketReply(from, envelope.ticket_reply(), now);
    case wire::Envelope::kSubmitJob:
      return OnSubmit(from, envelope.submit_job(), now);
    case wire::Envelope::kWaitJob:
      return OnWait(from, envelope.wait_job());
    case wire::Envelope::kCancelJob:
      return OnCancel(from, envelope.cancel_job(), now);
    case wire::Envelope::kStatusJob:
      return OnStatus(from, envelope.status_job());
    case wire::Envelope::kAnswerAck:
      return OnAnswerAck(envelope.answer_ack());
    case wire::Envelope::kListJobs:
      return OnListJobs(from, envelope.list_jobs(), now);
    default:
      return;
  }
}

void Coordinator::State::DispatchWorker(const wire::Envelope& envelope, TimePoint now) {
  WorkerLink* link = FindLink(envelope.from());
  if (link == nullptr) {
    return;
  }
  const std::uint64_t incarnation = envelope.incarnation();
  if (envelope.body_case() == wire::Envelope::kHelloAck) {
    return OnHelloAck(*link, incarnation, envelope.hello_ack(), now);
  }
  if (envelope.body_case() == wire::Envelope::kResolved) {
    return OnResolved(*link, incarnation, envelope.resolved(), now);
  }
  if (envelope.body_case() == wire::Envelope::kRefused) {
    return OnRefused(*link, incarnation, envelope.refused(), now);
  }
  if (incarnation == link->incarnation) {
    MarkResponsive(*link, now);
  } else if (envelope.body_case() != wire::Envelope::kReserveRefused) {
    // A delayed message of an older incarnation. A newer one sends only
    // refusals until its HelloAck sets link->incarnation.
    return;
  }
  switch (envelope.body_case()) {
    case wire::Envelope::kReserveRefused:
      return OnReserveRefused(*link, envelope.reserve_refused(), now);
    case wire::Envelope::kOffer:
      return OnOffer(*link, envelope.offer(), now);
    case wire::Envelope::kResult:
      return OnResult(*link, envelope.result(), now);
    default:
      return OnLoadUpdate(*link, envelope.load_update(), now);
  }
}

void Coordinator::State::Tick(TimePoint now) {
  EndDueJobs(now);
  RunTimers(now);
  std::vector<std::string> endpoints;
  for (const auto& [endpoint, link] : links) {
    if (LinkWake(link) <= now) {
      endpoints.push_back(endpoint);
    }
  }
  // TickLink may erase links.
  for (const std::string& endpoint : endpoints) {
    if (WorkerLink* link = FindLink(endpoint)) {
      TickLink(*link, now);
    }
  }
  ExpireAnswers(now);
  tickets.Expire(now);
  CheckSuccessor(now);
}

TimePoint Coordinator::State::NextWake() const {
  TimePoint next = std::min(tickets.NextExpiry(), successor_due);
  if (!deadline_checks.empty()) {
    next = std::min(next, deadline_checks.begin()->first);
  }
  if (!timers.empty()) {
    next = std::min(next, timers.begin()->first);
  }
  if (!answers.empty()) {
    next = std::min(next, answers.OldestEnd() + AnswerTimeout());
  }
  for (const auto& [endpoint, link] : links) {
    next = std::min(next, LinkWake(link));
  }
  for (const std::string& service : ready.Services()) {
    next = std::min(next, loads.NextEligible(service, last_now));
  }
  return next;
}

Job* Coordinator::State::FindJob(std::uint64_t sequence) {
  const auto it = jobs.find(sequence);
  return it == jobs.end() ? nullptr : it->second.get();
}

WorkerLink* Coordinator::State::FindLink(const std::string& endpoint) {
  const auto it = links.find(endpoint);
  return it == links.end() ? nullptr : &it->second;
}

wire::TaskId Coordinator::State::MakeTaskId(TaskKey key) const {
  wire::TaskId id;
  id.set_coordinator(options.incarnation);
  id.set_sequence(key.sequence);
  id.set_index(key.index);
  return id;
}

std::optional<TaskKey> Coordinator::State::KeyOf(const wire::TaskId& id) const {
  if (id.coordinator() != options.incarnation) {
    return std::nullopt;
  }
  return TaskKey{id.sequence(), id.index()};
}

std::uint64_t Coordinator::State::NewNonce() {
  std::uint64_t nonce = 0;
  while (nonce == 0) {
    nonce = random();
  }
  return nonce;
}

}  // namespace coltsfoottide::core
