#pragma once

#include <optional>
#include <string>

#include "coltsfoottide/daemon/runtime_hooks.h"

namespace coltsfoottide::proof {

// Returns the hooks of a daemon variant with a deliberate fault, or nothing if
// the variant is unknown:
//   double-start            sends every 10th task to the backend server twice
//   partial-answer          drops a result from every 10th complete answer
//   ignore-data-centre-out  ignores that a data centre is out of service
//   swapped-answer          answers some jobs with the results of another job
//   false-not-run           answers every failed job with the verdict NOT_RUN
//   retry-after-failure     sends a task that failed or has an unknown outcome to
//                           the backend server again, once
//   ignore-health           treats every backend server as serving, without a lease
//   abrupt-stop             exits on the stop signal without draining
//   diverging-config        processes with an even pid drop the last
//                           configuration item
std::optional<daemon::RuntimeHooks> MakeBrokenParts(const std::string& variant);

}  // namespace coltsfoottide::proof
