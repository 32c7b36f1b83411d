#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Commands that only read.
ExitStatus RunZoneList(CommandContext& context);
ExitStatus RunConfigGet(CommandContext& context);
// Asks each entry for its offsets; fails if none answers.
ExitStatus RunConfigStatus(CommandContext& context);
ExitStatus RunWorkers(CommandContext& context);
ExitStatus RunJobs(CommandContext& context);
ExitStatus RunEntries(CommandContext& context);
ExitStatus RunMetrics(CommandContext& context);

}  // namespace coltsfoottide::console
