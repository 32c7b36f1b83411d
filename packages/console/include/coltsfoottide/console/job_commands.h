#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Obtains a ticket unless one is given, prints it, and submits the job with
// it. When a connection breaks, the submission is repeated with the same
// ticket through the other entries.
ExitStatus RunSubmit(CommandContext& context);
ExitStatus RunWait(CommandContext& context);
ExitStatus RunStatus(CommandContext& context);
// Succeeds if the job is cancelled; a job that had completed before counts as
// having run.
ExitStatus RunCancel(CommandContext& context);

}  // namespace coltsfoottide::console
