#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Prints the lines of one job from logs, given as files or on standard input,
// and a summary of its outcome.
ExitStatus RunExplain(CommandContext& context);

}  // namespace coltsfoottide::console
