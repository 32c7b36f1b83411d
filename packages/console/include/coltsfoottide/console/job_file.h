#pragma once

#include <string>
#include <variant>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

struct JobFileError {
  std::string message;
};

// Parses a job in the JSON form of api.JobSpec. As a convenience, a task's
// payload may also be a JSON object, whose text becomes the payload, instead
// of a base64 string. The job is validated.
std::variant<api::JobSpec, JobFileError> ParseJob(const std::string& json);

// Reads and parses a file.
std::variant<api::JobSpec, JobFileError> ReadJobFile(const std::string& path);

}  // namespace coltsfoottide::console
