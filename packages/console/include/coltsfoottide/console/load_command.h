#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Runs the open-loop load generator and writes its JSON report. Returns kOk when
// the run has ended, whatever the outcomes of the jobs.
ExitStatus RunLoad(CommandContext& context);

}  // namespace coltsfoottide::console
