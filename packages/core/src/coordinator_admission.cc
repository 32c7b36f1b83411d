#include <utility>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/validation.h"
#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

using schema::MakeError;

Duration Declared(const api::TaskSpec& task) {
  return std::chrono::milliseconds(task.declared_ms());
}

api::Error NotRun(api::Reason reason, std::string message) {
  return MakeError(api::NOT_RUN, reason, std::move(message));
}

}  // namespace

RunTimeModel::Estimate Coordinator::State::EstimateOf(const api::JobSpec& spec,
                                                      const api::TaskSpec& task) const {
  return run_times.Get(spec.service(), task.kind(), Declared(task));
}

// Uses the low quantiles of learned run times only: a wrong estimate must not
// refuse a job that could still be answered on time.
Duration Coordinator::State::LowCriticalPath(const api::JobSpec& spec) const {
  return JobGraph(spec,
                  [this, &spec](const api::TaskSpec& task) { return EstimateOf(spec, task).low; })
      .CriticalPath();
}

std::optional<api::Error> Coordinator::State::CheckAdmission(const api::JobSpec& spec,
                                                             TimePoint deadline,
                                                             TimePoint now) const {
  if (auto error = schema::ValidateJob(spec)) {
    return error;
  }
  if (jobs.size() >= options.max_jobs || job_bytes + spec.ByteSizeLong() > options.max_job_bytes) {
    return NotRun(api::OVERLOADED, "the coordinator has too many jobs");
  }
  for (const api::TaskSpec& task : spec.tasks()) {
    switch (loads.CanRun(spec.service(), task.needs())) {
      case LoadView::Fit::kUnknownService:
        return NotRun(api::UNKNOWN_SERVICE, "no known worker serves " + spec.service());
      case LoadView::Fit::kImpossibleNeeds:
        return NotRun(api::IMPOSSIBLE_NEEDS, "no known worker offers what a task needs");
      case LoadView::Fit::kPossible:
        break;
    }
  }
  if (now + LowCriticalPath(spec) >= deadline) {
    return NotRun(api::DEADLINE_UNREACHABLE, "the deadline is shorter than the job's run time");
  }
  return std::nullopt;
}

Job& Coordinator::State::Accept(const wire::SubmitJob& submit, std::uint64_t body_hash,
                                TimePoint deadline, TimePoint now) {
  const api::JobSpec& spec = submit.job();
  const std::uint64_t sequence = submit.ticket().sequence();
  JobGraph graph(spec,
                 [this, &spec](const api::TaskSpec& task) { return EstimateOf(spec, task).mean; });
  auto job = std::make_unique<Job>(Job{.ticket = submit.ticket(),
                                       .spec = spec,
                                       .body_hash = body_hash,
                                       .bytes = spec.ByteSizeLong(),
                                       .accepted = now,
                                       .deadline = deadline,
                                       .latest_first_start = deadline - LowCriticalPath(spec),
                                       .next_check = TimePoint::max(),
                                       .graph = std::move(graph),
                                       .tasks = {},
                                       .waiters = {}});
  job->tasks.resize(static_cast<std::size_t>(spec.tasks_size()));
  job_bytes += job->bytes;
  ++counters.jobs;
  Job& accepted = *jobs.emplace(sequence, std::move(job)).first->second;
  for (std::uint32_t index = 0; index < accepted.tasks.size(); ++index) {
    accepted.tasks[index].item = {deadline - accepted.graph.Remaining(index), {sequence, index}};
  }
  for (const std::uint32_t index : accepted.graph.Roots()) {
    MakeReady(accepted, index);
  }
  ScheduleDeadlineCheck(accepted);
  return accepted;
}

}  // namespace coltsfoottide::core
