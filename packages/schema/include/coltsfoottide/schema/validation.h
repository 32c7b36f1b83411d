#pragma once

#include <optional>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::schema {

// Checks names, sizes, the number of tasks, and that dependencies have no cycle.
// Returns why the job is not valid, with verdict NOT_RUN, or nothing if it is.
std::optional<api::Error> ValidateJob(const api::JobSpec& job);

// Returns why a configuration change is not valid, or nothing if it is.
std::optional<api::Error> ValidateChange(const api::ChangeConfigRequest& change);

// Returns whether the text is a name: 1 to 64 characters of a-z, A-Z, 0-9,
// '-', '_' and '.'.
bool IsName(const std::string& text);

}  // namespace coltsfoottide::schema
