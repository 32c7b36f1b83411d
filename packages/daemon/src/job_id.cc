#include "coltsfoottide/daemon/job_id.h"

#include <fmt/format.h>

#include <cstdint>

namespace coltsfoottide::daemon {
namespace {

std::string Format(std::uint64_t coordinator, std::uint64_t sequence) {
  return fmt::format("{:016x}-{}", coordinator, sequence);
}

}  // namespace

std::string JobId(const api::Ticket& ticket) {
  return Format(ticket.incarnation(), ticket.sequence());
}

std::string JobId(const wire::TaskId& task) { return Format(task.coordinator(), task.sequence()); }

std::string StartId(const wire::TaskId& task) {
  return JobId(task) + "-" + std::to_string(task.index());
}

}  // namespace coltsfoottide::daemon
