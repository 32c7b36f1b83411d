#pragma once

#include <string>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::daemon {

// The id by which the logs of all processes name a job: coordinator
// incarnation in hex and ticket sequence. A task's start id adds its index.
std::string JobId(const api::Ticket& ticket);
std::string JobId(const wire::TaskId& task);
std::string StartId(const wire::TaskId& task);

}  // namespace coltsfoottide::daemon
