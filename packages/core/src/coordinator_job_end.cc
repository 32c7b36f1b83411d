#include <algorithm>
#include <utility>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/limits.h"
#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// Bounds the answer timeout of a coordinator that leaves.
constexpr Duration kLeaveAnswerTimeout = std::chrono::seconds(30);
// Bytes reserved for the parts of an answer other than the task outputs.
constexpr std::size_t kAnswerOverhead = 64 * 1024;

}  // namespace

void Coordinator::State::ScheduleDeadlineCheck(Job& job) {
  const bool not_started = !job.has_run && job.outstanding == 0;
  const TimePoint next_check =
      not_started ? std::min(job.latest_first_start, job.deadline) : job.deadline;
  if (next_check == job.next_check) {
    return;
  }
  deadline_checks.erase({job.next_check, job.ticket.sequence()});
  job.next_check = next_check;
  deadline_checks.insert({next_check, job.ticket.sequence()});
}

void Coordinator::State::EndDueJobs(TimePoint now) {
  while (!deadline_checks.empty() && deadline_checks.begin()->first <= now) {
    Job& job = *FindJob(deadline_checks.begin()->second);
    if (now < job.deadline) {
      FailJob(job, job.Verdict(), api::DEADLINE_UNREACHABLE,
              "no task could be started in time to meet the deadline", now);
    } else {
      FailJob(job, job.Verdict(), api::DEADLINE_EXCEEDED, "the deadline has passed", now);
    }
  }
}

void Coordinator::State::CompleteJob(Job& job, TimePoint now) {
  if (job.output_bytes + kAnswerOverhead > schema::kMaxWireMessageBytes) {
    return FailJob(job, api::RAN, api::TASK_FAILED, "the results are larger than an answer can be",
                   now);
  }
  api::JobAnswer answer;
  *answer.mutable_ticket() = job.ticket;
  answer.set_state(api::COMPLETE);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    api::TaskResult* result = answer.add_results();
    result->set_index(index);
    result->set_output(std::move(job.tasks[index].output));
  }
  ++counters.complete;
  EndJob(job, std::move(answer), now);
}

void Coordinator::State::FailJob(Job& job, api::Verdict verdict, api::Reason reason,
                                 const std::string& message, TimePoint now) {
  ++counters.failed;
  EndJob(job, schema::MakeFailedAnswer(job.ticket, schema::MakeError(verdict, reason, message)),
         now);
}

void Coordinator::State::EndJob(Job& job, api::JobAnswer answer, TimePoint now) {
  answer.set_elapsed_us(static_cast<std::uint64_t>((now - job.accepted).count()));
  answer.set_starts(job.starts);
  ReleaseTasks(job, now);
  for (const CallerId& waiter : job.waiters) {
    Reply(waiter, answer);
  }
  const std::uint64_t sequence = job.ticket.sequence();
  for (const std::uint64_t dropped :
       answers.Add(sequence, {std::move(answer), job.body_hash, now})) {
    tickets.Retire(dropped);
  }
  deadline_checks.erase({job.next_check, sequence});
  job_bytes -= job.bytes + job.output_bytes;
  jobs.erase(sequence);
}

// Started tasks run to their end; their results are acknowledged and
// discarded.
void Coordinator::State::ReleaseTasks(Job& job, TimePoint now) {
  for (JobTask& task : job.tasks) {
    DropReservations(task, now);
    if (task.state == JobTask::State::kWaiting) {
      ready.Remove(job.QueueKey(), task.item);
    } else if (task.state == JobTask::State::kStarted) {
      if (WorkerLink* link = FindLink(task.worker)) {
        link->outstanding.erase(task.item.key);
      }
    }
  }
}

Duration Coordinator::State::AnswerTimeout() const {
  return leaving ? std::min(options.answer_timeout, kLeaveAnswerTimeout) : options.answer_timeout;
}

void Coordinator::State::ExpireAnswers(TimePoint now) {
  for (const std::uint64_t sequence : answers.Expire(AnswerTimeout(), now)) {
    tickets.Retire(sequence);
  }
}

}  // namespace coltsfoottide::core
