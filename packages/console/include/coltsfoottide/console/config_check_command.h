#pragma once

#include "coltsfoottide/console/command.h"

namespace coltsfoottide::console {

// Prints the findings on a configuration file, and with --against the differences
// from another file or from the platform's store. Returns kOk without errors and
// warnings, kWarnings, or kUsage if there are errors. A store that does not answer
// is a warning: the file is checked all the same.
ExitStatus RunConfigCheck(CommandContext& context);

}  // namespace coltsfoottide::console
