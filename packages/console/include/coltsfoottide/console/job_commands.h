#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Obtains a ticket unless --ticket gives one, prints it, and submits the job
// with it. When a connection breaks, the submission is retried with the same
// ticket through the other entries.
ExitStatus RunSubmit(CommandContext& context);
ExitStatus RunWait(CommandContext& context);
ExitStatus RunStatus(CommandContext& context);
// Returns kOk if the job is cancelled, and kRan if it had completed before.
ExitStatus RunCancel(CommandContext& context);

}  // namespace coltsfoottide::console
