#pragma once

#include <optional>
#include <string>

#include "coltsfoottide/daemon/runtime_parts.h"

namespace coltsfoottide::proof {

// Returns the parts of a broken variant by name, or nothing when there is no
// such variant:
//   double-start            sends some tasks to the backend server twice
//   partial-answer          drops a result from complete answers
//   ignore-data-centre-out  does not see that a data centre is out
//   swapped-answer          answers some jobs with another job's results
//   false-not-run           says NOT_RUN whatever has run
//   retry-after-failure     sends a failed task again
//   ignore-health           takes a leaving backend server for serving
//   abrupt-stop             ends at the stop signal without draining
//   diverging-config        half of the processes lose an item
std::optional<daemon::RuntimeParts> MakeBrokenParts(const std::string& variant);

}  // namespace coltsfoottide::proof
