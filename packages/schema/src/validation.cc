#include "coltsfoottide/schema/validation.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/limits.h"

namespace coltsfoottide::schema {
namespace {

api::Error Invalid(std::string message) {
  return MakeError(api::NOT_RUN, api::INVALID_REQUEST, std::move(message));
}

std::optional<api::Error> ValidateTask(const api::JobSpec& job, int index) {
  const api::TaskSpec& task = job.tasks(index);
  const std::string where = "tasks[" + std::to_string(index) + "]";
  // The kind is sent to the backend server as an HTTP header.
  if (!task.kind().empty() && !IsName(task.kind())) {
    return Invalid(where + ".kind is not a name (1 to 64 of a-z A-Z 0-9 - _ .)");
  }
  if (task.payload().size() > kMaxTaskPayloadBytes) {
    return Invalid(where + ".payload is larger than 64 KB");
  }
  for (const auto dependency : task.depends_on()) {
    if (dependency >= static_cast<std::uint32_t>(job.tasks_size())) {
      return Invalid(where + ".depends_on names task " + std::to_string(dependency) +
                     ", which does not exist");
    }
  }
  return std::nullopt;
}

// Removes tasks whose dependencies have all been removed, until no such task is
// left (topological sort); tasks that remain form a cycle.
bool HasCycle(const api::JobSpec& job) {
  const auto n = static_cast<std::size_t>(job.tasks_size());
  std::vector<std::vector<std::size_t>> dependents(n);
  std::vector<std::size_t> unmet(n, 0);
  for (std::size_t index = 0; index < n; ++index) {
    for (const auto dependency : job.tasks(static_cast<int>(index)).depends_on()) {
      dependents[dependency].push_back(index);
      ++unmet[index];
    }
  }
  std::vector<std::size_t> ready;
  for (std::size_t index = 0; index < n; ++index) {
    if (unmet[index] == 0) {
      ready.push_back(index);
    }
  }
  std::size_t done = 0;
  while (!ready.empty()) {
    const std::size_t index = ready.back();
    ready.pop_back();
    ++done;
    for (const std::size_t dependent : dependents[index]) {
      if (--unmet[dependent] == 0) {
        ready.push_back(dependent);
      }
    }
  }
  return done != n;
}

}  // namespace

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::optional<api::Error> ValidateJob(const api::JobSpec& job) {
  if (!IsName(job.team())) {
    return Invalid("team is not a name (1 to 64 of a-z A-Z 0-9 - _ .)");
  }
  if (!IsName(job.service())) {
    return Invalid("service is not a name (1 to 64 of a-z A-Z 0-9 - _ .)");
  }
  if (job.job_class() != api::URGENT && job.job_class() != api::BULK) {
    return Invalid("job_class must be URGENT or BULK");
  }
  if (job.deadline_ms() == 0 || std::chrono::milliseconds(job.deadline_ms()) > kMaxDeadline) {
    return Invalid("deadline_ms must be 1 to 600000");
  }
  if (job.tasks_size() == 0 || job.tasks_size() > kMaxTasks) {
    return Invalid("a job has 1 to 220 tasks, this one has " + std::to_string(job.tasks_size()));
  }
  if (job.ByteSizeLong() > kMaxJobBytes) {
    return Invalid("the job is larger than 1 MB");
  }
  for (int index = 0; index < job.tasks_size(); ++index) {
    if (auto error = ValidateTask(job, index)) {
      return error;
    }
  }
  if (HasCycle(job)) {
    return Invalid("the dependencies of the tasks form a cycle");
  }
  return std::nullopt;
}

std::optional<api::Error> ValidateChange(const api::ChangeConfigRequest& change) {
  if (change.change_id().size() > kMaxNameBytes) {
    return Invalid("change_id is longer than 64 bytes");
  }
  switch (change.change_case()) {
    case api::ChangeConfigRequest::kService:
      return IsName(change.service().name()) ? std::nullopt
                                             : std::optional(Invalid("service.name is not a name"));
    case api::ChangeConfigRequest::kQuota:
      return IsName(change.quota().team()) ? std::nullopt
                                           : std::optional(Invalid("quota.team is not a name"));
    case api::ChangeConfigRequest::kDataCentre:
      return IsName(change.data_centre().name())
                 ? std::nullopt
                 : std::optional(Invalid("data_centre.name is not a name"));
    case api::ChangeConfigRequest::kRemoveEntry:
      return change.remove_entry().endpoint().empty()
                 ? std::optional(Invalid("remove_entry.endpoint is empty"))
                 : std::nullopt;
    case api::ChangeConfigRequest::CHANGE_NOT_SET:
      break;
  }
  return Invalid("one of service, quota, data_centre, remove_entry must be set");
}

}  // namespace coltsfoottide::schema
