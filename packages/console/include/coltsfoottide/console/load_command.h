#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Runs the open-loop load generator and writes its JSON report. Succeeds when
// the run has ended, whatever became of the jobs.
ExitStatus RunLoad(CommandContext& context);

}  // namespace coltsfoottide::console
