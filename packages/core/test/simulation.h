#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "coltsfoottide/core/coordinator.h"
#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/placement.h"

namespace coltsfoottide::core {

// Simulated time and network. Messages of one connection keep their order. A
// connection that hangs loses or delays messages until its sender resets it.
class Simulation {
 public:
  using Handler = std::function<void(const wire::Envelope&)>;

  explicit Simulation(std::uint64_t seed) : random(seed) {}

  void At(TimePoint at, std::function<void()> action) { events_.emplace(at, std::move(action)); }
  void Listen(const std::string& endpoint, Handler handler) {
    handlers_[endpoint] = std::move(handler);
  }
  void Unlisten(const std::string& endpoint) { handlers_.erase(endpoint); }
  void Hang(const std::string& from, const std::string& to) { hung_.insert({from, to}); }
  void Reset(const std::string& from, const std::string& to) { hung_.erase({from, to}); }

  void Send(const std::string& to, const wire::Envelope& envelope) {
    ++messages_by_kind[envelope.GetDescriptor()->FindFieldByNumber(envelope.body_case())->name()];
    Duration delay = latency;
    if (hung_.contains({envelope.from(), to})) {
      if (random() % 2 == 0) {
        return;
      }
      delay += std::chrono::milliseconds(random() % 4000);
    }
    At(now + delay, [this, to, envelope] {
      const auto it = handlers_.find(to);
      if (it != handlers_.end()) {
        it->second(envelope);
      }
    });
  }

  // Runs the events and the ticks of the coordinators that are due by `end`.
  void RunUntil(TimePoint end) {
    while (true) {
      Coordinator* due = nullptr;
      TimePoint next = events_.empty() ? end + Duration(1) : events_.begin()->first;
      for (Coordinator* coordinator : coordinators) {
        if (coordinator->NextWake() < next) {
          next = coordinator->NextWake();
          due = coordinator;
        }
      }
      if (next > end) {
        now = end;
        return;
      }
      now = std::max(now, next);
      if (due != nullptr) {
        due->Tick(now);
        continue;
      }
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

  std::mt19937_64 random;
  TimePoint now{std::chrono::seconds(1000)};
  Duration latency{1500};
  std::vector<Coordinator*> coordinators;
  // Sum of the run times of all started tasks.
  Duration total_run_time{};
  // Messages sent, by kind.
  std::map<std::string, std::uint64_t> messages_by_kind;
  // How often each task of each coordinator was started.
  std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>, int> runs;

 private:
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<std::string, Handler> handlers_;
  std::set<std::pair<std::string, std::string>> hung_;
};

// The outbox of one simulated process.
class SimulatedOutbox : public Outbox {
 public:
  SimulatedOutbox(Simulation& simulation, std::string endpoint, std::uint64_t incarnation)
      : simulation_(simulation), endpoint_(std::move(endpoint)), incarnation_(incarnation) {}

  void Send(const std::string& endpoint, wire::Envelope envelope) override {
    envelope.set_from(endpoint_);
    envelope.set_incarnation(incarnation_);
    simulation_.Send(endpoint, envelope);
  }
  void ResetLink(const std::string& endpoint) override { simulation_.Reset(endpoint_, endpoint); }

 private:
  Simulation& simulation_;
  std::string endpoint_;
  std::uint64_t incarnation_;
};

// A simplified worker with slots, reservations ordered by class and arrival,
// and sessions with floors. The payload of a task is its run time in
// microseconds.
class FakeWorker {
 public:
  FakeWorker(Simulation& simulation, std::string endpoint, std::uint64_t incarnation,
             std::uint32_t slots)
      : simulation_(simulation),
        endpoint_(std::move(endpoint)),
        outbox_(simulation, endpoint_, incarnation),
        slots_(slots) {
    simulation_.Listen(endpoint_, [this](const wire::Envelope& envelope) { OnMessage(envelope); });
  }

  // Stops the worker; its scheduled actions no longer run.
  void Crash() {
    crashed_ = true;
    simulation_.Unlisten(endpoint_);
  }

  // Share of Starts that are refused for a reason that the coordinator cannot
  // foresee.
  double refusal_rate = 0;

 private:
  using Key = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
  struct Session {
    std::string coordinator;
    std::uint64_t floor = 0;
  };
  struct Reservation {
    std::uint64_t reservation = 0;
    std::string coordinator;
    api::JobClass job_class = api::URGENT;
  };

  static Key KeyOf(const wire::TaskId& id) { return {id.coordinator(), id.sequence(), id.index()}; }
  void FillLoad(wire::Load* load) {
    load->set_slots(slots_);
    load->set_busy(busy_);
    load->set_queued(static_cast<std::uint32_t>(queue_.size()));
    load->set_accepting(true);
    load->set_version(++version_);
  }

  void OnMessage(const wire::Envelope& envelope) {
    const std::string& from = envelope.from();
    switch (envelope.body_case()) {
      case wire::Envelope::kHello:
        return OnHello(from, envelope.hello());
      case wire::Envelope::kStart:
        return OnStart(from, envelope.start());
      case wire::Envelope::kReserve:
        queue_.push_back({envelope.reserve().reservation(), from, envelope.reserve().job_class()});
        return OfferSlots();
      case wire::Envelope::kUnreserve:
        for (const auto reservation : envelope.unreserve().reservations()) {
          std::erase_if(queue_, [&](const Reservation& queued) {
            return queued.reservation == reservation && queued.coordinator == from;
          });
        }
        return;
      case wire::Envelope::kDecline:
        return ReleaseOffer(envelope.decline().offer());
      case wire::Envelope::kResolve:
        return OnResolve(from, envelope.resolve());
      default:
        return;
    }
  }

  void OnHello(const std::string& from, const wire::Hello& hello) {
    std::erase_if(sessions_, [&](const auto& item) { return item.second.coordinator == from; });
    const std::uint64_t session = simulation_.random() | 1;
    sessions_[session] = {from, 0};
    wire::Envelope reply;
    reply.mutable_hello_ack()->set_nonce(hello.nonce());
    reply.mutable_hello_ack()->set_session(session);
    FillLoad(reply.mutable_hello_ack()->mutable_load());
    outbox_.Send(from, reply);
  }

  wire::StartRefusal RefusalOf(const wire::Start& start) {
    const auto session = sessions_.find(start.session());
    if (session == sessions_.end()) {
      return wire::UNKNOWN_SESSION;
    }
    if (start.link_sequence() <= session->second.floor) {
      return wire::BELOW_FLOOR;
    }
    const double draw = static_cast<double>(simulation_.random() % 1000) / 1000;
    if (draw < refusal_rate) {
      return draw < refusal_rate / 2 ? wire::NOT_PERMITTED : wire::BACKEND_REFUSED;
    }
    const bool leave_slot = start.job_class() == api::BULK && slots_ >= 2;
    const bool offered = offers_.contains(start.offer());
    return !offered && busy_ + (leave_slot ? 1 : 0) >= slots_ ? wire::BUSY
                                                              : wire::START_REFUSAL_UNSPECIFIED;
  }

  void OnStart(const std::string& from, const wire::Start& start) {
    const Key key = KeyOf(start.task());
    if (started_.contains(key)) {
      return;
    }
    const wire::StartRefusal refusal = RefusalOf(start);
    if (offers_.contains(start.offer())) {
      offers_.erase(start.offer());
      --busy_;
    }
    if (refusal != wire::START_REFUSAL_UNSPECIFIED) {
      wire::Envelope reply;
      *reply.mutable_refused()->mutable_task() = start.task();
      reply.mutable_refused()->set_link_sequence(start.link_sequence());
      reply.mutable_refused()->set_refusal(refusal);
      FillLoad(reply.mutable_refused()->mutable_load());
      outbox_.Send(from, reply);
      return OfferSlots();
    }
    ++busy_;
    ++simulation_.runs[key];
    simulation_.total_run_time += Duration(std::stoll(start.payload()));
    started_[key] = std::nullopt;
    const Duration run_time(std::stoll(start.payload()));
    After(run_time, [this, from, id = start.task(), run_time] { Finish(from, id, run_time); });
  }

  void Finish(const std::string& to, const wire::TaskId& id, Duration run_time) {
    --busy_;
    wire::Envelope reply;
    wire::Result* result = reply.mutable_result();
    *result->mutable_task() = id;
    result->set_outcome(wire::DONE);
    result->set_output("out");
    result->set_run_us(static_cast<std::uint64_t>(run_time.count()));
    FillLoad(result->mutable_load());
    started_[KeyOf(id)] = reply;
    outbox_.Send(to, reply);
    OfferSlots();
  }

  void OnResolve(const std::string& from, const wire::Resolve& resolve) {
    wire::Envelope reply;
    wire::Resolved* resolved = reply.mutable_resolved();
    resolved->set_session(resolve.session());
    resolved->set_nonce(resolve.nonce());
    const auto session = sessions_.find(resolve.session());
    resolved->set_known(session != sessions_.end());
    if (session != sessions_.end()) {
      session->second.floor = std::max(session->second.floor, resolve.floor());
      for (const wire::TaskId& id : resolve.tasks()) {
        const auto started = started_.find(KeyOf(id));
        auto* item = resolved->add_items();
        *item->mutable_task() = id;
        item->set_standing(started == started_.end()
                               ? wire::NEVER_STARTED
                               : (started->second ? wire::FINISHED : wire::RUNNING));
        if (started != started_.end() && started->second) {
          outbox_.Send(from, *started->second);
        }
      }
    }
    FillLoad(resolved->mutable_load());
    outbox_.Send(from, reply);
  }

  void OfferSlots() {
    while (busy_ < slots_ && !queue_.empty()) {
      auto next = std::find_if(queue_.begin(), queue_.end(), [](const Reservation& queued) {
        return queued.job_class == api::URGENT;
      });
      next = next == queue_.end() ? queue_.begin() : next;
      if (next->job_class == api::BULK && busy_ + 1 >= slots_ && slots_ >= 2) {
        return;
      }
      const Reservation queued = *next;
      queue_.erase(next);
      const std::uint64_t offer = ++last_offer_;
      offers_.insert(offer);
      ++busy_;
      wire::Envelope envelope;
      envelope.mutable_offer()->set_reservation(queued.reservation);
      envelope.mutable_offer()->set_offer(offer);
      FillLoad(envelope.mutable_offer()->mutable_load());
      outbox_.Send(queued.coordinator, envelope);
      After(std::chrono::milliseconds(50), [this, offer] { ReleaseOffer(offer); });
    }
  }

  void ReleaseOffer(std::uint64_t offer) {
    if (offers_.erase(offer) > 0) {
      --busy_;
      OfferSlots();
    }
  }

  void After(Duration delay, std::function<void()> action) {
    simulation_.At(simulation_.now + delay, [this, action = std::move(action)] {
      if (!crashed_) {
        action();
      }
    });
  }

  Simulation& simulation_;
  std::string endpoint_;
  SimulatedOutbox outbox_;
  std::uint32_t slots_;
  std::uint32_t busy_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t last_offer_ = 0;
  bool crashed_ = false;
  std::map<std::uint64_t, Session> sessions_;
  std::deque<Reservation> queue_;
  std::set<std::uint64_t> offers_;
  // Tasks started here, with their results once done.
  std::map<Key, std::optional<wire::Envelope>> started_;
};

}  // namespace coltsfoottide::core
