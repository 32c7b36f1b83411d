#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Shows workers by data centre and response times by team and class,
// refreshed every --interval-ms until interrupted, or once with --once.
ExitStatus RunTop(CommandContext& context);

}  // namespace coltsfoottide::console
