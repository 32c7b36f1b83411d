#pragma once

#include <string>
#include <variant>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

struct JobFileError {
  std::string message;
};

// Parses and validates a job in the JSON form of api.JobSpec. For convenience,
// a task's payload may be a JSON object instead of a base64 string; its
// compact text becomes the payload.
std::variant<api::JobSpec, JobFileError> ParseJob(const std::string& json);

// Reads and parses a file.
std::variant<api::JobSpec, JobFileError> ReadJobFile(const std::string& path);

}  // namespace coltsfoottide::console
