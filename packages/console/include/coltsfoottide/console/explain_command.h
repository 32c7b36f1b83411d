#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Prints what logs, from files or standard input, say of one job.
ExitStatus RunExplain(CommandContext& context);

}  // namespace coltsfoottide::console
