#include "coltsfoottide/console/load_runner.h"

#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <utility>

#include "coltsfoottide/console/boot_time.h"
#include "coltsfoottide/console/generated_job.h"

namespace coltsfoottide::console {
namespace {

// Delay of the first intended time, in which connections are opened and caches
// warmed.
constexpr std::chrono::milliseconds kLeadTime{100};
// Time after the last deadline at which the run stops waiting for answers.
constexpr std::chrono::seconds kDrainTime{30};
constexpr std::chrono::milliseconds kDrainCheckInterval{200};

JobOutcome BeginOutcome(const GeneratedJob& job, core::TimePoint intended_at,
                        core::Duration round_trip) {
  JobOutcome outcome;
  outcome.number = job.number;
  outcome.team = job.job.team();
  outcome.job_class = job.job.job_class();
  outcome.tasks = job.job.tasks_size();
  outcome.deadline = std::chrono::milliseconds(job.job.deadline_ms());
  outcome.ideal = job.critical_path + round_trip;
  outcome.intended_at = intended_at;
  return outcome;
}

}  // namespace

LoadRunner::LoadRunner(LoadPlan plan, JobSender& sender, HistoryFile& history)
    : plan_(std::move(plan)), sender_(sender), history_(history) {}

void LoadRunner::Run() {
  QEventLoop loop;
  quit_ = [&loop] { loop.quit(); };
  timer_ = MakePreciseTimer([this] { SendDue(); });
  start_ = BootTime() + kLeadTime;
  last_end_ = start_;
  history_.AddRun(plan_.seed, plan_.mix.name, start_);
  QTimer drain;
  QObject::connect(&drain, &QTimer::timeout, &drain, [this] {
    if (finished() || (next_job_ == plan_.arrivals.size() &&
                       BootTime() > last_deadline_ + core::Duration(kDrainTime))) {
      quit_();
    }
  });
  drain.start(kDrainCheckInterval);
  if (!plan_.arrivals.empty()) {
    timer_->Set(start_ + plan_.arrivals.front());
  }
  loop.exec();
  quit_ = [] {};
  for (auto& [number, outcome] : std::exchange(in_flight_, {})) {
    outcome.ended_at = BootTime();
    history_.AddAnswer(outcome);
    statistics_.Add(outcome);
  }
}

bool LoadRunner::finished() const {
  return next_job_ == plan_.arrivals.size() && in_flight_.empty();
}

void LoadRunner::SendDue() {
  while (next_job_ < plan_.arrivals.size() && start_ + plan_.arrivals[next_job_] <= BootTime()) {
    SendJob(next_job_++);
  }
  if (next_job_ < plan_.arrivals.size()) {
    timer_->Set(start_ + plan_.arrivals[next_job_]);
  }
}

void LoadRunner::SendJob(std::uint64_t number) {
  GeneratedJob job = GenerateJob(plan_.mix, plan_.seed, number);
  const JobOutcome outcome = BeginOutcome(job, start_ + plan_.arrivals[number], plan_.round_trip);
  offered_work_ += job.work;
  last_deadline_ = std::max(last_deadline_, outcome.intended_at + outcome.deadline);
  in_flight_[number] = outcome;
  sender_.Send(std::move(job), outcome, [this](const JobOutcome& ended) { OnDone(ended); });
}

void LoadRunner::OnDone(const JobOutcome& outcome) {
  if (in_flight_.erase(outcome.number) == 0) {
    return;
  }
  last_end_ = std::max(last_end_, outcome.ended_at);
  history_.AddAnswer(outcome);
  statistics_.Add(outcome);
  if (finished()) {
    quit_();
  }
}

}  // namespace coltsfoottide::console
