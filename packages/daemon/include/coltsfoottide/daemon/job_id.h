#pragma once

#include <string>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::daemon {

// The id of a job in the logs of all processes: coordinator incarnation in hex
// and ticket sequence. The start id of a task adds its index.
std::string JobId(const api::Ticket& ticket);
std::string JobId(const wire::TaskId& task);
std::string StartId(const wire::TaskId& task);

}  // namespace coltsfoottide::daemon
